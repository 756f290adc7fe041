#include "LibLoad/PromptPartition.h"
#include "LibBase/Hash.h"
#include <algorithm>
#include <cmath>
#include <tuple>

namespace sorrelbay {

/// Fewer engines are reserved only if at least this many are not needed, so
/// that a demand near the boundary between two numbers causes no changes.
static constexpr int SurplusBeforeDecrease = 2;
/// Seed of the engines' ranking. The same on all hosts.
static constexpr std::uint64_t RankSeed = 0x70726f6d7074;

static int engineCount(const PromptPartitionInput &input) {
  std::size_t sum = 0;
  for (const auto &[zone, engines] : input.Engines)
    sum += engines.size();
  return static_cast<int>(sum);
}

/// All engines, in the order in which they are reserved: the first of each
/// zone, then the second of each zone, and so on.
static std::vector<UpstreamId>
rankedEngines(const PromptPartitionInput &input) {
  struct RankedEngine {
    std::size_t PositionInZone = 0;
    std::uint64_t ZoneHash = 0;
    UpstreamId Id;
  };
  std::vector<RankedEngine> ranked;
  for (const auto &[zone, engines] : input.Engines) {
    std::vector<std::pair<std::uint64_t, UpstreamId>> inZone;
    for (const UpstreamId &it : engines)
      inZone.emplace_back(stableHash(it.text(), RankSeed), it);
    std::sort(inZone.begin(), inZone.end());
    for (std::size_t n = 0; n < inZone.size(); ++n)
      ranked.push_back(
          {n, stableHash(zone.text(), RankSeed), inZone[n].second});
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const RankedEngine &a, const RankedEngine &b) {
              return std::tie(a.PositionInZone, a.ZoneHash, a.Id) <
                     std::tie(b.PositionInZone, b.ZoneHash, b.Id);
            });
  std::vector<UpstreamId> out;
  out.reserve(ranked.size());
  for (const RankedEngine &it : ranked)
    out.push_back(it.Id);
  return out;
}

bool PromptPartition::isShort(double milliseconds) const {
  return milliseconds <= toSeconds(Settings.ShortPromptTime) * 1000;
}

double PromptPartition::allowedExtraWait(double othersWait) const {
  const double prompt = toSeconds(Settings.ShortPromptTime) * 1000;
  return othersWait > Settings.MinOthersWaitPrompts * prompt
             ? Settings.MaxExtraWaitPrompts * prompt
             : 0;
}

bool PromptPartition::isApplicable(const PromptPartitionInput &input) const {
  return Settings.ShortPromptTime > Duration::zero() &&
         engineCount(input) >= Settings.MinEngines &&
         input.Hosts >= Settings.MinHostsPerSlot * input.Slots;
}

int PromptPartition::mostReserved(const PromptPartitionInput &input) const {
  return static_cast<int>(Settings.MaxReservedShare * engineCount(input));
}

int PromptPartition::needed(const PromptPartitionInput &input) const {
  if (!isApplicable(input) || !(input.ShortDemand > 0))
    return 0;
  int zones = 0;
  for (const auto &[zone, engines] : input.Engines)
    zones += engines.empty() ? 0 : 1;
  const double needed =
      std::ceil(input.ShortDemand / Settings.TargetUtilization);
  const int most = mostReserved(input);
  return needed >= most
             ? most
             : std::min(std::max(zones, static_cast<int>(needed)), most);
}

int PromptPartition::next(const PromptPartitionInput &input, Instant now) {
  if (!isApplicable(input))
    return 0;
  const int count = std::min(Count, mostReserved(input));
  const int target = needed(input);
  const int direction = target > count                            ? 1
                        : target <= count - SurplusBeforeDecrease ? -1
                                                                  : 0;
  if (direction != Direction) {
    Direction = direction;
    DirectionSince = now;
  }
  if (direction == 0 || now - DirectionSince < Settings.ChangeDelay ||
      now - ChangedAt < Settings.ChangeInterval)
    return count;
  ChangedAt = now;
  return count + direction;
}

bool PromptPartition::update(const PromptPartitionInput &input, Instant now) {
  const int before = Count;
  Count = next(input, now);
  HasCapacity = input.ShortDemand <= Settings.MaxUtilization * Count;
  Reserved.clear();
  if (Count > 0) {
    const std::vector<UpstreamId> ranked = rankedEngines(input);
    Reserved.insert(ranked.begin(), ranked.begin() + Count);
  }
  return Count != before;
}

} // namespace sorrelbay
