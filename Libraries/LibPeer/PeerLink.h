#pragma once

#include "LibPeer/HelloProof.h"
#include "LibPeer/PeerMessage.h"
#include <optional>
#include <string>
#include <vector>

namespace sorrelbay {

/// The stage of a connection.
enum class LinkStage { Opening, Handshaking, Live };

/// A peer failed to authenticate: its hello or proof is invalid, or it sent a
/// message at the wrong stage of the handshake.
class PeerHandshakeFailed : public PeerMessageRefused {
public:
  using PeerMessageRefused::PeerMessageRefused;
};

/// A connection to a peer: the state of its handshake, and the knowledge that
/// the peer is known to have.
class PeerLink {
public:
  PeerLink(PeerRole role, std::string address, PeerHello own, Instant at);

  PeerRole Role;
  /// Empty if the peer opened the connection.
  std::string Address;
  LinkStage Stage = LinkStage::Opening;
  Instant OpenedAt;
  Instant LastSeenAt;
  Instant HeartbeatSentAt{};
  /// When the link became live or last carried a request of this host.
  Instant UsedAt{};
  /// The knowledge that the peer has sent or that was sent to it.
  PeerKnowledge KnownToPeer;

  const PeerHello &own() const { return OwnHello; }
  /// The identity of the peer; authenticated once the link is live.
  HostId host() const { return OtherHello ? OtherHello->Host : HostId(); }
  IncarnationId incarnation() const {
    return OtherHello ? OtherHello->Incarnation : IncarnationId();
  }
  /// Processes the peer's hello and returns the proof to send to it. Throws
  /// PeerHandshakeFailed if the hello is invalid or unexpected.
  PeerProof acceptHello(const PeerHello &hello, const std::string &secret);
  /// Verifies the peer's proof, after which the link is live. Throws
  /// PeerHandshakeFailed if the proof matches none of the secrets or is
  /// unexpected.
  void verifyProof(const PeerProof &proof,
                   const std::vector<std::string> &secrets);

private:
  PeerHello OwnHello;
  std::optional<PeerHello> OtherHello;
};

} // namespace sorrelbay
