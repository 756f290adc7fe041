#include "../LibDecision/SoakSeeds.h"
#include "PromptCrashSimulation.h"
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;

namespace {

const ServiceId Service("engines");
const Instant Start{seconds(1000)};

std::vector<PromptPart> promptOf(const std::vector<std::string> &parts) {
  std::vector<PromptPart> out;
  out.reserve(parts.size() + 1);
  for (const std::string &it : parts)
    out.push_back({it, 100});
  out.push_back({"own", 10});
  return out;
}

/// A call that ended with an upstream.
struct EndedCall {
  std::vector<std::string> Parts;
  double SentAt = 0;
  std::uint64_t Hash = 0;
};

Instant at(double second) { return Start + fromSeconds(second); }

UpstreamCrash crashOf(const std::string &upstream, double second,
                      const std::vector<EndedCall> &calls) {
  UpstreamCrash out;
  out.Upstream = UpstreamId(upstream);
  out.Service = Service;
  out.At = at(second);
  for (const EndedCall &call : calls)
    for (const std::string &part : call.Parts)
      if (out.Suspects[part].SentAt < at(call.SentAt))
        out.Suspects[part] = {at(call.SentAt), call.Hash};
  return out;
}

bool isQuarantined(const PromptQuarantine &quarantine,
                   const std::vector<std::string> &parts) {
  return quarantine.matching(Service, promptOf(parts)) != nullptr;
}

/// Crashes an upstream a second under a call with the parts.
void crashInSeries(PromptQuarantine &quarantine, int from, int count,
                   const std::vector<std::string> &parts) {
  for (int n = from; n < from + count; ++n) {
    quarantine.noteCrash(crashOf("u" + std::to_string(n), n + 0.5,
                                 {{parts, static_cast<double>(n),
                                   static_cast<std::uint64_t>(n + 1)}}),
                         at(n + 0.5));
    quarantine.tick(at(n + 1));
  }
}

const int FleetSizes[] = {1, 6, 24, 58};
/// Of the long sound calls under which engines crash for other reasons.
constexpr double AllowedRejections = 0.05;
const std::string FatalCall = std::string(CallSuspectPrefix) + "fatal";

ServingCall callOf(const std::string &fingerprint) {
  ServingCall out;
  out.Fingerprint = fingerprint;
  return out;
}

bool isCallQuarantined(const PromptQuarantine &quarantine,
                       const std::string &fingerprint) {
  return quarantine.matchingCall(Service, callOf(fingerprint)) != nullptr;
}

/// The crash of an upstream under a call and a part of its prompt, which only
/// that call has.
UpstreamCrash callCrash(const std::string &upstream, double sentAt,
                        double crashedAt, const std::string &call = FatalCall) {
  UpstreamCrash out =
      crashOf(upstream, crashedAt, {{{"part of " + call}, sentAt, 7}});
  out.Suspects[call] = {at(sentAt), 7};
  return out;
}

/// Runs the plan on fleets of each size, with crashes by reset and by silence,
/// with and without retries, and with the seeds of this run.
void simulateAll(PromptCrashPlan plan) {
  int longCalls = 0;
  int rejectedLongCalls = 0;
  for (const int hosts : FleetSizes)
    for (const bool isSilent : {false, true})
      for (std::uint64_t seed = 1; seed <= soakSeeds(1); ++seed) {
        plan.Seed = seed;
        plan.Hosts = hosts;
        plan.IsSilent = isSilent;
        plan.RetriesCalls = seed % 2 == (isSilent ? 1 : 0);
        PromptCrashSimulation simulation(plan);
        const std::string violation = simulation.simulate();
        BOOST_TEST(violation == "",
                   hosts << " hosts, trouble " << static_cast<int>(plan.Trouble)
                         << ", silent " << isSilent << ", seed " << seed << ": "
                         << violation);
        longCalls += simulation.longCalls();
        rejectedLongCalls += simulation.rejectedLongCalls();
        BOOST_TEST_MESSAGE(
            hosts << " hosts, silent " << isSilent << ": "
                  << simulation.fatalSends() << " fatal calls sent, "
                  << simulation.crashes() << " crashes, "
                  << simulation.crashesOfCall() << " under one call, "
                  << simulation.rejectedSoundCalls() << " of "
                  << simulation.soundCalls() << " sound calls rejected");
      }
  BOOST_TEST(rejectedLongCalls <= AllowedRejections * longCalls);
  BOOST_TEST_MESSAGE(rejectedLongCalls << " of " << longCalls
                                       << " long calls rejected");
}

} // namespace

