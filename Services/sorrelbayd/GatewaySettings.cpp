#include "GatewaySettings.h"
#include "LibBase/TomlReader.h"
#include <limits>

namespace sorrelbay {

static constexpr double MsPerSecond = 1000;
static constexpr double MaxMilliseconds = 24 * 3600 * MsPerSecond;
static constexpr double MinSeconds = 0.1;
/// A larger reserve has no effect: at most half of a burst is reserved.
static constexpr double MaxReserveSeconds = 60;
static constexpr std::int64_t DefaultWaitingCalls = 1000;
static constexpr std::int64_t MaxWaitingCalls = 10000;
static constexpr std::int64_t BytesPerMegabyte = 1000000;
static constexpr std::int64_t DefaultWaitingMegabytes = 32;
static constexpr std::int64_t MaxWaitingMegabytes = 4096;
static constexpr std::int64_t MaxShortPromptMs = 60000;
static constexpr double MaxCount = std::numeric_limits<int>::max();

/// A required "ip:port"; a fault is added if a part is missing.
static std::string addressAt(TomlReader &from, const char *key) {
  std::string text = from.requiredText(key);
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0 || colon + 1 == text.size())
    from.addFault(key, "must have the form ip:port");
  return text;
}

/// A required number. Fractions and integers are accepted, since platforms
/// write both.
static double numberAt(TomlReader &from, const char *key, double minAllowed,
                       double maxAllowed) {
  if (!from.has(key))
    from.addFault(key, "is missing");
  return from.number(key, minAllowed, minAllowed, maxAllowed);
}

static Duration millisecondsAt(TomlReader &from, const char *key,
                               double minAllowed) {
  return fromSeconds(numberAt(from, key, minAllowed, MaxMilliseconds) /
                     MsPerSecond);
}

static Duration secondsAt(TomlReader &from, const char *key) {
  return fromSeconds(
      numberAt(from, key, MinSeconds, MaxMilliseconds / MsPerSecond));
}

static std::int64_t countAt(TomlReader &from, const char *key) {
  return static_cast<std::int64_t>(from.number(key, 0, 0, MaxCount));
}

static GatewayBounds boundsAt(TomlReader &from) {
  GatewayBounds bounds;
  bounds.Drain = millisecondsAt(from, "drain_ms", 1);
  bounds.Grace = secondsAt(from, "grace_s");
  bounds.PlanInForce = millisecondsAt(from, "plan_in_force_ms", 1);
  if (from.has("evacuate_ms"))
    bounds.Evacuation = millisecondsAt(from, "evacuate_ms", 1);
  bounds.KeyRemoval = millisecondsAt(from, "key_removal_ms", 1);
  bounds.KeysFailClosed = from.boolean("keys_fail_closed", true);
  bounds.RetryShare = from.number("repeat_share", 0.1, 0, 1);
  bounds.RetryWindow = secondsAt(from, "repeat_window_s");
  bounds.RetrySlack = countAt(from, "repeat_slack");
  bounds.AllotmentSlack = countAt(from, "allotment_slack");
  if (from.has("allotment_window_s"))
    bounds.AllotmentWindow = secondsAt(from, "allotment_window_s");
  bounds.Lease = millisecondsAt(from, "lease_ms", 1);
  bounds.UsageWindow = secondsAt(from, "usage_window_s");
  bounds.UsageDue = secondsAt(from, "usage_due_s");
  bounds.TrialShare = from.number("trial_share", 0.1, 0, 1);
  bounds.TrialSlack = countAt(from, "trial_slack");
  bounds.TrialEnd = millisecondsAt(from, "trial_end_ms", 1);
  bounds.AddressTimeToLive = secondsAt(from, "address_ttl_s");
  return bounds;
}

bool usesStoreAsBundleSource(const std::string &text) {
  try {
    TomlReader all = TomlReader::parse(text, "");
    return all.text("bundle_source", "signed") == "store";
  } catch (const TomlError &) {
    return false;
  }
}

GatewaySettings parseGatewaySettings(const std::string &text,
                                     const std::string &file) {
  TomlReader all = TomlReader::parse(text, file);
  GatewaySettings settings;
  if (all.requiredText("bundle_source") != "store")
    all.addFault("bundle_source", "must be \"store\"");
  TomlReader host = all.table("host");
  settings.Host = HostId(host.requiredText("name"));
  settings.Zone = ZoneId(host.requiredText("zone"));
  settings.Region = host.text("region", "");
  settings.Cores = host.number("cores", 1, 0.001, 4096);
  for (TomlReader &it : all.tables("zone_regions"))
    settings.RegionOf[ZoneId(it.requiredText("zone"))] =
        it.requiredText("region");
  TomlReader listen = all.table("listen");
  settings.CallerListen = addressAt(listen, "callers");
  settings.ReadinessListen = addressAt(listen, "readiness");
  settings.AddressListen = addressAt(listen, "addresses");
  settings.PeerListen = addressAt(listen, "peers");
  if (listen.has("relays"))
    settings.RelayListen = addressAt(listen, "relays");
  if (listen.has("metrics"))
    settings.MetricsListen = addressAt(listen, "metrics");
  TomlReader store = all.table("store");
  settings.StoreAddress = addressAt(store, "address");
  TomlReader cloud = all.table("cloud");
  settings.CloudAddress = addressAt(cloud, "address");
  settings.DutyCallsPerSecond =
      cloud.number("duty_calls_per_second", 1, 0.001, 1e6);
  TomlReader upstreams = all.table("upstreams");
  settings.Heartbeat = millisecondsAt(upstreams, "heartbeat_ms", 1);
  TomlReader waiting = all.table("waiting");
  settings.MaxWaitingCalls = static_cast<std::size_t>(
      waiting.integer("max_calls", DefaultWaitingCalls, 0, MaxWaitingCalls));
  settings.MaxWaitingBytes = static_cast<std::size_t>(
      waiting.integer("max_megabytes", DefaultWaitingMegabytes, 1,
                      MaxWaitingMegabytes) *
      BytesPerMegabyte);
  TomlReader bounds = all.table("bounds");
  settings.Bounds = boundsAt(bounds);
  TomlReader teams = all.table("teams");
  settings.UrgentReserve = teams.number(
      "urgent_reserve", settings.UrgentReserve, 0, MaxReserveSeconds);
  if (all.has("placement")) {
    TomlReader placement = all.table("placement");
    settings.ShortPromptTime = milliseconds(
        placement.integer("short_prompt_ms", 0, 0, MaxShortPromptMs));
  }
  all.finish();
  return settings;
}

} // namespace sorrelbay
