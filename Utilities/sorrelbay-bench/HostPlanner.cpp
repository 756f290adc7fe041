#include "LibDecision/HostPlanner.h"
#include "Experiment.h"
#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <random>
#include <string>

namespace sorrelbay {

namespace {

struct Deployment {
  const char *Name;
  /// Demand at the busiest hour, in replicas.
  double PeakReplicas;
};

const Deployment Deployments[] = {{"Tablón Sur", 9}, {"Caltagirone", 12}};

constexpr int Zones = 4;
constexpr Duration Step = seconds(10);
constexpr Duration SimulatedSpan = hours(48);
/// Time from the order of a host until it serves, including the load of its
/// weights.
constexpr Duration StartTime = minutes(3);
constexpr std::int64_t OnDemandCost = 1000000;
/// Bounds of a zone's price of reclaimable hosts, as shares of the on-demand
/// price.
constexpr double LowestPrice = 0.2;
constexpr double HighestPrice = 0.5;
/// Mean time between two reclaims of a zone, and the bounds of the time after
/// each reclaim in which the zone refuses to start reclaimable hosts.
constexpr double MeanHoursBetweenReclaims = 8;
constexpr int MinRefusedMinutes = 5;
constexpr int MaxRefusedMinutes = 40;
/// Probability that the start of a reclaimable host is refused at any other
/// time.
constexpr double StartRefusalRate = 0.05;
/// Ratio of the ordered capacity to the demand that is expected by the time
/// that an ordered host serves.
constexpr double Headroom = 1.1;

/// Prices, refusals and reclaims of one zone by step; the same for all policies
/// of a seed.
struct ZoneTrace {
  std::vector<double> Price;
  std::vector<bool> IsRefusing;
  std::vector<bool> HasReclaimNotice;
};

struct MarketTrace {
  std::vector<ZoneTrace> Zones;
  std::vector<double> Demand;
};

std::size_t stepsIn(Duration span) {
  return static_cast<std::size_t>(span / Step);
}

ZoneTrace makeZone(std::mt19937_64 &random) {
  ZoneTrace zone;
  double price =
      std::uniform_real_distribution<double>(LowestPrice, HighestPrice)(random);
  std::normal_distribution<double> drift(0, 0.002);
  const double perStep =
      toSeconds(Step) / toSeconds(hours(1)) / MeanHoursBetweenReclaims;
  std::size_t refusedUntil = 0;
  for (std::size_t n = 0; n < stepsIn(SimulatedSpan); ++n) {
    price = std::clamp(price + drift(random), LowestPrice, HighestPrice);
    const bool isZoneReclaim = std::bernoulli_distribution(perStep)(random);
    if (isZoneReclaim)
      refusedUntil = n + stepsIn(minutes(std::uniform_int_distribution<int>(
                             MinRefusedMinutes, MaxRefusedMinutes)(random)));
    zone.Price.push_back(price);
    zone.HasReclaimNotice.push_back(isZoneReclaim);
    zone.IsRefusing.push_back(n < refusedUntil);
  }
  return zone;
}

/// Generates two days of prices and demand. The demand is low at night and
/// peaks by day, with noise added.
MarketTrace makeMarketTrace(const Deployment &deployment, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  MarketTrace marketTrace;
  for (int n = 0; n < Zones; ++n)
    marketTrace.Zones.push_back(makeZone(random));
  double noise = 0;
  std::normal_distribution<double> drift(0, 0.005);
  for (std::size_t n = 0; n < stepsIn(SimulatedSpan); ++n) {
    const double hour = toSeconds(Step) * static_cast<double>(n) / 3600;
    const double daily = 0.65 - 0.35 * std::cos(hour / 24 * 2 * M_PI);
    noise = std::clamp(noise + drift(random), -0.1, 0.1);
    marketTrace.Demand.push_back(deployment.PeakReplicas * (daily + noise));
  }
  return marketTrace;
}

/// A simulated cloud. Hosts serve after StartTime, are charged from their order
/// on, and a reclaim removes all reclaimable hosts of its zone.
class SimulatedCloud {
public:
  SimulatedCloud(const MarketTrace &marketTrace, std::uint64_t seed)
      : Market(marketTrace), Random(seed) {}