BOOST_AUTO_TEST_SUITE(prompt_quarantine)

// Five hosts see a crash each. Unless they add them up, none has seen enough.
BOOST_AUTO_TEST_CASE(crashes_that_different_hosts_saw_add_up) {
  std::vector<PromptQuarantine> hosts(5);
  for (std::size_t n = 0; n < hosts.size(); ++n)
    hosts[n].noteCrash(crashOf("u" + std::to_string(n), double(n) + 0.5,
                               {{{"shared", "fatal"}, double(n), n + 1},
                                {{"other" + std::to_string(n)}, double(n), 9}}),
                       at(double(n) + 0.5));
  hosts[0].noteSurvived(Service, promptOf({"shared"}), at(5));
  for (PromptQuarantine &to : hosts) {
    for (const PromptQuarantine &from : hosts)
      to.merge(from.knowledge(at(5)), at(5));
    to.tick(at(6));
    BOOST_TEST(isQuarantined(to, {"shared", "fatal"}));
    BOOST_TEST(isQuarantined(to, {"fatal", "shared"}));
    BOOST_TEST(!isQuarantined(to, {"shared", "other1"}));
    // The last part is the call's own.
    BOOST_TEST(!to.matching(Service, {{"shared", 1}, {"fatal", 1}}));
    BOOST_TEST(!to.matching(ServiceId("another"), promptOf({"fatal"})));
  }
}

// A zone fails: calls with one part were waiting at all of its upstreams.
BOOST_AUTO_TEST_CASE(upstreams_that_crash_together_show_nothing_of_a_part) {
  PromptQuarantine quarantine;
  for (std::uint64_t n = 0; n < 8; ++n)
    quarantine.noteCrash(crashOf("u" + std::to_string(n), 1 + 0.05 * double(n),
                                 {{{"sound"}, 0.9, n + 1}}),
                         at(1.5));
  quarantine.tick(at(3));
  BOOST_TEST(!isQuarantined(quarantine, {"sound"}));
}

// Upstreams crash one after the other for a reason of their own while most
// calls have the same part, whose other calls are answered.
BOOST_AUTO_TEST_CASE(a_part_of_calls_that_survive_is_not_quarantined) {
  PromptQuarantine quarantine;
  for (int n = 0; n < 20; ++n) {
    crashInSeries(quarantine, n, 1, {"hot"});
    quarantine.noteSurvived(Service, promptOf({"hot"}), at(n + 0.95));
  }
  quarantine.tick(at(30));
  BOOST_TEST(!isQuarantined(quarantine, {"hot"}));
}

// A call is sent again and again, to upstreams that crash for other reasons.
BOOST_AUTO_TEST_CASE(repeats_of_one_call_count_once) {
  PromptQuarantine quarantine;
  for (int n = 0; n < 6; ++n)
    quarantine.noteCrash(
        crashOf("u" + std::to_string(n), n + 0.5, {{{"sound"}, double(n), 7}}),
        at(n + 0.5));
  quarantine.tick(at(10));
  BOOST_TEST(!isQuarantined(quarantine, {"sound"}));
}

