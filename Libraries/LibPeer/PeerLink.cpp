#include "LibPeer/PeerLink.h"

namespace sorrelbay {

PeerLink::PeerLink(PeerRole role, std::string address, PeerHello own,
                   Instant at)
    : Role(role), Address(std::move(address)), OpenedAt(at), LastSeenAt(at),
      OwnHello(std::move(own)) {}

PeerProof PeerLink::acceptHello(const PeerHello &hello,
                                const std::string &secret) {
  if (OtherHello || Stage != LinkStage::Handshaking)
    throw PeerHandshakeFailed(
        "peer sent a second hello or one outside the handshake");
  if (hello.Host.empty() || hello.Nonce.size() != NonceBytes)
    throw PeerHandshakeFailed(
        "peer's hello has no host or a nonce of the wrong length");
  OtherHello = hello;
  return makeProof(secret, Role, OwnHello, hello);
}

void PeerLink::verifyProof(const PeerProof &proof,
                           const std::vector<std::string> &secrets) {
  if (!OtherHello || Stage != LinkStage::Handshaking)
    throw PeerHandshakeFailed(
        "peer sent a proof without a hello or outside the handshake");
  const PeerRole otherRole =
      Role == PeerRole::Opener ? PeerRole::Accepter : PeerRole::Opener;
  for (const std::string &it : secrets)
    if (isSameProof(proof, makeProof(it, otherRole, *OtherHello, OwnHello))) {
      Stage = LinkStage::Live;
      return;
    }
  throw PeerHandshakeFailed(
      "peer's proof matches none of the configured secrets");
}

} // namespace sorrelbay
