#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include "LibDecision/RecoveryPlan.h"
#include <cstddef>
#include <string>
#include <vector>

namespace sorrelbay {

/// All that a daemon knows when it starts; sorrelbayd(5) describes each key.
struct DaemonSettings {
  HostId Host;
  ZoneId Zone;
  /// Where callers connect, "ip:port".
  std::string Listen;
  /// Where other daemons connect.
  std::string PeerListen;
  /// The platform's address.
  std::string Platform;
  /// Peers to try before the host list is known.
  std::vector<std::string> Peers;
  /// Shared by all daemons; proves to each that the other is one.
  std::string PeerSecret;
  /// The public keys, in hexadecimal, whose bundles are accepted.
  std::vector<std::string> OperatorKeys;

  std::size_t Workers = 0;
  std::size_t MaxBodyBytes = 0;
  std::size_t MaxOpenCalls = 0;
  Duration ObjectApiTimeout{};
  Duration EngineSilenceTimeout{};
  Duration DeskTimeout{};
  Duration PollInterval{};
  /// How long one watch of the platform waits; a planned stop may wait as long
  /// for it.
  Duration WatchTimeout{};
  Duration AddressTimeToLive{};
  Duration StopGrace{};
  RecoverySettings Recovery;
  bool WritesSpans = false;
};

/// Reads the settings file's text. Throws TomlError with every fault.
DaemonSettings parseDaemonSettings(const std::string &text,
                                   const std::string &file);

} // namespace sorrelbay
