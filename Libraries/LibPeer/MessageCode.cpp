#include "LibPeer/MessageCode.h"
#include "LibBase/Invariant.h"
#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace sorrelbay {

std::string messageCode(const std::string &secret, const std::string &text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> buf{};
  unsigned int n = 0;
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
       reinterpret_cast<const unsigned char *>(text.data()), text.size(),
       buf.data(), &n);
  return {buf.begin(), buf.begin() + n};
}

bool isSameCode(const std::string &a, const std::string &b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string randomBytes(std::size_t count) {
  std::string out(count, '\0');
  const bool isFilled =
      RAND_bytes(reinterpret_cast<unsigned char *>(out.data()),
                 static_cast<int>(count)) == 1;
  verifyInvariant(isFilled, "random-bytes-are-random", "RAND_bytes failed");
  return out;
}

} // namespace sorrelbay
