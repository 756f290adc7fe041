#include "LibOperator/SigningKey.h"
#include "LibBase/Hex.h"
#include <array>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fcntl.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <sys/stat.h>
#include <unistd.h>

namespace sorrelbay {

namespace {

constexpr std::size_t PublicKeyBytes = 32;
constexpr std::size_t SignatureBytes = 64;
constexpr std::size_t KeyIdDigits = 16;
constexpr mode_t OwnerOnly = 0600;
constexpr mode_t OthersBits = 077;

struct FreeKey {
  void operator()(EVP_PKEY *key) const { EVP_PKEY_free(key); }
};
struct FreeContext {
  void operator()(EVP_MD_CTX *context) const { EVP_MD_CTX_free(context); }
};
struct CloseFile {
  void operator()(std::FILE *file) const { std::fclose(file); }
};
using KeyPointer = std::unique_ptr<EVP_PKEY, FreeKey>;
using ContextPointer = std::unique_ptr<EVP_MD_CTX, FreeContext>;
using FilePointer = std::unique_ptr<std::FILE, CloseFile>;

const unsigned char *bytesOf(const std::string &text) {
  return reinterpret_cast<const unsigned char *>(text.data());
}

std::string errnoText() { return std::strerror(errno); }

FilePointer openKeyFile(const std::string &path) {
  FilePointer file(std::fopen(path.c_str(), "re"));
  if (!file)
    throw KeyUnusable(path + ": can't be opened: " + errnoText());
  // Examines the open file, since the path could be replaced in between.
  struct stat status {};
  if (fstat(fileno(file.get()), &status) != 0)
    throw KeyUnusable(path + ": can't be examined: " + errnoText());
  if ((status.st_mode & OthersBits) != 0)
    throw KeyExposed(path + ": users other than its owner may access this key; "
                            "set its mode to 0600 and consider replacing it");
  return file;
}

} // namespace

struct SigningKey::Pair {
  KeyPointer Key;
};

PublicKey PublicKey::parse(const std::string &hex) {
  if (hex.size() != 2 * PublicKeyBytes)
    throw KeyUnusable("a public key must have 64 hex digits");
  if (!fromHex(hex))
    throw KeyUnusable(
        "a public key must have only the digits 0 to 9 and a to f");
  return PublicKey(hex);
}

KeyId PublicKey::id() const { return KeyId(Hex.substr(0, KeyIdDigits)); }

bool PublicKey::verifies(const std::string &message,
                         const std::string &signature) const {
  const std::string raw = fromHex(Hex).value();
  const KeyPointer key(EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, nullptr,
                                                   bytesOf(raw), raw.size()));
  const ContextPointer context(EVP_MD_CTX_new());
  if (!key || !context || signature.size() != SignatureBytes)
    return false;
  if (EVP_DigestVerifyInit(context.get(), nullptr, nullptr, nullptr,
                           key.get()) != 1)
    return false;
  return EVP_DigestVerify(context.get(), bytesOf(signature), signature.size(),
                          bytesOf(message), message.size()) == 1;
}

SigningKey::SigningKey(std::unique_ptr<Pair> pair) : KeyPair(std::move(pair)) {}
SigningKey::SigningKey(SigningKey &&) noexcept = default;
SigningKey::~SigningKey() = default;

SigningKey SigningKey::generate() {
  KeyPointer key(EVP_PKEY_Q_keygen(nullptr, nullptr, "ED25519"));
  if (!key)
    throw KeyUnusable("the key can't be generated");
  return SigningKey(std::make_unique<Pair>(Pair{std::move(key)}));
}

SigningKey SigningKey::load(const std::string &path) {
  const FilePointer file = openKeyFile(path);
  // Without a password callback, OpenSSL prompts on the terminal.
  const auto noPassword = [](char *, int, int, void *) { return 0; };
  KeyPointer key(PEM_read_PrivateKey(file.get(), nullptr, noPassword, nullptr));
  if (!key || EVP_PKEY_id(key.get()) != EVP_PKEY_ED25519)
    throw KeyUnusable(path + ": is not an Ed25519 private key in PEM");
  return SigningKey(std::make_unique<Pair>(Pair{std::move(key)}));
}

void SigningKey::save(const std::string &path) const {
  const int descriptor =
      open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, OwnerOnly);
  if (descriptor < 0)
    throw KeyUnusable(path + ": can't be created: " + errnoText());
  FilePointer file(fdopen(descriptor, "w"));
  const bool isWritten =
      file != nullptr &&
      PEM_write_PrivateKey(file.get(), KeyPair->Key.get(), nullptr, nullptr, 0,
                           nullptr, nullptr) == 1 &&
      std::fflush(file.get()) == 0;
  if (!isWritten)
    throw KeyUnusable(path + ": can't be written: " + errnoText());
}

PublicKey SigningKey::publicKey() const {
  std::array<unsigned char, PublicKeyBytes> buf{};
  std::size_t n = buf.size();
  if (EVP_PKEY_get_raw_public_key(KeyPair->Key.get(), buf.data(), &n) != 1)
    throw KeyUnusable("the public key can't be derived");
  return PublicKey::parse(toHex(std::string(buf.begin(), buf.begin() + n)));
}

std::string SigningKey::sign(const std::string &message) const {
  const ContextPointer context(EVP_MD_CTX_new());
  std::string out(SignatureBytes, '\0');
  std::size_t n = out.size();
  const bool isSigned =
      context &&
      EVP_DigestSignInit(context.get(), nullptr, nullptr, nullptr,
                         KeyPair->Key.get()) == 1 &&
      EVP_DigestSign(context.get(), reinterpret_cast<unsigned char *>(&out[0]),
                     &n, bytesOf(message), message.size()) == 1;
  if (!isSigned)
    throw KeyUnusable("the message can't be signed");
  return out;
}

} // namespace sorrelbay
