#include "LibPeer/HelloProof.h"
#include "LibPeer/MessageCode.h"

namespace sorrelbay {

static constexpr const char *ProofContext = "sorrelbay peer 1";

/// Returns the encoded hello with its length as a prefix, so that no two pairs
/// of hellos have the same concatenation.
static std::string framed(const PeerHello &hello) {
  const std::string text = encodePeerMessage(hello);
  return std::to_string(text.size()) + ":" + text;
}

std::string makeNonce() { return randomBytes(NonceBytes); }

PeerProof makeProof(const std::string &secret, PeerRole role,
                    const PeerHello &own, const PeerHello &other) {
  const char *side = role == PeerRole::Opener ? " opener " : " accepter ";
  return {
      messageCode(secret, ProofContext + (side + framed(own)) + framed(other))};
}

bool isSameProof(const PeerProof &a, const PeerProof &b) {
  return isSameCode(a.Code, b.Code);
}

} // namespace sorrelbay
