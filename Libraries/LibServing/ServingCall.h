#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include "LibServing/IgnoredStatement.h"
#include "LibServing/UpstreamLoad.h"
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sorrelbay {

/// A part of a prompt that calls can share. Parts are listed in prefill order.
struct PromptPart {
  std::string Id;
  std::int64_t Tokens = 0;
};

/// A caller's request, independent of the interface that it arrived on.
struct ServingCall {
  /// The id of the caller's attempt; empty if it gives none.
  std::string Id;
  std::string HostName;
  std::string Path;
  std::string Method;
  std::string Key;
  /// The longest time that the caller waits, counted from when the request was
  /// read; empty if it gives none.
  std::optional<Duration> WaitLimit;
  std::optional<std::int64_t> PromptTokens;
  std::int64_t MaxOutputTokens = 0;
  std::vector<PromptPart> Prompt;
  /// If the caller resumes a stream, the id of the last event that it received;
  /// empty otherwise.
  std::string LastEventId;
  /// What all attempts for the same request have in common (callFingerprint);
  /// empty until the call's team is known.
  std::string Fingerprint;
};

/// One send of a call: its upstream and the parameters sent with it.
struct UpstreamAttempt {
  UpstreamId Replica;
  std::string Address;
  Duration WaitLimit{};
  TeamId Team;
  int Priority = 0;
  /// The id of the event after which an interrupted stream is resumed; empty
  /// otherwise.
  std::string ResumeAfter;
  /// The source address and the handle of the migrated KV cache that the call
  /// continues with; empty if there is none.
  std::string KvCacheSource;
};

/// Information in the head of an upstream's response, besides its status.
struct UpstreamReplyInfo {
  /// The id of the attempt that the response is for; empty if it gives none.
  std::string Id;
  /// The upstream reported that it did not run the call.
  bool DidNotRun = false;
  /// Calls per second that the upstream accepts at the moment from all hosts
  /// together; empty if it does not limit them.
  std::optional<double> RateLimit;
  /// Rejections per second for lack of room that the upstream bears at the
  /// moment: it fails if there are more; empty if it states none.
  std::optional<double> RejectionLimit;
  /// The time for which the upstream wants no calls from this host, from the
  /// response on; empty if it states none.
  std::optional<Duration> Pause;
  /// What the upstream states about its load, without a time; empty if nothing.
  std::optional<LoadStatement> Load;
  /// The upstream stated that it is leaving.
  bool IsLeaving = false;
  /// Statements of the response that can't be used.
  std::vector<IgnoredStatement> Ignored;
};

} // namespace sorrelbay
