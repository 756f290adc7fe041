#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include <cstdint>
#include <string>

namespace sorrelbay {

/// What a host states about a call that it relays to another host. It travels
/// with the call in one header field, sealed with the secret that all hosts
/// share, so that no caller can claim to be a host.
struct RelayEnvelope {
  HostId From;
  HostId To;
  std::string CallId;
  /// What digestOfRequest returns for the call.
  std::string RequestDigest;
  /// The service that was chosen for the call.
  ServiceId Service;
  /// The time that is left until the call's deadline.
  Duration WaitLimit{};
  /// The number of upstreams that the call may still be sent to.
  int Attempts = 0;
  /// The version of the plan in force at the host that relays the call. A host
  /// with an older one must not take the call.
  std::uint64_t PlanVersion = 0;
  /// The id of the event after which an interrupted stream is resumed; empty
  /// otherwise.
  std::string ResumeAfter;
  /// The call has been counted as demand for the service.
  bool IsDemandCounted = false;
};

/// The envelope as the value of a header field, in hexadecimal digits.
std::string sealRelayEnvelope(const RelayEnvelope &envelope,
                              const std::string &secret);
/// Parses what sealRelayEnvelope returned. Throws PeerMessageRefused if it is
/// malformed or was not sealed with the secret.
RelayEnvelope openRelayEnvelope(const std::string &text,
                                const std::string &secret);

/// A digest of the method and the path of a request, in hexadecimal digits. It
/// ties an envelope to its request, whose path may be long.
std::string digestOfRequest(const std::string &method, const std::string &path);

/// A new random secret, in hexadecimal digits.
std::string makeRelaySecret();

} // namespace sorrelbay
