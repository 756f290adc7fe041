#pragma once

#include "LibBase/Error.h"
#include "LibBase/Identifier.h"
#include <memory>
#include <string>

namespace sorrelbay {

/// The name of a signing key: the first 16 hex digits of its public half.
using KeyId = Identifier<struct KeyTag>;

/// A key can't be read, written or used as one.
class KeyUnusable : public Error {
public:
  using Error::Error;
};

/// A private key lies where others than its owner can read it.
class KeyExposed : public KeyUnusable {
public:
  using KeyUnusable::KeyUnusable;
};

/// The public half of an Ed25519 key, as settings carry it.
class PublicKey {
public:
  /// Reads 64 hex digits. Throws KeyUnusable.
  static PublicKey parse(const std::string &hex);

  const std::string &hex() const { return Hex; }
  KeyId id() const;
  /// Whether the signature was made over the message with this key's private
  /// half.
  bool verifies(const std::string &message, const std::string &signature) const;

  friend bool operator==(const PublicKey &a, const PublicKey &b) {
    return a.Hex == b.Hex;
  }

private:
  explicit PublicKey(std::string hex) : Hex(std::move(hex)) {}
  std::string Hex;
};

/// An operator's Ed25519 key pair.
class SigningKey {
public:
  /// A new key from the system's random source.
  static SigningKey generate();
  /// Reads a PEM file. Throws KeyUnusable, and KeyExposed for a file that
  /// others than its owner may read or write: whoever read it may sign.
  static SigningKey load(const std::string &path);
  SigningKey(SigningKey &&) noexcept;
  ~SigningKey();

  /// Writes a PEM file with mode 0600. Throws KeyUnusable, also if a file is
  /// there already: overwriting would lose a key that daemons accept.
  void save(const std::string &path) const;
  PublicKey publicKey() const;
  /// The 64 bytes of the signature over the message.
  std::string sign(const std::string &message) const;

private:
  struct Pair;
  explicit SigningKey(std::unique_ptr<Pair> pair);
  std::unique_ptr<Pair> KeyPair;
};

} // namespace sorrelbay
