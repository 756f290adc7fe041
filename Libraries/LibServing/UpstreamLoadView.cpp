#include "LibServing/UpstreamLoadView.h"
#include <algorithm>
#include <cmath>
#include <utility>

namespace sorrelbay {

/// The age at which a statement has half its weight. In replays of 60 ms calls,
/// waiting times were shortest with 50 to 100 ms: with 300 ms, a desk that was
/// full or slow gets calls again too late.
static constexpr Duration HalfLife = milliseconds(100);
/// Statements of this age are not used.
static constexpr Duration MaxAge = seconds(1);
/// How long nothing is used that an upstream states about free capacity after
/// it was contradicted.
static constexpr Duration DistrustPeriod = seconds(2);
/// A call reaches its upstream within this time, and its response this host.
/// Before that, an upstream may rightly state fewer calls than this host has
/// open.
static constexpr Duration TransitMargin = milliseconds(250);
/// A single statement makes an upstream neither much better nor much worse than
/// measured times can; the bounds are those of EngineModel.
static constexpr double MinSlowness = 0.5;
static constexpr double MaxSlowness = 8;

static bool hasFreeSlots(const LoadStatement &it) {
  return it.Running + it.Waiting < it.Slots;
}

std::optional<IgnoredReason>
UpstreamLoadView::note(const UpstreamId &id, const LoadStatement &statement) {
  if (!isPlausible(statement))
    return IgnoredReason::Implausible;
  Upstream &it = Upstreams[id];
  checkOpenCalls(id, it, statement.At);
  it.Newest = statement;
  it.OwnCallsSince = 0;
  ++it.Responding;
  if (!it.Unchecked)
    it.Unchecked = statement;
  if (isContradicted(id, statement.At) && hasFreeSlots(statement))
    return IgnoredReason::Contradicted;
  return std::nullopt;
}

void UpstreamLoadView::noteStarted(const UpstreamId &id, Instant now) {
  const auto found = Upstreams.find(id);
  if (found == Upstreams.end())
    return;
  Upstream &it = found->second;
  checkOpenCalls(id, it, now);
  it.OpenSince.push_back(now);
  ++it.OwnCallsSince;
}

void UpstreamLoadView::noteEnded(const UpstreamId &id, bool wasRejected,
                                 Instant now) {
  const auto found = Upstreams.find(id);
  if (found == Upstreams.end())
    return;
  Upstream &it = found->second;
  // An older statement may have been right until other calls arrived.
  if (wasRejected && !it.OpenSince.empty() &&
      it.OpenSince.back() <= it.Newest.At && hasFreeSlots(it.Newest))
    contradict(id, it, it.Newest, now);
  if (!it.OpenSince.empty())
    it.OpenSince.pop_front();
  if (it.Responding > 0)
    --it.Responding;
  else
    --it.OwnCallsSince;
}

void UpstreamLoadView::noteIdle(const UpstreamId &id) {
  const auto found = Upstreams.find(id);
  if (found == Upstreams.end())
    return;
  found->second.OpenSince.clear();
  found->second.Responding = 0;
}

/// Checks whether calls that were open well before a statement and well after
/// it are more than it stated.
void UpstreamLoadView::checkOpenCalls(const UpstreamId &id, Upstream &it,
                                      Instant now) {
  if (!it.Unchecked || now - it.Unchecked->At < TransitMargin)
    return;
  const LoadStatement checked = *it.Unchecked;
  it.Unchecked.reset();
  const auto open = std::count_if(
      it.OpenSince.begin(), it.OpenSince.end(),
      [&](Instant start) { return start <= checked.At - TransitMargin; });
  if (open > checked.Running + checked.Waiting + it.Responding)
    contradict(id, it, checked, now);
}

void UpstreamLoadView::contradict(const UpstreamId &id, Upstream &it,
                                  const LoadStatement &statement, Instant now) {
  it.ContradictedUntil = now + DistrustPeriod;
  Contradicted.push_back({id, IgnoredReason::Contradicted, statement});
}

bool UpstreamLoadView::isContradicted(const UpstreamId &id, Instant now) const {
  const auto found = Upstreams.find(id);
  return found != Upstreams.end() && now < found->second.ContradictedUntil;
}

ExpectedLoad UpstreamLoadView::expected(const UpstreamId &id,
                                        Instant now) const {
  ExpectedLoad out;
  const auto found = Upstreams.find(id);
  if (found == Upstreams.end())
    return out;
  const Upstream &it = found->second;
  const LoadStatement &stated = it.Newest;
  const bool isContradicted = now < it.ContradictedUntil;
  const Duration age = std::max(Duration::zero(), now - stated.At);
  out.IsKnown = age < MaxAge || isContradicted;
  if (!out.IsKnown)
    return out;
  out.Slots = stated.Slots;
  out.StatedCalls = stated.Running + stated.Waiting;
  out.OwnCallsSince = it.OwnCallsSince;
  out.Weight =
      age < MaxAge ? std::exp2(-toSeconds(age) / toSeconds(HalfLife)) : 0;
  out.Slowness = std::clamp(1 + out.Weight * (stated.Slowness.value_or(1) - 1),
                            MinSlowness, MaxSlowness);
  if (isContradicted) {
    out.Weight = 1;
    out.StatedCalls = std::max<double>(out.StatedCalls, out.Slots);
    out.Slowness = std::max(1.0, out.Slowness);
  }
  return out;
}

std::vector<IgnoredLoad> UpstreamLoadView::takeContradicted() {
  return std::exchange(Contradicted, {});
}

} // namespace sorrelbay
