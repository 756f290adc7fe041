#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include "LibDecision/RecoveryPlan.h"
#include <cstddef>
#include <string>
#include <vector>

namespace sorrelbay {

/// The settings of a daemon; sorrelbayd(5) describes each key.
struct DaemonSettings {
  HostId Host;
  ZoneId Zone;
  /// The address on which the daemon listens for callers, "ip:port".
  std::string Listen;
  /// The address on which the daemon listens for peers, "ip:port".
  std::string PeerListen;
  /// The platform's address, "ip:port".
  std::string Platform;
  /// Addresses of peers to connect to before the host list is known.
  std::vector<std::string> Peers;
  /// The secret that all daemons share, by which they authenticate each other
  /// as peers.
  std::string PeerSecret;
  /// The operators' public keys, in hexadecimal. Only bundles that one of them
  /// has signed are accepted.
  std::vector<std::string> OperatorKeys;

  /// The maximum number of callers' connections that are served at once, each
  /// by a thread.
  std::size_t Workers = 0;
  /// The maximum size of a request's body in bytes; larger ones are refused.
  std::size_t MaxBodyBytes = 0;
  /// The maximum number of calls in flight; further calls are refused.
  std::size_t MaxOpenCalls = 0;
  /// The timeout of one call to the object API; the call fails after it.
  Duration ObjectApiTimeout{};
  /// The maximum time without data on an engine's stream; the connection is
  /// then replaced, and after a second timeout the engine.
  Duration EngineSilenceTimeout{};
  /// The maximum wait for a desk's response; the call's outcome is then
  /// unknown.
  Duration DeskTimeout{};
  /// The minimum interval between requests for the host list and between rounds
  /// of load reports.
  Duration PollInterval{};
  /// The wait limit of one watch of the platform. A planned stop may be delayed
  /// by as much.
  Duration WatchTimeout{};
  /// How long callers may cache this daemon's address.
  Duration AddressTimeToLive{};
  /// How long a planned stop waits for calls in flight before their answers are
  /// handed over to peers.
  Duration StopGrace{};
  RecoverySettings Recovery;
  bool WritesSpans = false;
};

/// Parses the text of the settings file. Throws TomlError with every fault.
DaemonSettings parseDaemonSettings(const std::string &text,
                                   const std::string &file);

} // namespace sorrelbay