  std::vector<HostOffer> offers(std::size_t n) const {
    std::vector<HostOffer> out;
    out.reserve(Zones + 1);
    for (int zone = 0; zone < Zones; ++zone)
      out.push_back({ZoneId(std::to_string(zone)), MachineClass("gpu"), true,
                     static_cast<std::int64_t>(
                         OnDemandCost *
                         Market.Zones[static_cast<std::size_t>(zone)].Price[n]),
                     1});
    out.push_back({ZoneId("0"), MachineClass("gpu"), false, OnDemandCost, 1});
    return out;
  }

  /// Orders a host; returns false if the cloud refuses to start it.
  bool create(const CreateOrder &order, std::size_t n) {
    if (order.From.IsReclaimable &&
        (zoneOf(order.From).IsRefusing[n] ||
         std::bernoulli_distribution(StartRefusalRate)(Random)))
      return false;
    Hosts.push_back(
        {{std::to_string(NextId++), order.Token, CloudHostState::Starting},
         order.From,
         n + stepsIn(StartTime)});
    return true;
  }

  void remove(const std::string &id) {
    Hosts.erase(
        std::remove_if(Hosts.begin(), Hosts.end(),
                       [&](const Host &it) { return it.Listed.Id == id; }),
        Hosts.end());
  }

  /// Advances to step `n` and returns the cost of all hosts in it, relative to
  /// the on-demand price.
  double advance(std::size_t n) {
    // A reclaim notice lasts only seconds, less than a step, so the hosts are
    // removed at once.
    Hosts.erase(std::remove_if(Hosts.begin(), Hosts.end(),
                               [&](const Host &it) {
                                 return it.From.IsReclaimable &&
                                        zoneOf(it.From).HasReclaimNotice[n];
                               }),
                Hosts.end());
    double cost = 0;
    for (Host &it : Hosts) {
      if (n >= it.LiveAt)
        it.Listed.State = CloudHostState::Live;
      cost += it.From.IsReclaimable ? zoneOf(it.From).Price[n] : 1;
    }
    return cost;
  }

  std::vector<CloudHost> list() const {
    std::vector<CloudHost> out;
    out.reserve(Hosts.size());
    for (const Host &it : Hosts)
      out.push_back(it.Listed);
    return out;
  }

  double capacity() const {
    double sum = 0;
    for (const Host &it : Hosts)
      sum += it.Listed.State == CloudHostState::Live ? it.From.Capacity : 0;
    return sum;
  }

private:
  struct Host {
    CloudHost Listed;
    HostOffer From;
    std::size_t LiveAt;
  };

  const ZoneTrace &zoneOf(const HostOffer &offer) const {
    return Market.Zones[std::stoul(offer.InZone.text())];
  }

  const MarketTrace &Market;
  std::mt19937_64 Random;
  std::vector<Host> Hosts;
  int NextId = 1;
};

/// A policy selects the offers that the host planner may use.
struct Policy {
  const char *Name;
  std::function<std::vector<HostOffer>(const std::vector<HostOffer> &)> Filter;
};

struct Outcome {
  double Cost = 0;
  double Served = 0;
  double Demanded = 0;
};

/// Simulates one policy. The host planner runs every 30 s and its orders are
/// carried out at once.
class Fleet {
public:
  explicit Fleet(const Policy &policy, const MarketTrace &marketTrace,
                 std::uint64_t seed)
      : OfferPolicy(policy), Market(marketTrace), Cloud(marketTrace, seed) {
    HostPlannerSettings settings;
    settings.StartTime = StartTime;
    PlannerUnderTest = HostPlanner(settings);
  }

  Outcome run() {
    constexpr Duration PlanningPeriod = seconds(30);
    Outcome outcome;
    for (std::size_t n = 0; n < Market.Demand.size(); ++n) {
      const double cost = Cloud.advance(n);
      if (n % stepsIn(PlanningPeriod) == 0)
        runPlanner(n);
      // The first hour is not counted, since every policy starts without hosts.
      if (n < stepsIn(hours(1)))
        continue;
      outcome.Cost += cost;
      outcome.Demanded += Market.Demand[n];
      outcome.Served += std::min(Market.Demand[n], Cloud.capacity());
    }
    return outcome;
  }

private:
  /// The capacity needed by the time that a host ordered now would serve.
  double expectedDemand(std::size_t n) const {
    const std::size_t ahead = stepsIn(StartTime);
    const std::size_t before = n >= ahead ? n - ahead : 0;
    const double growth = Market.Demand[n] - Market.Demand[before];
    return Headroom * (Market.Demand[n] + std::max(0.0, growth));
  }

