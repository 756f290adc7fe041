#pragma once

#include "LibDecision/PeerKnowledge.h"
#include "LibPeer/PeerFailures.h"
#include <string>
#include <variant>

namespace sorrelbay {

/// The first message in both directions: the identity of the sender, and a
/// nonce that the proof of the receiver must cover.
struct PeerHello {
  HostId Host;
  IncarnationId Incarnation;
  std::string Nonce;
};

/// The second message in both directions: proves that the sender holds the
/// secret.
struct PeerProof {
  std::string Code;
};

/// A request for a heartbeat reply, with the time by the sender's clock.
struct PeerHeartbeat {
  Instant HeartbeatSentAt{};
};

/// Returns the time of the heartbeat. Sent after all pending updates on the
/// connection, so that its receiver then has all the knowledge that the
/// replying host had at that time.
struct PeerHeartbeatReply {
  Instant HeartbeatSentAt{};
};

/// A part of the sender's knowledge.
struct PeerUpdate {
  PeerKnowledge Knowledge;
};

/// A request to which the sender expects a reply.
struct PeerRequest {
  std::uint64_t Number = 0;
  /// The service of the receiver that is requested, such as "ticket-call".
  std::string Kind;
  std::string Body;
};

/// The reply to the request with the same number.
struct PeerReply {
  std::uint64_t Number = 0;
  /// False if the receiver declines the request; the body then has the reason.
  bool IsDone = true;
  std::string Body;
};

using PeerMessage =
    std::variant<PeerHello, PeerProof, PeerHeartbeat, PeerHeartbeatReply,
                 PeerUpdate, PeerRequest, PeerReply>;

/// Encodes the message as CBOR.
std::string encodePeerMessage(const PeerMessage &message);
/// Decodes a message. Throws PeerMessageRefused if it is malformed.
PeerMessage decodePeerMessage(const std::string &bytes);

} // namespace sorrelbay
