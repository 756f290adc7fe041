#pragma once

#include "LibDecision/PeerKnowledge.h"
#include "LibPeer/PeerFailures.h"
#include <string>
#include <variant>

namespace sorrelbay {

/// The first message in both directions: who speaks, and a nonce that the other
/// side must answer with a proof.
struct PeerHello {
  HostId Host;
  IncarnationId Incarnation;
  std::string Nonce;
};

/// The second message in both directions: the sender holds the secret.
struct PeerProof {
  std::string Code;
};

/// Asks for a sign of life, with the time by the asker's clock.
struct PeerHeartbeat {
  Instant AskedAt{};
};

/// Repeats the time of the question. Sent after all news on the connection, so
/// that the asker knows all that the sender knew then.
struct PeerHeartbeatReply {
  Instant AskedAt{};
};

/// Part of the sender's knowledge.
struct PeerUpdate {
  PeerKnowledge Knowledge;
};

/// A request that the sender waits for.
struct PeerRequest {
  std::uint64_t Number = 0;
  /// Which of the receiver's services is meant, such as "ticket-call".
  std::string Kind;
  std::string Body;
};

/// The answer to the request of that number.
struct PeerReply {
  std::uint64_t Number = 0;
  /// False if the receiver does not do such a thing; the body says why.
  bool IsDone = true;
  std::string Body;
};

using PeerMessage =
    std::variant<PeerHello, PeerProof, PeerHeartbeat, PeerHeartbeatReply,
                 PeerUpdate, PeerRequest, PeerReply>;

/// The message as CBOR.
std::string encodePeerMessage(const PeerMessage &message);
/// The inverse. Throws PeerMessageRefused.
PeerMessage decodePeerMessage(const std::string &bytes);

} // namespace sorrelbay
