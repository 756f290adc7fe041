#include "../LibDecision/SoakSeeds.h"
#include "RejectionSimulation.h"
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;

namespace {

struct Fleet {
  int Hosts;
  int Zones;
};

const Fleet Fleets[] = {{1, 1}, {6, 4}, {24, 4}};
const double Loads[] = {0.7, 1.2, 2};

constexpr int Seconds = 40;

const HostId Self("self");
const UpstreamId Upstream("upstream");
const Instant Begin{seconds(1000)};
constexpr int Slots = 10;

/// Statements of an upstream that bears ten rejections a second.
UpstreamStatements statementsFor(SendingHosts hosts) {
  UpstreamStatements out;
  out.setSendingHosts(std::move(hosts));
  out.noteRejectionLimit(Upstream, {10.0, Begin});
  return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(rejection_limits)

// The upstreams of a service fail when they have to reject more than a few
// calls a second, and hosts go on sending what they can't take.
BOOST_AUTO_TEST_CASE(randomised_upstreams_survive_their_rejections) {
  for (const Fleet &fleet : Fleets)
    for (const double load : Loads)
      for (std::uint64_t seed = 1; seed <= soakSeeds(1); ++seed) {
        RejectionPlan plan;
        plan.Seed = seed;
        plan.Hosts = fleet.Hosts;
        plan.Zones = fleet.Zones;
        plan.Load = load;
        RejectionSimulation simulation(plan);
        const std::string violation = simulation.simulate(Seconds);
        BOOST_TEST(violation == "", fleet.Hosts << " hosts, load " << load
                                                << ", seed " << seed << ": "
                                                << violation);
        BOOST_TEST_MESSAGE(fleet.Hosts << " hosts, load " << load << ": "
                                       << simulation.failures() << " failures, "
                                       << simulation.faults() << " faults, "
                                       << simulation.brittleTimes()
                                       << " brittle times, " << simulation.use()
                                       << " of the possible calls ran");
      }
}

// The checks must notice that hosts don't know of the limit, or don't share it.
BOOST_AUTO_TEST_CASE(omissions_are_noticed) {
  for (const RejectionOmission it :
       {RejectionOmission::Statements, RejectionOmission::Division}) {
    RejectionPlan plan;
    plan.Seed = 1;
    plan.Load = 2;
    plan.Without = it;
    BOOST_TEST(RejectionSimulation(plan).simulate(Seconds).find("LIMIT") == 0);
  }
}

// All hosts together must not cause more rejections than the upstream bears,
// and not use more slots than it has.
BOOST_AUTO_TEST_CASE(shares_of_all_hosts_stay_within_the_limit) {
  for (const int hosts : {1, 2, 6, 24, 350})
    for (const double perSecond : {0.0, 1.0, 5.0, 40.0, 1e300})
      for (const int slots : {1, 6, 48}) {
        SendingHosts all;
        for (int n = 0; n < hosts; ++n)
          all.All.push_back(HostId("h" + std::to_string(n)));
        RejectionShare sum;
        for (const HostId &it : all.All) {
          all.Self = it;
          const RejectionShare share =
              rejectionShare(Upstream, all, slots, perSecond);
          sum.Slots += share.Slots;
          sum.Rejections += share.Rejections;
        }
        BOOST_TEST(sum.Slots <= slots);
        BOOST_TEST(sum.Slots >= 1);
        BOOST_TEST(sum.Rejections <= perSecond);
      }
}

// A host that knows that there are others and has no reports of them must not
// take the whole.
BOOST_AUTO_TEST_CASE(a_host_that_knows_no_peers_is_careful) {
  UpstreamStatements alone = statementsFor({Self, {Self}, false});
  UpstreamStatements careful = statementsFor({Self, {Self}, true});
  BOOST_TEST(alone.allowCall(Upstream, {Slots, 5, 0}, Begin));
  BOOST_TEST(careful.allowCall(Upstream, {Slots, 0, 0}, Begin));
  BOOST_TEST(!careful.allowCall(Upstream, {Slots, 1, 0}, Begin));
}

// Beyond its slots a host sends as many calls as the upstream may reject, and
// no more until it has had the time to reject them.
BOOST_AUTO_TEST_CASE(rejections_are_spent_and_come_back) {
  const HostId other("other");
  UpstreamStatements statements = statementsFor({Self, {other, Self}, false});
  const UpstreamRoom room{Slots, 5, 0};
  int sent = 0;
  while (sent < 100 && statements.allowCall(Upstream, room, Begin)) {
    statements.noteSent(Upstream, room, Begin);
    ++sent;
  }
  BOOST_TEST((sent == 3 || sent == 4));
  BOOST_TEST(statements.allowCall(Upstream, {Slots, 0, 0}, Begin));
  for (int n = 0; n < sent; ++n)
    statements.noteRejected(Upstream, Begin + milliseconds(5));
  for (const int ms : {900, 1300})
    for (const UpstreamRoom &it : {room, UpstreamRoom{Slots, 0, 0}})
      BOOST_TEST(statements.allowCall(Upstream, it, Begin + milliseconds(ms)) ==
                 (ms > 1000));
}

// Slots that other hosts use are not free.
BOOST_AUTO_TEST_CASE(a_busy_upstream_gets_no_calls_beyond_the_own_slots) {
  UpstreamStatements statements =
      statementsFor({Self, {HostId("other"), Self}, false});
  BOOST_TEST(statements.allowCall(Upstream, {Slots, 5, 0}, Begin));
  BOOST_TEST(!statements.allowCall(Upstream, {Slots, 5, 1}, Begin));
  BOOST_TEST(statements.allowCall(Upstream, {Slots, 0, 9}, Begin));
}

// A limit ends with a response that names none, and with the process that
// stated it.
BOOST_AUTO_TEST_CASE(a_limit_ends) {
  const UpstreamRoom full{Slots, Slots, 0};
  UpstreamStatements statements = statementsFor({Self, {}, true});
  BOOST_TEST(!statements.allowCall(Upstream, full, Begin));
  statements.noteRejectionLimit(Upstream, {std::nullopt, Begin - seconds(1)});
  BOOST_TEST(!statements.allowCall(Upstream, full, Begin));
  statements.noteRejectionLimit(Upstream, {std::nullopt, Begin + seconds(1)});
  BOOST_TEST(statements.allowCall(Upstream, full, Begin + seconds(1)));
  UpstreamStatements restarted = statementsFor({Self, {}, true});
  restarted.noteProcess(Upstream, 1, {}, Begin);
  restarted.noteProcess(Upstream, 2, Begin + seconds(2), Begin + seconds(2));
  BOOST_TEST(restarted.allowCall(Upstream, full, Begin + seconds(2)));
}

BOOST_AUTO_TEST_SUITE_END()