// Each call with the fatal part also has a part that another caller's calls
// use. Until one of those survives, only calls with both are rejected.
BOOST_AUTO_TEST_CASE(a_part_that_is_mixed_in_stays_in_use) {
  PromptQuarantine quarantine;
  crashInSeries(quarantine, 0, 4, {"victim", "fatal"});
  BOOST_TEST(isQuarantined(quarantine, {"victim", "fatal"}));
  BOOST_TEST(!isQuarantined(quarantine, {"victim", "other"}));
  quarantine.noteSurvived(Service, promptOf({"victim", "other"}), at(5));
  quarantine.tick(at(6));
  BOOST_TEST(isQuarantined(quarantine, {"another", "fatal"}));
  BOOST_TEST(!isQuarantined(quarantine, {"victim", "other"}));
  BOOST_TEST(quarantine.quarantines().size() == 2);
}

// Calls with the fatal part go on without the part that is quarantined with it.
BOOST_AUTO_TEST_CASE(one_crash_more_tells_parts_apart) {
  PromptQuarantine quarantine;
  crashInSeries(quarantine, 0, 3, {"victim", "fatal"});
  BOOST_TEST(!isQuarantined(quarantine, {"another", "fatal"}));
  crashInSeries(quarantine, 4, 1, {"another", "fatal"});
  BOOST_TEST(isQuarantined(quarantine, {"third", "fatal"}));
  BOOST_TEST(!isQuarantined(quarantine, {"victim", "third"}));
}

// A host has just started, and calls with the fatal part are sent twice each.
// They are fewer than the calls with a part that waits beside them.
BOOST_AUTO_TEST_CASE(a_part_beside_repeated_calls_stays_in_use) {
  PromptQuarantine quarantine;
  const std::uint64_t fatalCalls[] = {1, 1, 2, 2};
  for (int n = 0; n < 4; ++n)
    quarantine.noteCrash(
        crashOf("u" + std::to_string(n), n + 0.5,
                {{{"fatal"}, double(n), fatalCalls[n]},
                 {{"sound"}, double(n), static_cast<std::uint64_t>(n + 10)}}),
        at(n + 0.5));
  quarantine.tick(at(6));
  BOOST_TEST(!isQuarantined(quarantine, {"sound"}));
}

// The crashes that calls with a quarantined part caused are no evidence against
// the parts of calls that ended with them.
BOOST_AUTO_TEST_CASE(crashes_that_are_explained_count_no_more) {
  PromptQuarantine quarantine;
  for (int n = 0; n < 8; ++n) {
    const double sentAt = n;
    std::vector<EndedCall> calls = {
        {{"fatal"}, sentAt, static_cast<std::uint64_t>(n + 1)}};
    if (n > 0)
      calls.push_back({{"sound"}, sentAt, static_cast<std::uint64_t>(n + 100)});
    quarantine.noteCrash(crashOf("u" + std::to_string(n), n + 0.5, calls),
                         at(n + 0.5));
    quarantine.tick(at(n + 1));
  }
  BOOST_TEST(isQuarantined(quarantine, {"fatal"}));
  BOOST_TEST(!isQuarantined(quarantine, {"sound"}));
}

// The reports of the host that saw the fatal calls come late.
BOOST_AUTO_TEST_CASE(a_quarantine_that_another_part_explains_is_taken_back) {
  PromptQuarantine quarantine;
  for (int n = 0; n < 3; ++n)
    quarantine.noteCrash(
        crashOf("u" + std::to_string(n), n + 0.5,
                {{{"sound"}, double(n), static_cast<std::uint64_t>(n)}}),
        at(n + 0.5));
  quarantine.tick(at(3));
  BOOST_TEST(isQuarantined(quarantine, {"sound"}));
  crashInSeries(quarantine, 0, 5, {"fatal"});
  quarantine.tick(at(6));
  BOOST_TEST(isQuarantined(quarantine, {"fatal"}));
  BOOST_TEST(!isQuarantined(quarantine, {"sound"}));
}

// Calls that were under way when their part was quarantined are answered.
BOOST_AUTO_TEST_CASE(what_survives_ends_a_quarantine) {
  PromptQuarantine quarantine;
  crashInSeries(quarantine, 0, 3, {"sound"});
  BOOST_TEST(isQuarantined(quarantine, {"sound"}));
  quarantine.noteSurvived(Service, promptOf({"sound"}), at(4));
  BOOST_TEST(!isQuarantined(quarantine, {"sound"}));
  quarantine.tick(at(5));
  BOOST_TEST(!isQuarantined(quarantine, {"sound"}));
}

