#pragma once

#include "CallRelay.h"
#include "LibHttp/AsyncHttpClient.h"
#include "LibServing/ReplicaTable.h"
#include "LibServing/ServingCall.h"
#include "UpstreamCrashMonitor.h"

namespace sorrelbay {

/// Whether a response may be the one to the call. Upstreams name the call in
/// their responses: one that names none is the one to a call on a new
/// connection, and otherwise input that a faulty upstream has added to the
/// response before.
bool isResponseTo(const std::string &callId, const UpstreamReplyInfo &replyInfo,
                  bool isFirstOnConnection);

/// Whether the response states that the call did not run. Where it names no
/// call, the statement may be about another one.
bool isRejectionOf(const std::string &callId,
                   const UpstreamReplyInfo &replyInfo);

/// The longest time that a pooled connection for a call may have been idle. A
/// connection that the upstream has just closed would lose a call that may run
/// only once.
Duration longestIdleTime(Repeatability kind);

/// One attempt to send a call to an upstream.
struct CallSend {
  UpstreamId Replica;
  /// The host that the call is relayed to; empty if it is sent to an upstream.
  HostId Peer;
  RelayResult PeerResult;
  /// When the upstream was chosen.
  Instant At{};
  /// When the call was written to the connection.
  Instant SentAt{};
  bool WasSending = false;
  /// The call was sent and has got no byte yet.
  bool IsWaiting = false;
  bool HasFirstByte = false;
  /// Bytes of its response had to wait until the caller had read others.
  bool WasPaused = false;
  /// It goes on with a response of which its caller has a part.
  bool IsContinuation = false;
  bool IsDiscarded = false;
  /// The connection was closed or reset before the response was complete.
  bool HasBrokenOff = false;
  HttpReplyHead Head;
  /// What the head states.
  UpstreamReplyInfo ReplyInfo;
  VersionId OfVersion;
  Instant FirstByteAt{};
  /// The prompt tokens and delays that were expected at the upstream.
  ReplicaChoice Expected;
  UpstreamCrashMonitor::SendId WatchId = 0;

  /// What an end of the send shows of its upstream.
  WatchedEnd watchedEnd(SendResult result) const;
};

} // namespace sorrelbay
