#include "LibPeer/PeerLink.h"

namespace sorrelbay {

PeerLink::PeerLink(PeerRole role, std::string address, PeerHello own,
                   Instant at)
    : Role(role), Address(std::move(address)), OpenedAt(at), LastSeenAt(at),
      Own(std::move(own)) {}

PeerProof PeerLink::greet(const PeerHello &hello, const std::string &secret) {
  if (Other || Stage != LinkStage::Handshaking)
    throw PeerHandshakeFailed("a peer sent its hello out of turn");
  if (hello.Host.empty() || hello.Nonce.size() != NonceBytes)
    throw PeerHandshakeFailed("a peer's hello lacks its host or nonce");
  Other = hello;
  return makeProof(secret, Role, Own, hello);
}

void PeerLink::prove(const PeerProof &proof,
                     const std::vector<std::string> &secrets) {
  if (!Other || Stage != LinkStage::Handshaking)
    throw PeerHandshakeFailed("a peer sent its proof out of turn");
  const PeerRole otherRole =
      Role == PeerRole::Opener ? PeerRole::Accepter : PeerRole::Opener;
  for (const std::string &it : secrets)
    if (isSameProof(proof, makeProof(it, otherRole, *Other, Own))) {
      Stage = LinkStage::Live;
      return;
    }
  throw PeerHandshakeFailed("a peer does not hold the secret");
}

} // namespace sorrelbay