// An operator releases a part. Hosts that have not learned of it must not bring
// the quarantine back, but new crashes must.
BOOST_AUTO_TEST_CASE(a_released_part_is_quarantined_again_by_new_crashes_only) {
  PromptQuarantine quarantine;
  crashInSeries(quarantine, 0, 3, {"fatal"});
  PromptQuarantine other;
  other.merge(quarantine.knowledge(at(4)), at(4));
  BOOST_TEST(isQuarantined(other, {"fatal"}));
  QuarantineMarks released = quarantine.quarantines();
  released.begin()->second.ReleasedAt = at(5);
  quarantine.merge(released);
  quarantine.merge(other.knowledge(at(6)), at(6));
  quarantine.tick(at(7));
  BOOST_TEST(!isQuarantined(quarantine, {"fatal"}));
  other.merge(quarantine.knowledge(at(7)), at(7));
  BOOST_TEST(!isQuarantined(other, {"fatal"}));
  crashInSeries(quarantine, 8, 2, {"fatal"});
  BOOST_TEST(!isQuarantined(quarantine, {"fatal"}));
  crashInSeries(quarantine, 10, 1, {"fatal"});
  BOOST_TEST(isQuarantined(quarantine, {"fatal"}));
}

// Callers that send ever new parts must not use up a host's memory.
BOOST_AUTO_TEST_CASE(the_tables_are_bounded) {
  PromptQuarantineSettings settings;
  PromptQuarantine quarantine(settings);
  for (int n = 0; n < 1000; ++n) {
    std::vector<EndedCall> calls;
    calls.reserve(100);
    for (int i = 0; i < 100; ++i)
      calls.push_back({{"p" + std::to_string(n / 3) + "/" + std::to_string(i)},
                       double(n),
                       static_cast<std::uint64_t>(100 * n + i)});
    quarantine.noteCrash(crashOf("u" + std::to_string(n), n + 0.5, calls),
                         at(n + 0.5));
    quarantine.noteSurvived(
        Service, promptOf({"p" + std::to_string(n / 3) + "/0"}), at(n + 0.6));
  }
  quarantine.tick(at(1001));
  BOOST_TEST(quarantine.crashes() <= settings.MaxCrashes);
  BOOST_TEST(quarantine.quarantines().size() <= settings.MaxQuarantines);
  const CrashKnowledge knowledge = quarantine.knowledge(at(1001));
  BOOST_TEST(knowledge.SurvivedAt.size() <= settings.MaxSurvivals);
  for (const UpstreamCrash &it : knowledge.Crashes)
    BOOST_TEST(it.Suspects.size() <= settings.MaxSuspects);
}

// Calls with a fatal part go on to engines of all hosts.
BOOST_AUTO_TEST_CASE(randomised_fatal_parts_are_quarantined) {
  for (const FatalTraffic it : {FatalTraffic::OnePart, FatalTraffic::TwoParts,
                                FatalTraffic::WithVictimsPart}) {
    PromptCrashPlan plan;
    plan.Fatal = it;
    simulateAll(plan);
  }
}

// What hosts know must outlast their processes, the store's outages and cuts.
BOOST_AUTO_TEST_CASE(randomised_quarantines_with_trouble_of_hosts) {
  for (const HostTrouble it : {HostTrouble::Kills, HostTrouble::AllKilled,
                               HostTrouble::StoreAway, HostTrouble::Cuts}) {
    PromptCrashPlan plan;
    plan.Trouble = it;
    simulateAll(plan);
  }
}

// Engines crash for other reasons, and sound calls would be rejected for it.
BOOST_AUTO_TEST_CASE(randomised_other_crashes_quarantine_nothing) {
  for (const OtherCrashes it : {OtherCrashes::ZoneAtOnce, OtherCrashes::Series})
    for (const FatalTraffic fatal :
         {FatalTraffic::None, FatalTraffic::OnePart}) {
      PromptCrashPlan plan;
      plan.Fatal = fatal;
      plan.Other = it;
      simulateAll(plan);
    }
}

