#pragma once

#include "LibBase/Error.h"
#include "LibBase/Identifier.h"
#include <memory>
#include <string>

namespace sorrelbay {

/// The id of a signing key: the first 16 hex digits of its public key.
using KeyId = Identifier<struct KeyTag>;

/// A key can't be read, written or used.
class KeyUnusable : public Error {
public:
  using Error::Error;
};

/// The file of a private key is accessible to users other than its owner.
class KeyExposed : public KeyUnusable {
public:
  using KeyUnusable::KeyUnusable;
};

/// An Ed25519 public key, as given in settings.
class PublicKey {
public:
  /// Parses 64 lowercase hex digits. Throws KeyUnusable.
  static PublicKey parse(const std::string &hex);

  const std::string &hex() const { return Hex; }
  KeyId id() const;
  /// Whether the signature of the message was made with the private key that
  /// belongs to this public key.
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
  /// Generates a key from the system's random source. Throws KeyUnusable.
  static SigningKey generate();
  /// Loads a key from a PEM file. Throws KeyUnusable, and KeyExposed for a file
  /// that users other than its owner may access: anyone who read it can sign.
  static SigningKey load(const std::string &path);
  SigningKey(SigningKey &&) noexcept;
  ~SigningKey();

  /// Writes the key to a PEM file with mode 0600. Throws KeyUnusable, also if
  /// the file exists: overwriting could destroy a key that daemons accept.
  void save(const std::string &path) const;
  PublicKey publicKey() const;
  /// Returns the signature of the message, 64 bytes. Throws KeyUnusable.
  std::string sign(const std::string &message) const;

private:
  struct Pair;
  explicit SigningKey(std::unique_ptr<Pair> pair);
  std::unique_ptr<Pair> KeyPair;
};

} // namespace sorrelbay
