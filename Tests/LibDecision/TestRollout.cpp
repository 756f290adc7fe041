#include "LibDecision/PeerFreshness.h"
#include "LibDecision/Rollout.h"
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;

namespace {

const Instant Start = Instant(hours(1));
const HostId Self("127.0.0.1");
const EvidenceSource Source{Self, IncarnationId("a")};

RolloutPlan planFor(DeadlinePolicy policy) {
  RolloutPlan plan;
  plan.New = VersionId("new");
  plan.Old = VersionId("old");
  plan.Policy = policy;
  plan.Deadline = Start + minutes(30);
  plan.ReplicaShare = 0.25;
  plan.Routes = {{RouteId("lookup"), ServiceId("desk"), true, 0, {}, {}},
                 {RouteId("booking"), ServiceId("desk"), false, 0, {}, {}}};
  return plan;
}

Veto vetoAt(Instant at, const char *host) {
  Veto out;
  out.Version = VersionId("new");
  out.At = at;
  out.By = HostId(host);
  return out;
}

/// The number of 1,000 keys that go to the new version.
int keysToNew(const VersionShares &shares, bool isRepeatable, Instant now) {
  int sum = 0;
  for (int n = 0; n < 1000; ++n)
    if (chooseVersion(shares, std::to_string(n), isRepeatable, now) ==
        shares.New)
      ++sum;
  return sum;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RolloutTests)

BOOST_AUTO_TEST_CASE(knowledge_merges_alike_in_any_order) {
  RolloutKnowledge a;
  RolloutKnowledge b;
  a.Evidence.record(Source, {VersionId("new"), RouteId("chat")},
                    UpstreamOutcome::Failed);
  raiseStage(a, VersionId("new"), {2, Start + seconds(5)});
  addVeto(a, vetoAt(Start + seconds(9), "127.0.0.1"));
  b = a;
  b.Evidence.record(Source, {VersionId("new"), RouteId("chat")},
                    UpstreamOutcome::Good);
  raiseStage(b, VersionId("new"), {3, Start + seconds(7)});
  addVeto(b, vetoAt(Start + seconds(8), "127.0.0.2"));
  RolloutKnowledge ab = a;
  RolloutKnowledge ba = b;
  BOOST_CHECK(merge(ab, b));
  BOOST_CHECK(!merge(ab, a));
  merge(ba, a);
  BOOST_CHECK(ab == ba);
  BOOST_CHECK_EQUAL(ab.Vetoes.begin()->second.By.text(), "127.0.0.2");
  BOOST_CHECK_EQUAL(ab.Stages.begin()->second.Stage, 3U);
  const EvidenceCount sum =
      ab.Evidence.total({VersionId("new"), RouteId("chat")});
  BOOST_CHECK_EQUAL(sum.Calls, 2U);
}

// A booking that failed may have run and must not be retried. If bookings were
// rolled out together with the lookups, each fault would leave some of them
// with an unknown outcome.
BOOST_AUTO_TEST_CASE(non_repeatable_routes_start_last) {
  const auto stages = stagesOf(planFor(DeadlinePolicy::Safe));
  double before = 0;
  for (const StageShare &it : stages) {
    BOOST_CHECK_GE(it.Repeatable, before);
    if (it.NonRepeatable > 0)
      BOOST_CHECK_GE(it.Repeatable, 0.9);
    before = it.Repeatable;
  }
  BOOST_CHECK_EQUAL(stages.back().Repeatable, 1);
  BOOST_CHECK_EQUAL(stages.back().NonRepeatable, 1);
}

BOOST_AUTO_TEST_CASE(a_key_stays_on_the_new_version_while_the_share_grows) {
  VersionShares shares;
  shares.New = VersionId("new");
  shares.Old = VersionId("old");
  shares.FreshUntil = Start;
  for (int n = 0; n < 1000; ++n) {
    bool wasNew = false;
    for (const double share : {0.02, 0.1, 0.5, 1.0}) {
      shares.Share = {share, 0, false};
      const bool isNew =
          chooseVersion(shares, std::to_string(n), true, Start) == shares.New;
      BOOST_CHECK(isNew || !wasNew);
      wasNew = isNew;
    }
    BOOST_CHECK(wasNew);
  }
}

// A daemon is paused while another one vetoes the version. After the pause, its
// sockets deliver new calls before the veto, and these would reach the bad
// version.
BOOST_AUTO_TEST_CASE(a_paused_daemon_queries_its_peers_before_it_sends_more) {
  RolloutKnowledge knowledge;
  raiseStage(knowledge, VersionId("new"), {3, Start});
  Rollout rollout(planFor(DeadlinePolicy::Safe), Self);
  PeerFreshness peers;
  for (const char *it : {"127.0.0.2", "127.0.0.3"})
    peers.answered(HostId(it), Start);
  rollout.confirmKnowledgeUntil(peers.knownUntil(3));
  rollout.update(knowledge, Start);
  BOOST_CHECK_GT(keysToNew(rollout.shares(), true, Start), 300);
  const Instant resumed = Start + seconds(20);
  BOOST_CHECK_EQUAL(keysToNew(rollout.shares(), true, resumed), 0);
  // An answer to a query from before the pause does not count, and a single
  // peer, which may have been paused as well, is not enough.
  peers.answered(HostId("127.0.0.2"), resumed);
  peers.answered(HostId("127.0.0.3"), Start + milliseconds(100));
  rollout.confirmKnowledgeUntil(peers.knownUntil(3));
  BOOST_CHECK_EQUAL(keysToNew(rollout.shares(), true, resumed), 0);
  peers.answered(HostId("127.0.0.3"), resumed);
  rollout.confirmKnowledgeUntil(peers.knownUntil(3));
  BOOST_CHECK_GT(keysToNew(rollout.shares(), true, resumed), 300);
}

BOOST_AUTO_TEST_CASE(a_veto_is_permanent) {
  RolloutKnowledge knowledge;
  raiseStage(knowledge, VersionId("new"), {3, Start});
  addVeto(knowledge, vetoAt(Start, "127.0.0.2"));
  Rollout rollout(planFor(DeadlinePolicy::InTime), Self);
  rollout.confirmKnowledgeUntil(Start + hours(1));
  for (int n = 0; n < 40; ++n) {
    rollout.update(knowledge, Start + minutes(n));
    BOOST_CHECK_EQUAL(keysToNew(rollout.shares(), true, Start + minutes(n)), 0);
  }
  BOOST_CHECK(rollout.state() == RolloutState::TakenBack);
}

// Most hosts of a large fleet receive steps and vetoes, but only their own
// evidence. It would be too little to decide on a step for the whole fleet.
BOOST_AUTO_TEST_CASE(a_follower_applies_steps_and_decides_none) {
  RolloutKnowledge knowledge;
  Rollout rollout(planFor(DeadlinePolicy::InTime), Self);
  for (int n = 0; n < 20 * 60; ++n)
    rollout.follow(knowledge, Start + seconds(n));
  BOOST_CHECK(knowledge.Stages.empty());
  raiseStage(knowledge, VersionId("new"), {3, Start});
  const Instant now = Start + minutes(21);
  rollout.confirmKnowledgeUntil(now);
  rollout.follow(knowledge, now);
  BOOST_CHECK_GT(keysToNew(rollout.shares(), true, now), 300);
  BOOST_CHECK(rollout.state() == RolloutState::Moving);
  addVeto(knowledge, vetoAt(now, "127.0.0.2"));
  rollout.follow(knowledge, now);
  BOOST_CHECK(rollout.state() == RolloutState::TakenBack);
}

// The new version receives no calls, so there is no evidence. The deadline
// policy decides between completing in time and rolling back.
BOOST_AUTO_TEST_CASE(the_deadline_policy_decides_without_evidence) {
  for (const auto policy : {DeadlinePolicy::InTime, DeadlinePolicy::Safe}) {
    RolloutKnowledge knowledge;
    Rollout rollout(planFor(policy), Self);
    for (int n = 0; n <= 30 * 60; ++n) {
      rollout.confirmKnowledgeUntil(Start + seconds(n));
      rollout.update(knowledge, Start + seconds(n));
    }
    const RolloutStatus status = rollout.status();
    const bool isDone = policy == DeadlinePolicy::InTime;
    BOOST_CHECK(status.State ==
                (isDone ? RolloutState::Done : RolloutState::TakenBack));
    BOOST_CHECK_EQUAL(status.ForcedSteps > 0, isDone);
    BOOST_CHECK_EQUAL(status.Reason.has_value(), !isDone);
  }
}

BOOST_AUTO_TEST_CASE(a_growing_share_only_adds_replicas) {
  const std::vector<UpstreamId> all = {
      UpstreamId("127.0.0.1:1"), UpstreamId("127.0.0.1:2"),
      UpstreamId("127.0.0.1:3"), UpstreamId("127.0.0.1:4")};
  const auto one = canaryReplicas(all, 0.02, 0.25);
  const auto two = canaryReplicas(all, 0.5, 0.25);
  BOOST_CHECK_EQUAL(one.size(), 1U);
  BOOST_CHECK_EQUAL(two.size(), 2U);
  BOOST_CHECK(one.front() == two.front());
  BOOST_CHECK_EQUAL(canaryReplicas(all, 1, 0.25).size(), 4U);
}

namespace {

/// A plan of seconds, as the replicas of the old version stop at its end.
RolloutPlan shortPlan() {
  RolloutPlan plan = planFor(DeadlinePolicy::Safe);
  plan.Deadline = Start + seconds(15);
  plan.Routes = {{RouteId("lookup"), ServiceId("desk"), true, 0, {}, {}},
                 {RouteId("status"), ServiceId("desk"), true, 0, {}, {}}};
  return plan;
}

RolloutSettings finalSettings() {
  RolloutSettings settings;
  settings.PoolsRoutes = true;
  settings.EndsOldVersion = true;
  return settings;
}

void record(RolloutKnowledge &knowledge, const char *version, const char *route,
            UpstreamOutcome outcome) {
  knowledge.Evidence.record(Source, {VersionId(version), RouteId(route)},
                            outcome);
}

/// A rollout of seconds under 100 calls a second, a few of them to a quiet
/// route. From the stage `badFrom` on, half of the new version's calls are
/// late.
struct ShortRollout {
  explicit ShortRollout(unsigned badFrom) : BadFrom(badFrom) {}