// A caller sends a call that crashes engines to another host, again and again.
// Three hosts see a crash each.
BOOST_AUTO_TEST_CASE(a_call_that_comes_back_is_quarantined_at_once) {
  std::vector<PromptQuarantine> hosts(3);
  for (std::size_t n = 0; n < hosts.size(); ++n) {
    BOOST_TEST(!isCallQuarantined(hosts[n], FatalCall));
    const double sentAt = 0.01 * double(n);
    hosts[n].noteCrash(
        callCrash("u" + std::to_string(n), sentAt, sentAt + 0.005),
        at(sentAt + 0.006));
    for (PromptQuarantine &to : hosts)
      to.merge(hosts[n].knowledge(at(sentAt + 0.007)), at(sentAt + 0.007));
  }
  for (PromptQuarantine &it : hosts) {
    BOOST_TEST(isCallQuarantined(it, FatalCall));
    it.tick(at(2));
    BOOST_TEST(!isQuarantined(it, {"part of " + FatalCall}));
    BOOST_TEST(!isCallQuarantined(it, FatalCall + "'s conversation"));
    ServingCall other = callOf(FatalCall);
    BOOST_TEST(!it.matchingCall(ServiceId("another"), other));
  }
}

// A zone fails while a call runs at two of its upstreams, and once more after
// it was sent again.
BOOST_AUTO_TEST_CASE(upstreams_that_crash_together_show_nothing_of_a_call) {
  PromptQuarantine quarantine;
  quarantine.setUpstreams(Service, 9);
  for (const double failure : {2.0, 4.0})
    for (int n = 0; n < 3; ++n)
      quarantine.noteCrash(
          callCrash("u" + std::to_string(n) + "/" + std::to_string(failure),
                    failure - 1, failure + 0.02 * n),
          at(failure + 0.1));
  BOOST_TEST(!isCallQuarantined(quarantine, FatalCall));
}

// Engines crash once a second for a reason of their own, under a call that
// lasts for seconds: it has lost three, but so has any other.
BOOST_AUTO_TEST_CASE(a_long_call_is_not_quarantined_for_other_crashes) {
  PromptQuarantine quarantine;
  quarantine.setUpstreams(Service, 9);
  for (int n = 0; n < 20; ++n) {
    const std::string upstream = "u" + std::to_string(n);
    const std::string other = CallSuspectPrefix + std::to_string(n);
    const bool isUnderCall = n % 7 == 6;
    quarantine.noteCrash(isUnderCall ? callCrash(upstream, n - 6, n)
                                     : callCrash(upstream, n - 1, n, other),
                         at(n));
  }
  BOOST_TEST(!isCallQuarantined(quarantine, FatalCall));
}

// A call whose answers are whole again, after its upstreams were mended.
BOOST_AUTO_TEST_CASE(a_call_that_is_answered_is_quarantined_no_more) {
  PromptQuarantine quarantine;
  for (int n = 0; n < 2; ++n)
    quarantine.noteCrash(callCrash("u" + std::to_string(n), n, n + 0.5),
                         at(n + 0.5));
  quarantine.noteSurvived(Service, {{"shared", 1}, {"own", 1}}, at(2));
  quarantine.noteAnswered(Service, FatalCall, at(2));
  quarantine.noteCrash(callCrash("u2", 3, 3.5), at(3.5));
  BOOST_TEST(!isCallQuarantined(quarantine, FatalCall));
}

// Events that arrived before the crash do not show that a call is sound.
BOOST_AUTO_TEST_CASE(a_call_past_its_begin_is_still_suspected) {
  PromptQuarantine quarantine;
  for (int n = 0; n < 3; ++n) {
    quarantine.noteCrash(callCrash("u" + std::to_string(n), n, n + 0.5),
                         at(n + 0.5));
    quarantine.noteSurvived(Service, {{"part of " + FatalCall, 1}, {"own", 1}},
                            at(n + 0.4));
  }
  BOOST_TEST(isCallQuarantined(quarantine, FatalCall));
}