  void runPlanner(std::size_t n) {
    const Instant now = Instant(Step * static_cast<std::int64_t>(n));
    HostPlannerInput plannerInput;
    plannerInput.Generation = 1;
    plannerInput.Offers = OfferPolicy.Filter(Cloud.offers(n));
    plannerInput.Capacity = expectedDemand(n);
    plannerInput.Hosts = Cloud.list();
    // Hosts that were listed after the last run but are missing now were
    // reclaimed.
    for (const auto &it : LastListed)
      if (std::none_of(plannerInput.Hosts.begin(), plannerInput.Hosts.end(),
                       [&](const CloudHost &host) { return host.Id == it.Id; }))
        plannerInput.Hosts.push_back({it.Id, it.Token, CloudHostState::Gone});
    const HostPlannerDecision decision =
        PlannerUnderTest.decide(Plan, plannerInput, now);
    Plan = decision.Plan;
    for (const std::string &it : decision.Deletes)
      Cloud.remove(it);
    for (const CreateOrder &it : decision.Creates)
      if (!Cloud.create(it, n))
        PlannerUnderTest.noteRefused(it.From, now);
    LastListed = Cloud.list();
  }

  const Policy &OfferPolicy;
  const MarketTrace &Market;
  SimulatedCloud Cloud;
  HostPlanner PlannerUnderTest;
  HostPlan Plan;
  std::vector<CloudHost> LastListed;
};

std::vector<HostOffer> onlyOnDemand(const std::vector<HostOffer> &offers) {
  std::vector<HostOffer> out;
  for (const HostOffer &it : offers)
    if (!it.IsReclaimable)
      out.push_back(it);
  return out;
}

/// Selects only the cheapest offer. With one offer the plan has no reserve for
/// the loss of a zone, so it holds only the needed number of hosts.
std::vector<HostOffer> onlyCheapest(const std::vector<HostOffer> &offers) {
  HostOffer best = offers.front();
  for (const HostOffer &it : offers)
    if (it.HourlyCost < best.HourlyCost)
      best = it;
  return {best};
}

/// Lower bound of the cost: at each step exactly the hosts that the demand
/// needs, in the cheapest zone that does not refuse them or else on demand.
double lowerBound(const MarketTrace &marketTrace) {
  double cost = 0;
  for (std::size_t n = stepsIn(hours(1)); n < marketTrace.Demand.size(); ++n) {
    double price = 1;
    for (const ZoneTrace &it : marketTrace.Zones)
      if (!it.IsRefusing[n])
        price = std::min(price, it.Price[n]);
    cost += std::ceil(marketTrace.Demand[n]) * price;
  }
  return cost;
}

std::vector<Figure> measure(const Deployment &deployment, std::uint64_t seeds) {
  const Policy policies[] = {
      {"all on-demand", onlyOnDemand},
      {"cheapest first", onlyCheapest},
      {"sorrelbay", [](const std::vector<HostOffer> &it) { return it; }}};
  std::vector<Figure> figures;
  for (const Policy &policy : policies) {
    const bool isProduct = std::string(policy.Name) == "sorrelbay";
    Figure cost{
        deployment.Name,         policy.Name, "cost, of all on-demand", "%", {},
        isProduct ? "<= 60" : ""};
    Figure served{deployment.Name,
                  policy.Name,
                  "demand carried in time",
                  "%",
                  {},
                  isProduct ? ">= all on-demand" : ""};
    Figure distance{
        deployment.Name, policy.Name, "cost, of the lower bound", "%", {}, ""};
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      const MarketTrace marketTrace = makeMarketTrace(deployment, seed);
      const double onDemand = Fleet(policies[0], marketTrace, seed).run().Cost;
      const Outcome outcome = Fleet(policy, marketTrace, seed).run();
      cost.Values.push_back(100 * outcome.Cost / onDemand);
      served.Values.push_back(100 * outcome.Served / outcome.Demanded);
      distance.Values.push_back(100 * outcome.Cost / lowerBound(marketTrace));
    }
    for (Figure &it : std::vector<Figure>{cost, served, distance})
      figures.push_back(std::move(it));
  }
  return figures;
}

std::vector<Figure> run(const ExperimentOptions &options) {
  std::vector<Figure> figures;
  for (const Deployment &deployment : Deployments)
    for (Figure &it : measure(deployment, options.Seeds))
      figures.push_back(std::move(it));
  return figures;
}

} // namespace

Experiment hostPlannerExperiment() {
  return {"mover", "cost and served demand of the planned hosts over two days",
          run};
}

} // namespace sorrelbay
