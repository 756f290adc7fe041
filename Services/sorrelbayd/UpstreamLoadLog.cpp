#include "UpstreamLoadLog.h"
#include "GatewayState.h"
#include "LibBase/LogLine.h"
#include <algorithm>
#include <cmath>

namespace sorrelbay {

/// An upstream counts as slow from this multiple of its usual time on.
static constexpr double SlowFrom = 1.5;
static constexpr Duration LogInterval = seconds(10);
/// Slow upstreams that are named in a line.
static constexpr std::size_t MaxNamed = 8;

void UpstreamLoadLog::note(const UpstreamId &id, const LoadStatement &load) {
  const double slowness = load.Slowness.value_or(1);
  if (slowness < SlowFrom)
    return;
  Slow &it = SlowUpstreams[id];
  ++it.Statements;
  it.Slowness = std::max(it.Slowness, slowness);
}

void UpstreamLoadLog::log(Instant now) {
  if (now - LoggedAt < LogInterval)
    return;
  LoggedAt = now;
  if (SlowUpstreams.empty())
    return;
  std::vector<std::pair<UpstreamId, Slow>> all(SlowUpstreams.begin(),
                                               SlowUpstreams.end());
  SlowUpstreams.clear();
  std::sort(all.begin(), all.end(), [](const auto &a, const auto &b) {
    return a.second.Statements > b.second.Statements;
  });
  LogLine line(Severity::Info, "upstreams state that they are slow");
  line.field("upstreams", static_cast<std::int64_t>(all.size()));
  std::string names;
  for (std::size_t n = 0; n < std::min(all.size(), MaxNamed); ++n)
    names += (n == 0 ? "" : ", ") + all[n].first.text() + " " +
             std::to_string(std::lround(all[n].second.Slowness * 100)) + "% x" +
             std::to_string(all[n].second.Statements);
  line.field("most", names);
}

void setUpstreamLoadMetrics(GatewayState &state, Instant now) {
  const UpstreamLoadView &loads = state.Replicas.loads();
  std::map<ServiceId, std::map<std::string, int>> counts;
  for (const ReplicaRecord &it : state.Replicas.records()) {
    auto &ofService = counts[it.OfService];
    ofService["slow"] += loads.slownessOf(it.Id, now) >= SlowFrom ? 1 : 0;
    ofService["contradicted"] += loads.isContradicted(it.Id, now) ? 1 : 0;
  }
  for (const auto &[service, byState] : counts)
    for (const auto &[name, count] : byState)
      state.Counts.setUpstreamLoads(service.text(), name, count);
}

} // namespace sorrelbay