// A caller names a part of its prompt like another caller's call.
BOOST_AUTO_TEST_CASE(a_part_that_is_named_like_a_call_is_no_suspect) {
  BOOST_TEST(sharedParts({{FatalCall, 1}, {"shared", 1}, {"own", 1}}) ==
                 std::vector<std::string>{"shared"},
             boost::test_tools::per_element());
}

// Each call with a fatal part is sent again until it is quarantined itself. The
// part must still be found.
BOOST_AUTO_TEST_CASE(quarantined_calls_do_not_hide_the_part_they_share) {
  PromptQuarantine quarantine;
  int upstream = 0;
  for (std::uint64_t call = 1; call <= 3; ++call)
    for (int n = 0; n < 3; ++n) {
      const double sentAt = upstream++;
      UpstreamCrash crash = crashOf("u" + std::to_string(upstream),
                                    sentAt + 0.5, {{{"fatal"}, sentAt, call}});
      crash.Suspects[CallSuspectPrefix + std::to_string(call)] = {at(sentAt),
                                                                  call};
      quarantine.noteCrash(crash, at(sentAt + 0.5));
      quarantine.tick(at(sentAt + 0.95));
    }
  BOOST_TEST(isQuarantined(quarantine, {"fatal"}));
}

// Callers send calls that crash engines to other hosts, before or after the
// first events, at once or after a pause; hosts are killed, cut off and lose
// the store.
BOOST_AUTO_TEST_CASE(randomised_fatal_calls_are_quarantined) {
  for (const FatalTraffic fatal :
       {FatalTraffic::OneCall, FatalTraffic::TwoCalls})
    for (const bool isAfterEvents : {false, true})
      for (const bool isPausing : {false, true}) {
        PromptCrashPlan plan;
        plan.Fatal = fatal;
        plan.Manner = {isAfterEvents, isPausing};
        plan.CallersReturn = true;
        simulateAll(plan);
      }
}

BOOST_AUTO_TEST_CASE(randomised_fatal_calls_with_trouble_of_hosts) {
  for (const HostTrouble trouble :
       {HostTrouble::Kills, HostTrouble::AllKilled, HostTrouble::StoreAway,
        HostTrouble::Cuts, HostTrouble::Freezes})
    for (const bool isAfterEvents : {false, true}) {
      PromptCrashPlan plan;
      plan.Fatal = FatalTraffic::TwoCalls;
      plan.Trouble = trouble;
      plan.Manner = {isAfterEvents, isAfterEvents};
      plan.CallersReturn = true;
      simulateAll(plan);
    }
}

// Engines crash for other reasons, and callers send the calls that ended with
// them again. They must not be rejected for it.
BOOST_AUTO_TEST_CASE(randomised_other_crashes_quarantine_no_call) {
  for (const OtherCrashes other :
       {OtherCrashes::ZoneAtOnce, OtherCrashes::Series})
    for (const FatalTraffic fatal :
         {FatalTraffic::None, FatalTraffic::OneCall}) {
      PromptCrashPlan plan;
      plan.Fatal = fatal;
      plan.Other = other;
      plan.LongCalls = 4;
      plan.CallersReturn = true;
      simulateAll(plan);
    }
}

// The checks must notice hosts that take no notice of prompts.
BOOST_AUTO_TEST_CASE(unguarded_hosts_are_noticed) {
  for (const int hosts : FleetSizes) {
    PromptCrashPlan plan;
    plan.Seed = 1;
    plan.Hosts = hosts;
    plan.IsUnguarded = true;
    BOOST_TEST(PromptCrashSimulation(plan).simulate().find("BUDGET") == 0);
    plan.Fatal = FatalTraffic::OneCall;
    BOOST_TEST(PromptCrashSimulation(plan).simulate().find("BUDGET") == 0);
  }
}

BOOST_AUTO_TEST_SUITE_END()
