#include "LibServing/FleetReportCheck.h"
#include <algorithm>
#include <cmath>

namespace sorrelbay {

namespace {

/// The most calls that are open at one upstream, and their tokens.
constexpr int MaxCalls = 1'000'000;
constexpr std::int64_t MaxTokens = 1'000'000'000'000;
/// The largest number of units, rate and count of a team or an upstream.
constexpr double MaxUnits = 1e15;
/// The largest revision and fencing token.
constexpr std::uint64_t MaxNumber = std::uint64_t{1} << 62;
/// The most cores of a host.
constexpr double MaxCores = 1e5;

bool isPlausible(const OutstandingWork &it) {
  return it.Calls >= 0 && it.Calls <= MaxCalls && it.PromptTokens >= 0 &&
         it.PromptTokens <= MaxTokens && it.Tokens >= 0 &&
         it.Tokens <= MaxTokens;
}

bool isAmount(double value) {
  return std::isfinite(value) && value >= 0 && value <= MaxUnits;
}

/// A level may be below zero.
bool isLevel(double value) {
  return std::isfinite(value) && std::abs(value) <= MaxUnits;
}

bool isCount(std::int64_t value) {
  return isAmount(static_cast<double>(value));
}

bool isLimit(const LimitStatement &it) {
  return !it.PerSecond || isAmount(*it.PerSecond);
}

bool isCapacity(double cores) {
  return std::isfinite(cores) && cores >= 0 && cores <= MaxCores;
}

/// Whether the next host can hold the lease after this one.
bool isLeasePlausible(const FleetMember &it) {
  return it.LeaseRevision <= MaxNumber && it.FencingToken <= MaxNumber;
}

template <typename Table, typename IsPlausible>
std::size_t countIn(const Table &table, const IsPlausible &isPlausibleValue) {
  return static_cast<std::size_t>(
      std::count_if(table.begin(), table.end(), [&](const auto &it) {
        return !isPlausibleValue(it.second);
      }));
}

template <typename Table, typename IsPlausible>
void removeIn(Table &table, const IsPlausible &isPlausibleValue) {
  for (auto it = table.begin(); it != table.end();)
    it = isPlausibleValue(it->second) ? std::next(it) : table.erase(it);
}

/// Invokes the hook with each table of the report and with the condition for
/// its values.
template <typename Report, typename Hook>
void forEachTable(Report &report, const Hook &hook) {
  hook(report.Open, [](const OutstandingWork &it) { return isPlausible(it); });
  hook(report.Demand, isAmount);
  hook(report.ShortDemand, isAmount);
  hook(report.Used, isCount);
  hook(report.Pace, isAmount);
  hook(report.Levels, isLevel);
  hook(report.RateLimits, isLimit);
  hook(report.RejectionLimits, isLimit);
  for (auto &window : report.Usage)
    hook(window.second, isCount);
}

} // namespace

std::size_t countImplausible(const FleetReport &report) {
  std::size_t n = report.Uptime < Duration::zero() ? 1 : 0;
  for (const FleetMember &it : report.Members)
    n += (isCapacity(it.Capacity) ? 0 : 1) + (isLeasePlausible(it) ? 0 : 1);
  forEachTable(report, [&n](const auto &table, const auto &isPlausibleValue) {
    n += countIn(table, isPlausibleValue);
  });
  return n;
}

void removeImplausible(FleetReport &report) {
  report.Uptime = std::max(report.Uptime, Duration::zero());
  for (FleetMember &it : report.Members) {
    if (!isCapacity(it.Capacity))
      it.Capacity = 0;
    if (!isLeasePlausible(it)) {
      it.LeaseRevision = 0;
      it.FencingToken = 0;
    }
  }
  forEachTable(report, [](auto &table, const auto &isPlausibleValue) {
    removeIn(table, isPlausibleValue);
  });
}

} // namespace sorrelbay
