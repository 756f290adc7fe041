#include "../LibDecision/SoakSeeds.h"
#include "RateLimitSimulation.h"
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;

namespace {

struct Size {
  int Hosts;
  int Zones;
};

const Size Sizes[] = {{1, 1}, {6, 4}, {12, 1}, {24, 4}, {58, 4}};

constexpr int Seconds = 60;

const HostId Self("self");
const UpstreamId Limited("limited");
const Instant Begin{seconds(1000)};

ReplicaRecord record(std::int64_t startedMs) {
  ReplicaRecord out;
  out.Id = Limited;
  out.OfService = ServiceId("service");
  out.StartedMs = startedMs;
  return out;
}

/// A table with one upstream, which has named a limit of one call a second.
ReplicaTable tableWithLimit() {
  ReplicaTable table;
  table.note(record(1), Begin);
  table.statements().setServingHosts(Self, {Self});
  table.statements().noteRateLimit(Limited, {1.0, Begin});
  return table;
}

/// Whether the table allows two calls at once, which a limit of one call a
/// second does not.
bool isUnlimited(ReplicaTable &table, Instant now) {
  ReplicaRequest request;
  request.ForService = ServiceId("service");
  for (int n = 0; n < 2; ++n) {
    if (!table.choose(request, now))
      return false;
    table.noteSent(Limited, {}, now);
  }
  return true;
}

} // namespace

BOOST_AUTO_TEST_SUITE(rate_limits)

// An engine in need names the calls a second that it takes from all hosts
// together, changes and ends the limit, while hosts and engines restart, freeze
// and lose each other. Hosts went on sending as before.
BOOST_AUTO_TEST_CASE(
    randomised_hosts_keep_together_to_the_limits_of_upstreams) {
  for (const Size &size : Sizes) {
    const std::uint64_t seeds = soakSeeds(size.Hosts > 20 ? 2 : 6);
    int faults = 0;
    int statements = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      RateLimitSimulation simulation({seed, size.Hosts, size.Zones});
      const std::string violation = simulation.simulate(Seconds);
      BOOST_TEST(violation == "",
                 size.Hosts << " hosts, seed " << seed << ": " << violation);
      faults += simulation.faults();
      statements += simulation.statements();
    }
    BOOST_TEST_MESSAGE(size.Hosts << " hosts: " << seeds << " seeds, " << faults
                                  << " faults, " << statements
                                  << " changes of limits");
  }
}

// A limit is capacity, too: a small fleet without faults uses at least half of
// what its upstreams take.
BOOST_AUTO_TEST_CASE(limited_upstreams_are_used) {
  for (const int hosts : {1, 6, 12}) {
    RateLimitSimulation simulation({1, hosts, 1, false});
    BOOST_TEST(simulation.simulate(Seconds) == "");
    BOOST_TEST(simulation.limitedCalls() >= 0.5 * simulation.limitedRate());
  }
}

BOOST_AUTO_TEST_CASE(a_limit_holds_until_a_response_names_none) {
  ReplicaTable table = tableWithLimit();
  BOOST_TEST(!isUnlimited(table, Begin + seconds(1)));
  BOOST_TEST(!isUnlimited(table, Begin + seconds(100)));
  table.statements().noteRateLimit(Limited,
                                   {std::nullopt, Begin + seconds(101)});
  BOOST_TEST(isUnlimited(table, Begin + seconds(102)));
}

// The response to a call that was sent before the upstream named its limit
// arrives late. It says nothing of the time since.
BOOST_AUTO_TEST_CASE(a_response_to_an_earlier_call_does_not_end_a_limit) {
  ReplicaTable table = tableWithLimit();
  table.statements().noteRateLimit(Limited,
                                   {std::nullopt, Begin - milliseconds(50)});
  BOOST_TEST(!isUnlimited(table, Begin + seconds(1)));
}

// A report of another host is late and repeats a limit that has ended.
BOOST_AUTO_TEST_CASE(a_late_report_does_not_revive_a_limit) {
  ReplicaTable table = tableWithLimit();
  table.statements().noteRateLimit(Limited, {std::nullopt, Begin + seconds(1)});
  table.statements().notePeerRateLimit(Limited,
                                       {1.0, Begin + milliseconds(900)});
  BOOST_TEST(isUnlimited(table, Begin + seconds(2)));
}

// The upstream restarted under its id, and other hosts still report the limit
// of its earlier process.
BOOST_AUTO_TEST_CASE(a_restarted_upstream_has_no_limit) {
  ReplicaTable table = tableWithLimit();
  table.note(record(1), Begin + seconds(1));
  BOOST_TEST(!isUnlimited(table, Begin + seconds(2)));
  table.note(record(2), Begin + seconds(3));
  table.statements().notePeerRateLimit(Limited, {1.0, Begin + seconds(2)});
  BOOST_TEST(isUnlimited(table, Begin + seconds(4)));
}

// The registrations of upstreams lapse while the store is away. Hosts that
// forgot the limits would send at full rate when they are back.
BOOST_AUTO_TEST_CASE(a_limit_outlasts_a_lapse_of_the_registration) {
  ReplicaTable table = tableWithLimit();
  table.remove(Limited);
  table.forgetOldStatements(Begin + seconds(3));
  table.note(record(1), Begin + seconds(4));
  BOOST_TEST(!isUnlimited(table, Begin + seconds(5)));
}

// A host that doesn't know which hosts serve would take the whole rate.
BOOST_AUTO_TEST_CASE(a_host_that_does_not_serve_sends_nothing) {
  ReplicaTable table = tableWithLimit();
  table.statements().setServingHosts(Self, {HostId("other")});
  ReplicaRequest request;
  request.ForService = ServiceId("service");
  BOOST_TEST(!table.choose(request, Begin + seconds(1)).has_value());
  const Unavailability why = table.unavailability(request, Begin);
  BOOST_TEST((why.Cause == UnavailabilityCause::Limited));
  BOOST_TEST((why.Wait > Duration::zero()));
}

BOOST_AUTO_TEST_CASE(omitted_mechanisms_of_rate_limits_are_detected) {
  for (const RateLimitOmission omission :
       {RateLimitOmission::Statements, RateLimitOmission::Division}) {
    bool isDetected = false;
    for (std::uint64_t seed = 1; seed <= 10 && !isDetected; ++seed) {
      RateLimitSimulation simulation({seed, 6, 4, true, omission});
      isDetected = simulation.simulate(Seconds).find("LIMIT") == 0;
    }
    BOOST_TEST(isDetected, "omission " << static_cast<int>(omission));
  }
}

BOOST_AUTO_TEST_SUITE_END()
