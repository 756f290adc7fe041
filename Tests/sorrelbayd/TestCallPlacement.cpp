#include "CallPlacement.h"
#include <boost/test/unit_test.hpp>
#include <random>
#include <string>
#include <tuple>
#include <vector>

using namespace sorrelbay;

namespace {

const ServiceId Model("model");
const ServiceId Desk("desk");
const Instant Begin{seconds(1000)};
constexpr int CallCount = 200;

ServingRoute routeOf(const char *name, const ServiceId &service,
                     Duration timeout, Duration target) {
  ServingRoute route;
  route.Name = RouteId(name);
  route.ServiceWeights = {{service, 1}};
  route.Timeout = timeout;
  route.LatencyTarget = target;
  route.IsStream = service == Model;
  return route;
}

/// A plan of two routes to engines and one to desks.
ServingPlan planOf(double targetFactor) {
  const auto target = [&](Duration usual) {
    return fromSeconds(toSeconds(usual) * targetFactor);
  };
  ServingPlan plan;
  plan.Routes = {
      routeOf("long", Model, seconds(10), target(milliseconds(800))),
      routeOf("short", Model, milliseconds(2500), target(milliseconds(500))),
      routeOf("desk", Desk, seconds(1), target(milliseconds(100)))};
  plan.Services.push_back({Model, 100, EngineShape{}, {}, 0});
  plan.Services.push_back({Desk, 100, {}, {}, 0});
  return plan;
}

/// What a host decides for one call.
using Decision = std::tuple<std::string, bool, Duration, Duration>;

/// A host with a random load, which the seed and nothing else determines.
class RandomHost {
public:
  RandomHost(std::uint64_t seed, double targetFactor)
      : Random(seed), State(Loop, {}, {}), Plan(planOf(targetFactor)) {
    State.Random.seed(seed);
    for (int n = 0; n < 6; ++n) {
      ReplicaRecord record;
      record.Id = UpstreamId("r" + std::to_string(n));
      record.OfService = n < 4 ? Model : Desk;
      record.Slots = 8;
      record.Address = "127.0.0.1:" + std::to_string(9000 + n);
      State.Replicas.note(record, Begin);
    }
    std::vector<PromptRoute> routes;
    for (const ServingRoute &it : Plan.plan().Routes)
      if (it.IsStream)
        routes.push_back({Model, it.Name, it.Timeout});
    State.PromptWaits.setRoutes(routes);
  }

  std::vector<Decision> decide() {
    std::vector<Decision> out;
    out.reserve(CallCount);
    for (int n = 0; n < CallCount; ++n)
      out.push_back(decideOne(Begin + milliseconds(10) * n));
    return out;
  }

private:
  std::int64_t below(std::int64_t n) {
    return static_cast<std::int64_t>(Random() % static_cast<std::uint64_t>(n));
  }

  Decision decideOne(Instant now) {
    const ServingRoute &route =
        Plan.plan().Routes[static_cast<std::size_t>(below(3))];
    ServingCall call;
    if (route.IsStream) {
      call.PromptTokens = 1 + below(20000);
      call.MaxOutputTokens = 1 + below(400);
      call.Prompt = {{"c" + std::to_string(below(5)), *call.PromptTokens}};
    }
    const ServiceId service = route.ServiceWeights.front().Name;
    CallPlacement placement(State, {call, Plan, route, nullptr, service});
    const auto chosen = placement.choose(now);
    BOOST_REQUIRE(chosen);
    Decision out{chosen->Id.text(),
                 placement.canEndInTime(*chosen, milliseconds(below(10000))),
                 placement.ownTime(), placement.silenceTimeout(*chosen)};
    placement.noteSent(*chosen);
    State.Replicas.noteSent(
        chosen->Id, {chosen->TokensToPrefill, chosen->TokensToPrefill}, now);
    learn(service, placement.priority(), *chosen, now);
    return out;
  }

  /// Measures what the call takes.
  void learn(const ServiceId &service, int priority,
             const ReplicaChoice &chosen, Instant now) {
    const Duration took = milliseconds(1 + below(2000));
    if (service == Desk)
      return State.Times.noteResponse(service, took);
    State.Replicas.noteFirstToken(
        chosen.Id, {chosen.TokensToPrefill + chosen.TokensAhead, took}, now);
    State.Times.noteFirstToken(service, priority, chosen.FirstToken, took);
    State.Times.noteOutput(service, 1 + below(400), took);
  }

  std::mt19937_64 Random;
  boost::asio::io_context Loop;
  GatewayState State;
  PlanIndex Plan;
};

} // namespace

BOOST_AUTO_TEST_SUITE(call_placement)

// An operator states another latency target, and calls that their callers would
// have waited for are refused, sent elsewhere or taken away from an upstream.
BOOST_AUTO_TEST_CASE(randomised_latency_targets_change_no_decision) {
  int refused = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    const std::vector<Decision> usual = RandomHost(seed, 1).decide();
    for (const Decision &it : usual)
      refused += std::get<bool>(it) ? 0 : 1;
    for (const double factor : {0.1, 10.0})
      BOOST_TEST((RandomHost(seed, factor).decide() == usual),
                 "seed " << seed << ", targets times " << factor);
  }
  BOOST_TEST(refused > 100);
  BOOST_TEST(refused < 20 * CallCount - 100);
}

BOOST_AUTO_TEST_SUITE_END()
