#pragma once

#include "LibBase/Error.h"

namespace sorrelbay {

/// A message from a peer is malformed or violates the protocol.
class PeerMessageRefused : public Error {
public:
  using Error::Error;
};

/// A request to a peer failed. The subclasses state whether the peer may have
/// executed it.
class PeerRequestFailed : public Error {
public:
  using Error::Error;
};

/// No byte of the request was sent, so the peer has not executed it.
class PeerUnreachable : public PeerRequestFailed {
public:
  using PeerRequestFailed::PeerRequestFailed;
};

/// The request was sent but no reply was received: the peer may have executed
/// it.
class PeerOutcomeUnknown : public PeerRequestFailed {
public:
  using PeerRequestFailed::PeerRequestFailed;
};

/// The peer replied that it does not execute the request.
class PeerDeclined : public PeerRequestFailed {
public:
  using PeerRequestFailed::PeerRequestFailed;
};

} // namespace sorrelbay
