#pragma once

#include "LibPeer/HelloProof.h"
#include "LibPeer/PeerMessage.h"
#include <optional>
#include <string>
#include <vector>

namespace sorrelbay {

/// How far a connection has got.
enum class LinkStage { Opening, Handshaking, Live };

/// A peer's hello or proof is wrong: it does not hold the secret, or speaks out
/// of turn.
class PeerHandshakeFailed : public PeerMessageRefused {
public:
  using PeerMessageRefused::PeerMessageRefused;
};

/// One connection to a peer: its handshake, and what the peer is known to know.
class PeerLink {
public:
  PeerLink(PeerRole role, std::string address, PeerHello own, Instant at);

  PeerRole Role;
  /// Empty if the other side connected.
  std::string Address;
  LinkStage Stage = LinkStage::Opening;
  Instant OpenedAt;
  Instant LastSeenAt;
  Instant AskedAt{};
  /// When it became live or last carried a request of this host.
  Instant UsedAt{};
  /// What the peer has sent, and what it was sent.
  PeerKnowledge Theirs;

  const PeerHello &own() const { return Own; }
  /// The other side's identity; proved once the link is live.
  HostId host() const { return Other ? Other->Host : HostId(); }
  IncarnationId incarnation() const {
    return Other ? Other->Incarnation : IncarnationId();
  }
  /// Takes the other side's hello and gives the proof to answer with. Throws
  /// PeerHandshakeFailed.
  PeerProof greet(const PeerHello &hello, const std::string &secret);
  /// Takes the other side's proof; the link is live then. Throws
  /// PeerHandshakeFailed.
  void prove(const PeerProof &proof, const std::vector<std::string> &secrets);

private:
  PeerHello Own;
  std::optional<PeerHello> Other;
};

} // namespace sorrelbay
