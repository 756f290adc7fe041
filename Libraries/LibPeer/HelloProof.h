#pragma once

#include "LibPeer/PeerMessage.h"
#include <string>

namespace sorrelbay {

/// The side of a connection that sends a message. The proof covers it, so that
/// a proof can't be reflected to its sender.
enum class PeerRole { Opener, Accepter };

/// The minimum length of a peer secret, in bytes.
constexpr std::size_t MinSecretBytes = 16;
/// The length of a nonce, in bytes.
constexpr std::size_t NonceBytes = 16;

/// Returns a new nonce of NonceBytes cryptographically secure random bytes.
std::string makeNonce();

/// Returns the proof that the sender of `own` holds the secret: an HMAC-SHA-256
/// over its role and both hellos. It is valid for this connection only, since
/// each side contributes a new nonce.
PeerProof makeProof(const std::string &secret, PeerRole role,
                    const PeerHello &own, const PeerHello &other);

/// Compares in constant time.
bool isSameProof(const PeerProof &a, const PeerProof &b);

} // namespace sorrelbay
