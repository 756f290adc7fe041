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

/// Runs the plan on fleets of each size, with crashes by reset and by silence,
/// with and without retries, and with the seeds of this run.
void simulateAll(PromptCrashPlan plan) {
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
        BOOST_TEST_MESSAGE(
            hosts << " hosts, silent " << isSilent << ": "
                  << simulation.fatalSends() << " fatal calls sent, "
                  << simulation.crashes() << " crashes, "
                  << simulation.rejectedSoundCalls() << " of "
                  << simulation.soundCalls() << " sound calls rejected");
      }
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

// The checks must notice hosts that take no notice of prompts.
BOOST_AUTO_TEST_CASE(unguarded_hosts_are_noticed) {
  for (const int hosts : FleetSizes) {
    PromptCrashPlan plan;
    plan.Seed = 1;
    plan.Hosts = hosts;
    plan.IsUnguarded = true;
    BOOST_TEST(PromptCrashSimulation(plan).simulate().find("BUDGET") == 0);
  }
}

BOOST_AUTO_TEST_SUITE_END()
