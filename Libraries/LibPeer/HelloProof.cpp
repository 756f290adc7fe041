#include "LibPeer/HelloProof.h"
#include "LibBase/Invariant.h"
#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace sorrelbay {

static constexpr const char *ProofContext = "sorrelbay peer 1";

static const unsigned char *bytesOf(const std::string &text) {
  return reinterpret_cast<const unsigned char *>(text.data());
}

/// Returns the encoded hello with its length as a prefix, so that no two pairs
/// of hellos have the same concatenation.
static std::string framed(const PeerHello &hello) {
  const std::string text = encodePeerMessage(hello);
  return std::to_string(text.size()) + ":" + text;
}

std::string makeNonce() {
  std::array<unsigned char, NonceBytes> buf{};
  const bool isFilled = RAND_bytes(buf.data(), buf.size()) == 1;
  verifyInvariant(isFilled, "nonce-is-random", "RAND_bytes failed");
  return {buf.begin(), buf.end()};
}

PeerProof makeProof(const std::string &secret, PeerRole role,
                    const PeerHello &own, const PeerHello &other) {
  const std::string text =
      std::string(ProofContext) +
      (role == PeerRole::Opener ? " opener " : " accepter ") + framed(own) +
      framed(other);
  std::array<unsigned char, EVP_MAX_MD_SIZE> buf{};
  unsigned int n = 0;
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
       bytesOf(text), text.size(), buf.data(), &n);
  return {std::string(buf.begin(), buf.begin() + n)};
}

bool isSameProof(const PeerProof &a, const PeerProof &b) {
  return a.Code.size() == b.Code.size() &&
         CRYPTO_memcmp(a.Code.data(), b.Code.data(), a.Code.size()) == 0;
}

} // namespace sorrelbay
