#include "../LibDecision/SoakSeeds.h"
#include "StatementSimulation.h"
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;

namespace {

const HostId Self("self");
const ServiceId Service("service");
const UpstreamId Paused("paused");
const UpstreamId Other("other");
const Instant Begin{seconds(1000)};

ReplicaRecord record(const UpstreamId &id, std::int64_t startedMs = 1) {
  ReplicaRecord out;
  out.Id = id;
  out.OfService = Service;
  out.OfVersion = VersionId("v1");
  out.StartedMs = startedMs;
  return out;
}

/// A table with one upstream, which has asked for a pause of three seconds in
/// the response to a call that was sent 10 ms before.
ReplicaTable tableWithPause() {
  ReplicaTable table;
  table.note(record(Paused), Begin - seconds(10));
  table.statements().setServingHosts(Self, {Self});
  table.statements().notePause(Paused,
                               {Begin - milliseconds(10), Begin, seconds(3)});
  return table;
}

/// Lets calls to the upstream fail until it is ejected; returns the time.
Instant eject(ReplicaTable &table, const UpstreamId &id, Instant now) {
  for (int n = 0; n < 100 && !table.isEjected(id, now); ++n) {
    now += milliseconds(1);
    table.noteSent(id, {}, now);
    table.noteEnded(id, {}, false, SendResult::Broken, now);
  }
  BOOST_REQUIRE(table.isEjected(id, now));
  return now;
}

bool getsCalls(ReplicaTable &table, Instant now) {
  ReplicaRequest request;
  request.ForService = Service;
  return table.choose(request, now).has_value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(upstream_statements)

BOOST_AUTO_TEST_CASE(a_pause_begins_at_once_and_ends_in_time) {
  ReplicaTable table = tableWithPause();
  BOOST_TEST(!getsCalls(table, Begin));
  BOOST_TEST(!getsCalls(table, Begin + milliseconds(2999)));
  BOOST_TEST(getsCalls(table, Begin + seconds(3)));
}

// Calls that were sent together are rejected with different times. A shorter
// one that arrives later must not end the pause.
BOOST_AUTO_TEST_CASE(of_overlapping_pauses_the_one_that_ends_last_applies) {
  struct Case {
    int AtMs;
    int LengthMs;
    int EndsAtMs;
  };
  const Case cases[] = {{100, 500, 3000},    {100, 0, 3000},
                        {1000, 2000, 3000},  {1000, 2500, 3500},
                        {100, 60000, 60100}, {3500, 1000, 4500}};
  for (const Case &it : cases) {
    ReplicaTable table = tableWithPause();
    const Instant at = Begin + milliseconds(it.AtMs);
    table.statements().notePause(
        Paused, {at - milliseconds(5), at, milliseconds(it.LengthMs)});
    const Instant end = Begin + milliseconds(it.EndsAtMs);
    BOOST_TEST(!getsCalls(table, end - milliseconds(1)));
    BOOST_TEST(getsCalls(table, end));
  }
}

// A wrong value must not keep the upstream without calls for good.
BOOST_AUTO_TEST_CASE(a_pause_without_a_sensible_end_is_cut) {
  ReplicaTable table = tableWithPause();
  table.statements().notePause(Paused, {Begin, Begin, hours(200000)});
  BOOST_TEST(!getsCalls(table, Begin + minutes(59)));
  BOOST_TEST(getsCalls(table, Begin + hours(1)));
}

// All upstreams are ejected, being probed, or of another version than the
// preferred one. The fallback to these must not reach one that asked for a
// pause.
BOOST_AUTO_TEST_CASE(no_fallback_reaches_an_upstream_that_asked_for_a_pause) {
  ReplicaTable table = tableWithPause();
  table.note(record(Other), Begin);
  const Instant now = eject(table, Other, Begin);
  ReplicaRequest request;
  request.ForService = Service;
  request.Version.Preferred = VersionId("v2");
  for (int n = 0; n < 20; ++n) {
    request.Seed = static_cast<std::uint64_t>(n);
    BOOST_TEST((table.choose(request, now)->Id == Other));
  }
  // After its ejection the other one is being probed.
  const Instant later = now + milliseconds(1600);
  table.noteSent(Other, {}, later);
  BOOST_TEST((table.choose(request, later)->Id == Other));
  request.Tried = {Other};
  BOOST_TEST(!table.choose(request, later).has_value());
}

// While a call waits for its connection, its upstream asks for a pause, leaves,
// is removed, or its zone is evacuated.
BOOST_AUTO_TEST_CASE(a_call_that_was_chosen_before_a_statement_is_withdrawn) {
  const std::pair<const char *, std::function<void(ReplicaTable &)>> cases[] = {
      {"pause",
       [](ReplicaTable &table) {
         table.statements().notePause(Other, {Begin, Begin, seconds(1)});
       }},
      {"leaving",
       [](ReplicaTable &table) {
         ReplicaRecord leaving = record(Other);
         leaving.IsLeaving = true;
         table.note(leaving, Begin);
       }},
      {"removed", [](ReplicaTable &table) { table.remove(Other); }},
      {"evacuated",
       [](ReplicaTable &table) { table.beginEvacuation(ZoneId("z")); }}};
  for (const auto &[name, change] : cases) {
    ReplicaTable table;
    ReplicaRecord other = record(Other);
    other.InZone = ZoneId("z");
    table.note(other, Begin);
    BOOST_TEST(getsCalls(table, Begin));
    table.noteSent(Other, {}, Begin);
    BOOST_TEST(table.maySend(Other, Begin));
    change(table);
    BOOST_TEST(!table.maySend(Other, Begin + milliseconds(1)), name);
  }
}

// The registration lapses while the store is away, or the store shows the
// upstream as ready. Neither says anything of the pause.
BOOST_AUTO_TEST_CASE(views_of_the_store_do_not_end_a_pause) {
  ReplicaTable table = tableWithPause();
  table.note(record(Paused), Begin + milliseconds(100));
  BOOST_TEST(!getsCalls(table, Begin + milliseconds(200)));
  table.remove(Paused);
  table.forgetOldStatements(Begin + milliseconds(300));
  table.note(record(Paused), Begin + seconds(1));
  BOOST_TEST(!getsCalls(table, Begin + seconds(2)));
}

BOOST_AUTO_TEST_CASE(a_new_process_of_the_upstream_is_not_paused) {
  ReplicaTable table = tableWithPause();
  const Instant restarted = Begin + seconds(1);
  table.note(record(Paused, 2), restarted);
  BOOST_TEST(getsCalls(table, restarted));
  // The response of the earlier process arrives late.
  BOOST_TEST(!table.statements().notePause(
      Paused, {Begin, restarted + milliseconds(50), seconds(3)}));
  BOOST_TEST(getsCalls(table, restarted + milliseconds(100)));
  BOOST_TEST(table.statements().notePause(Paused, {restarted + milliseconds(50),
                                                   restarted + milliseconds(60),
                                                   seconds(3)}));
  BOOST_TEST(!getsCalls(table, restarted + milliseconds(100)));
}

// The upstream restarts while the store is away, and asks for a pause before
// its new registration becomes known. The registration must not end the pause.
BOOST_AUTO_TEST_CASE(a_pause_of_a_process_that_is_registered_later_stays) {
  ReplicaTable table = tableWithPause();
  const Instant known = Begin + seconds(1);
  table.note(record(Paused, 2), known, Begin - milliseconds(800));
  BOOST_TEST(!getsCalls(table, known));
  BOOST_TEST(getsCalls(table, Begin + seconds(3)));
  ReplicaTable another = tableWithPause();
  another.note(record(Paused, 2), known, Begin + milliseconds(800));
  BOOST_TEST(getsCalls(another, known));
}

// The store still shows the upstream as ready, or its registration lapses.
BOOST_AUTO_TEST_CASE(a_stated_leaving_holds_for_the_process) {
  ReplicaTable table;
  table.note(record(Paused), Begin - seconds(10));
  BOOST_TEST(table.ready(Service) == 1);
  BOOST_TEST(table.statements().noteLeaving(Paused, Begin - seconds(1), Begin));
  BOOST_TEST(!getsCalls(table, Begin));
  BOOST_TEST(!table.maySend(Paused, Begin));
  BOOST_TEST(table.ready(Service) == 0);
  BOOST_TEST(table.records().front().IsLeaving);
  table.note(record(Paused), Begin + seconds(1));
  table.remove(Paused);
  table.forgetOldStatements(Begin + minutes(1));
  table.note(record(Paused), Begin + minutes(2));
  BOOST_TEST(!getsCalls(table, Begin + minutes(2)));
  const Instant restarted = Begin + minutes(3);
  table.note(record(Paused, 2), restarted);
  BOOST_TEST(getsCalls(table, restarted));
  BOOST_TEST(!table.statements().noteLeaving(Paused, Begin, restarted));
  BOOST_TEST(getsCalls(table, restarted));
}

// The only upstream left is ejected and leaving by its own statement. The
// fallback to ejected ones must not reach it.
BOOST_AUTO_TEST_CASE(no_fallback_reaches_an_upstream_that_stated_its_leaving) {
  ReplicaTable table;
  table.note(record(Paused), Begin);
  ReplicaRecord other = record(Other);
  other.IsLeaving = true;
  table.note(other, Begin);
  const Instant now = eject(table, Paused, Begin);
  BOOST_TEST(getsCalls(table, now));
  table.statements().noteLeaving(Paused, now, now);
  BOOST_TEST(!getsCalls(table, now));
  ReplicaRequest request;
  request.ForService = Service;
  BOOST_TEST((table.unavailability(request, now).Cause ==
              UnavailabilityCause::NoUpstream));
}

// Callers that return before the end of the shortest pause are refused again.
BOOST_AUTO_TEST_CASE(the_wait_for_paused_upstreams_is_the_shortest_pause) {
  ReplicaRequest request;
  request.ForService = Service;
  request.Tried = {Paused};
  ReplicaTable table = tableWithPause();
  const Instant now = Begin + seconds(1);
  auto why = table.unavailability(request, now);
  BOOST_TEST((why.Cause == UnavailabilityCause::Paused));
  BOOST_TEST((why.Wait == seconds(2)));
  table.note(record(Other), now);
  table.statements().notePause(Other, {now, now, milliseconds(700)});
  why = table.unavailability(request, now);
  BOOST_TEST((why.Cause == UnavailabilityCause::Paused));
  BOOST_TEST((why.Wait == milliseconds(700)));
  // The other one is available, and was tried by this call only.
  why = table.unavailability(request, now + seconds(1));
  BOOST_TEST((why.Cause == UnavailabilityCause::NoUpstream));
  BOOST_TEST((why.Wait == Duration::zero()));
  request.ForService = ServiceId("another");
  BOOST_TEST((table.unavailability(request, now).Cause ==
              UnavailabilityCause::NoUpstream));
}

// Upstreams that are full ask for pauses, longer and shorter ones at the same
// time, and others state that they leave, while hosts and upstreams restart and
// freeze and views of the store are late. Hosts went on sending.
BOOST_AUTO_TEST_CASE(randomised_hosts_keep_to_the_statements_of_upstreams) {
  for (const int hosts : {1, 6, 24}) {
    const std::uint64_t seeds = soakSeeds(hosts > 20 ? 2 : 6);
    int pauses = 0;
    int leavings = 0;
    int faults = 0;
    int withdrawn = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      StatementSimulation simulation({seed, hosts});
      const std::string violation = simulation.simulate(60);
      BOOST_TEST(violation == "",
                 hosts << " hosts, seed " << seed << ": " << violation);
      pauses += simulation.pauses();
      leavings += simulation.leavings();
      faults += simulation.faults();
      withdrawn += simulation.withdrawn();
    }
    BOOST_TEST(pauses > 0);
    BOOST_TEST(leavings > 0);
    BOOST_TEST(withdrawn > 0);
    BOOST_TEST_MESSAGE(hosts << " hosts: " << seeds << " seeds, " << faults
                             << " faults, " << pauses << " pauses, " << leavings
                             << " leavings, " << withdrawn
                             << " calls withdrawn");
  }
}

BOOST_AUTO_TEST_CASE(omitted_mechanisms_of_statements_are_detected) {
  const std::pair<StatementOmission, const char *> omissions[] = {
      {StatementOmission::Pauses, "BUDGET"},
      {StatementOmission::CheckBeforeSending, "SENT"},
      {StatementOmission::Leaving, "DRAIN"}};
  for (const auto &[omission, rule] : omissions) {
    bool isDetected = false;
    for (std::uint64_t seed = 1; seed <= 20 && !isDetected; ++seed) {
      StatementSimulation simulation({seed, 6, true, omission});
      isDetected = simulation.simulate(60).find(rule) == 0;
    }
    BOOST_TEST(isDetected, "omission " << static_cast<int>(omission));
  }
}

BOOST_AUTO_TEST_SUITE_END()
