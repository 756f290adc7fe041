#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sorrelbay {

/// How late, how many and how much a deployment allows; from its settings.
struct GatewayBounds {
  /// From an upstream's leaving until nothing new may reach it.
  Duration Drain{};
  /// From the request to stop until the process is ended.
  Duration Grace{};
  /// From a plan's acceptance until it is in force everywhere.
  Duration PlanInForce{};
  /// From the order to evacuate a zone until nothing new may reach its
  /// upstreams; zero where zones are not evacuated.
  Duration Evacuation{};
  /// From a key's removal until no call with it may run.
  Duration KeyRemoval{};
  /// Calls with keys are refused when the plan may be older than that.
  bool KeysFailClosed = true;
  /// Repeated sends allowed as a share of a service's calls, over a window,
  /// and so many besides; over all hosts.
  double RetryShare = 0;
  Duration RetryWindow{};
  std::int64_t RetrySlack = 0;
  /// Units that a team may use beyond its allotment over all hosts.
  std::int64_t AllotmentSlack = 0;
  /// An allotment holds in any span of that length; zero where it is not
  /// known.
  Duration AllotmentWindow{};
  /// Two holders of a duty must not act by turns within that time.
  Duration Lease{};
  /// Usage is reported by windows of this length.
  Duration UsageWindow{};
  /// After the window's end.
  Duration UsageDue{};
  // FIXME: A hard limit on a trial by these; the judge's steps keep to it
  // today.
  /// The part of a service's calls that a version may get that is being tried,
  /// and so many calls besides.
  double TrialShare = 0;
  std::int64_t TrialSlack = 0;
  /// From a version's fault showing until it gets nothing more.
  Duration TrialEnd{};
  /// The longest time that callers keep an address.
  Duration AddressTimeToLive{};
};

/// All that a daemon knows when it starts on a platform whose store holds the
/// operators' plan; sorrelbayd(5) describes each key.
struct GatewaySettings {
  HostId Host;
  ZoneId Zone;
  std::string Region;
  /// The regions of the availability zones that are known.
  std::map<ZoneId, std::string> RegionOf;
  /// Cores, or the part of one, that the daemon may use; the larger hosts
  /// aggregate for the others.
  double Cores = 1;
  /// Where callers connect, "ip:port".
  std::string CallerListen;
  /// Where the platform asks whether the host is ready.
  std::string ReadinessListen;
  /// Where callers ask for addresses.
  std::string AddressListen;
  /// Where other daemons connect.
  std::string PeerListen;
  /// Where metrics are read; empty for nowhere.
  std::string MetricsListen;
  std::string StoreAddress;
  std::string CloudAddress;
  /// Calls a second of the cloud's duties, from all hosts.
  double DutyCallsPerSecond = 1;
  /// How often upstreams renew their entries.
  Duration Heartbeat{};
  GatewayBounds Bounds;
};

/// Whether the text says that the plan comes from the platform's store; such
/// settings are read by parseGatewaySettings.
bool usesStoreAsBundleSource(const std::string &text);

/// Reads the settings file's text. Throws TomlError with every fault.
GatewaySettings parseGatewaySettings(const std::string &text,
                                     const std::string &file);

} // namespace sorrelbay