  void run() {
    for (int ms = 0; ms < 20'000; ms += 10) {
      const Instant now = Start + milliseconds(ms);
      Run.confirmKnowledgeUntil(now);
      Run.update(Knowledge, now);
      if (Run.state() != RolloutState::Moving)
        return;
      send(ms, now);
    }
  }

  void send(int ms, Instant now) {
    const std::string key = std::to_string(ms);
    const bool isNew =
        chooseVersion(Run.shares(), key, true, now) == VersionId("new");
    const bool isBad = isNew && Run.status().Stage >= BadFrom && ms % 20 == 0;
    record(Knowledge, isNew ? "new" : "old",
           ms % 500 == 0 ? "status" : "lookup",
           isBad ? UpstreamOutcome::Late : UpstreamOutcome::Good);
    CallsToNew += isNew ? 1 : 0;
  }

  unsigned BadFrom;
  RolloutKnowledge Knowledge;
  Rollout Run{shortPlan(), Self, finalSettings()};
  int CallsToNew = 0;
};

} // namespace

// The replicas of the old version stop when a rollout is completed. A version
// without evidence for it was completed at the deadline, and kept.
BOOST_AUTO_TEST_CASE(a_final_rollout_without_evidence_is_rolled_back) {
  RolloutKnowledge knowledge;
  raiseStage(knowledge, VersionId("new"),
             {static_cast<unsigned>(stagesOf(shortPlan()).size() - 1), Start});
  Rollout rollout(shortPlan(), Self, finalSettings());
  for (int n = 0; n <= 16; ++n) {
    rollout.confirmKnowledgeUntil(Start + seconds(n));
    rollout.update(knowledge, Start + seconds(n));
    BOOST_TEST((rollout.state() != RolloutState::Done));
  }
  BOOST_TEST((rollout.state() == RolloutState::TakenBack));
}

// A quiet route would hold up each step of a good version for longer than the
// rollout may take.
BOOST_AUTO_TEST_CASE(a_good_version_is_done_within_seconds) {
  ShortRollout rollout(1000);
  rollout.run();
  BOOST_TEST((rollout.Run.state() == RolloutState::Done));
}

// A version that is bad from any stage on, and late in half of its calls.
BOOST_AUTO_TEST_CASE(a_bad_version_is_rolled_back_from_any_stage) {
  for (unsigned stage = 1; stage < stagesOf(shortPlan()).size(); ++stage) {
    ShortRollout rollout(stage);
    rollout.run();
    BOOST_TEST((rollout.Run.state() == RolloutState::TakenBack), stage);
  }
}

// A daemon that only follows learns that the rollout is done. A stage that it
// does not have must not be looked up.
BOOST_AUTO_TEST_CASE(a_stage_beyond_the_last_says_that_the_rollout_is_done) {
  for (const unsigned beyond : {0U, 1U, 1000U}) {
    RolloutKnowledge knowledge;
    const auto last = static_cast<unsigned>(stagesOf(shortPlan()).size() - 1);
    raiseStage(knowledge, VersionId("new"), {last + beyond, Start});
    Rollout follower(shortPlan(), Self, finalSettings());
    Rollout decider(shortPlan(), Self, finalSettings());
    follower.follow(knowledge, Start + seconds(1));
    decider.update(knowledge, Start + seconds(1));
    BOOST_TEST((follower.state() == RolloutState::Done) == (beyond > 0));
    BOOST_TEST((decider.state() == RolloutState::Done) == (beyond > 0));
    BOOST_TEST(decider.status().Stage == last);
  }
}

BOOST_AUTO_TEST_SUITE_END()
