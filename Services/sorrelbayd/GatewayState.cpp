#include "GatewayState.h"
#include "LibBase/BootClock.h"
#include "LibBase/Hash.h"
#include "LibBase/LogLine.h"
#include "LibObjectApi/InstrumentedStore.h"
#include "QuarantineLog.h"

namespace sorrelbay {

/// Interval of the log lines about calls to the store.
static constexpr Duration StoreCallsLogInterval = seconds(10);

/// The periodic work runs several times a second; a longer gap means that the
/// process was suspended.
static constexpr Duration StallThreshold = seconds(1);

/// An id that no other process of any daemon has.
static IncarnationId newIncarnation(const HostId &host) {
  std::random_device source;
  return IncarnationId(host.text() + "/" + std::to_string(source()) + "-" +
                       std::to_string(source()));
}

/// Wraps the hooks so that the state counts each call to the store.
static GatewayHooks countingStoreCalls(GatewayHooks hooks,
                                       GatewayState &state) {
  hooks.Store = instrumentedStore(
      hooks.Store,
      [&state](const char *call, ResourceKind kind,
               std::optional<StoreFailure> failure) {
        state.noteStoreCall(call, kind, failure);
      },
      [&state](ResourceKind kind, const std::vector<std::string> &begins) {
        state.Refused.noteUnnamed(kind, begins);
      });
  return hooks;
}

static UpstreamReachabilitySettings
reachabilitySettingsFor(const HostId &host) {
  UpstreamReachabilitySettings settings;
  settings.FirstProbe = stableHash(host.text());
  return settings;
}

static ReplicaTableSettings
replicaSettingsFor(const GatewaySettings &settings) {
  ReplicaTableSettings replicas;
  replicas.Engines.Partition.ShortPromptTime = settings.ShortPromptTime;
  return replicas;
}

GatewayState::GatewayState(boost::asio::io_context &loop,
                           GatewaySettings settings, GatewayHooks hooks)
    : Loop(loop), Settings(std::move(settings)),
      Hooks(countingStoreCalls(std::move(hooks), *this)),
      Incarnation(newIncarnation(Settings.Host)),
      Client(loop, {milliseconds(250), seconds(4), 32UL * 1024}),
      Replicas(replicaSettingsFor(Settings)),
      Usage(Incarnation, Settings.Zone, Settings.Bounds.UsageWindow),
      Paths(reachabilitySettingsFor(Settings.Host)),
      Fleet({Settings.Host, Settings.Zone, bootNow()}),
      Time(sorrelbay::now(), bootNow()),
      Quarantine({},
                 [this](QuarantineChange change, const QuarantineKey &key,
                        const QuarantineMark &mark) {
                   logQuarantineChange(*this, change, key, mark);
                 }),
      Crashes(Loop, Client, Time, Paths, Counts),
      Random(std::random_device()()) {}

void GatewayState::noteStoreCall(const char *call, ResourceKind kind,
                                 std::optional<StoreFailure> failure) {
  const std::string name = std::string(call) + " " + toText(kind);
  Counts.countObjectApi(name, failure ? toText(*failure) : "ok");
  ++StoreCalls[name];
  Reachability.note(!isUnreached(failure), bootNow());
}

void GatewayState::logStoreCalls(Instant now) {
  if (now - StoreCallsLoggedAt < StoreCallsLogInterval)
    return;
  if (!StoreCalls.empty()) {
    LogLine line(Severity::Info, "store calls");
    for (const auto &[name, count] : StoreCalls)
      line.field(name.c_str(), count);
  }
  StoreCalls.clear();
  StoreCallsLoggedAt = now;
}

bool GatewayState::knowsUpstreams() const {
  return ReplicasConfirmedAt != Instant{} &&
         QuarantineConfirmedAt != Instant{} &&
         (Settings.Bounds.Evacuation == Duration::zero() ||
          EvacuationsConfirmedAt != Instant{});
}

bool GatewayState::wasStalled(Instant now) const {
  return TickedAt != Instant{} && now - TickedAt > StallThreshold;
}

double GatewayState::randomFraction() {
  return std::uniform_real_distribution<double>(0, 1)(Random);
}

} // namespace sorrelbay
