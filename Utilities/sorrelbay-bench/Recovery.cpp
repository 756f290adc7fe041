#include "Experiment.h"
#include "RecoveryFleet.h"

namespace sorrelbay {

namespace {

struct Deployment {
  const char *Name;
  std::size_t Engines;
  double Load;
};

/// At a load of 0.9, the engines that remain after the reclaim lack the
/// capacity for all open answers.
constexpr Deployment Deployments[] = {{"Tablón Sur", 9, 0.6},
                                      {"Tablón Sur, full", 9, 0.9},
                                      {"Caltagirone", 12, 0.6},
                                      {"Caltagirone, full", 12, 0.9}};
constexpr Duration ArrivalsUntil = seconds(40);
constexpr std::size_t Zones = 4;
constexpr std::uint64_t ShortestNoticeSeconds = 2;
constexpr std::uint64_t LongestNoticeSeconds = 30;

struct NamedPolicy {
  const char *Name;
  RecoveryPolicy Policy;
  bool MovesCaches = true;
};

constexpr NamedPolicy Policies[] = {
    {"planned", RecoveryPolicy::Planned},
    {"planned, no moves", RecoveryPolicy::Planned, false},
    {"resume at once", RecoveryPolicy::ResumeAtOnce},
    {"wait until gone", RecoveryPolicy::WaitUntilGone},
};

constexpr NamedPolicy RestartAll = {"restart all", RecoveryPolicy::RestartAll};

} // namespace

/// Simulates the reclaim of one zone; the seed determines the zone and the
/// length of the notice.
static FleetResult reclaimZone(const Deployment &deployment,
                               const NamedPolicy &policy, std::uint64_t seed) {
  std::mt19937_64 random(seed * 7919);
  FleetSettings settings;
  settings.Engines = deployment.Engines;
  settings.Zones = Zones;
  settings.Load = deployment.Load;
  settings.ArrivalsUntil = ArrivalsUntil;
  settings.Policy = policy.Policy;
  if (!policy.MovesCaches)
    settings.Recovery.MovesTogether = 0;
  Reclaim reclaim;
  reclaim.At = seconds(1);
  reclaim.Notice = seconds(std::uniform_int_distribution<std::uint64_t>(
      ShortestNoticeSeconds, LongestNoticeSeconds)(random));
  const std::size_t zone =
      std::uniform_int_distribution<std::size_t>(0, Zones - 1)(random);
  for (std::size_t i = zone; i < settings.Engines; i += Zones)
    reclaim.Engines.push_back(i);
  settings.Reclaims = {reclaim};
  return RecoveryFleet(settings, seed).run();
}

static std::vector<FleetResult> runSeeds(const Deployment &deployment,
                                         const NamedPolicy &policy,
                                         const ExperimentOptions &options) {
  std::vector<FleetResult> results;
  for (std::uint64_t seed = 1; seed <= options.Seeds; ++seed)
    results.push_back(reclaimZone(deployment, policy, seed));
  return results;
}

static void addFigures(const Deployment &deployment, const NamedPolicy &policy,
                       const std::vector<FleetResult> &results,
                       const std::vector<FleetResult> &restarted,
                       std::vector<Figure> &figures) {
  const bool isPlannedWithMoves =
      policy.Policy == RecoveryPolicy::Planned && policy.MovesCaches;
  auto figure = [&](const char *name, const char *unit, const char *aim) {
    return Figure{deployment.Name,
                  policy.Name,
                  name,
                  unit,
                  {},
                  isPlannedWithMoves ? aim : ""};
  };
  Figure recomputed = figure("recomputed", "tokens", "");
  Figure ofRestart = figure("recomputed, of restart", "share", "at most 0.25");
  Figure overload = figure("most over capacity", "answers", "0");
  Figure gap = figure("longest gap", "s", "");
  Figure whole = figure("whole answers", "share", "1");
  for (std::size_t i = 0; i < results.size(); ++i) {
    const FleetResult &it = results[i];
    recomputed.Values.push_back(static_cast<double>(it.Recomputed));
    ofRestart.Values.push_back(static_cast<double>(it.Recomputed) /
                               static_cast<double>(restarted[i].Recomputed));
    overload.Values.push_back(it.MaxOverload);
    gap.Values.push_back(toSeconds(it.LongestGap));
    whole.Values.push_back(static_cast<double>(it.Whole) /
                           static_cast<double>(it.Answers));
  }
  figures.insert(figures.end(), {recomputed, ofRestart, overload, gap, whole});
}

Experiment recoveryExperiment() {
  auto run = [](const ExperimentOptions &options) {
    std::vector<Figure> figures;
    for (const Deployment &deployment : Deployments) {
      const std::vector<FleetResult> restarted =
          runSeeds(deployment, RestartAll, options);
      addFigures(deployment, RestartAll, restarted, restarted, figures);
      for (const NamedPolicy &policy : Policies)
        addFigures(deployment, policy, runSeeds(deployment, policy, options),
                   restarted, figures);
    }
    return figures;
  };
  return {"recovery",
          "recovery of open answers when a zone is reclaimed with a notice of "
          "2 to 30 s",
          run};
}

} // namespace sorrelbay
