#include "LibDecision/LeavingUpstreams.h"
#include "SoakSeeds.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <random>

using namespace sorrelbay;

namespace {

const Instant Start{seconds(1000)};
const UpstreamId Engine("127.0.0.9:1");

/// A set after a tick and after the answers of a peer and of the upstream.
LeavingUpstreams freshSet() {
  LeavingUpstreams set;
  set.noteTick(Start);
  set.notePeerAnswered(Start);
  set.noteStayConfirmed(Engine, Start);
  return set;
}

void tickUntil(LeavingUpstreams &set, Instant from, Instant to) {
  for (Instant at = from; at <= to; at += milliseconds(500))
    set.noteTick(at);
}

struct VerdictRow {
  const char *Name;
  std::function<void(LeavingUpstreams &)> ApplyEvent;
  Duration AskedAfter;
  NewWork Wanted;
};

std::ostream &operator<<(std::ostream &out, const VerdictRow &row) {
  return out << row.Name;
}

const VerdictRow VerdictRows[] = {
    {"all is fresh", [](LeavingUpstreams &) {}, milliseconds(500),
     NewWork::Allowed},
    {"a notice",
     [](LeavingUpstreams &set) {
       set.noteLeaving({Engine, Start + seconds(10)});
     },
     milliseconds(500), NewWork::Refused},
    {"a notice, and an older confirmation of the upstream",
     [](LeavingUpstreams &set) {
       set.noteLeaving({Engine, Start + seconds(10)});
       set.noteStayConfirmed(Engine, Start);
     },
     milliseconds(500), NewWork::Refused},
    {"the upstream's confirmation is old",
     [](LeavingUpstreams &set) { tickUntil(set, Start, Start + seconds(4)); },
     seconds(4), NewWork::AskUpstream},
    {"paused", [](LeavingUpstreams &) {}, seconds(20), NewWork::AskPeers},
    {"paused, and a peer's answer from before",
     [](LeavingUpstreams &set) {
       set.noteTick(Start + seconds(20));
       set.notePeerAnswered(Start + milliseconds(900));
     },
     seconds(20), NewWork::AskPeers},
    {"paused, and a peer's answer since",
     [](LeavingUpstreams &set) {
       set.noteTick(Start + seconds(20));
       set.notePeerAnswered(Start + seconds(20));
     },
     seconds(20), NewWork::AskUpstream},
    {"paused, and no peer answers",
     [](LeavingUpstreams &set) {
       tickUntil(set, Start + seconds(20), Start + seconds(23));
     },
     seconds(23), NewWork::AskUpstream},
    {"the notice has expired",
     [](LeavingUpstreams &set) {
       set.noteLeaving({Engine, Start + seconds(10)});
       tickUntil(set, Start, Start + seconds(140));
       set.notePeerAnswered(Start + seconds(140));
       set.noteStayConfirmed(Engine, Start + seconds(140));
     },
     seconds(140), NewWork::Allowed},
};

} // namespace

namespace sorrelbay {

static std::ostream &operator<<(std::ostream &out, NewWork verdict) {
  return out << static_cast<int>(verdict);
}

} // namespace sorrelbay

BOOST_AUTO_TEST_SUITE(LeavingUpstreamsTests)

BOOST_DATA_TEST_CASE(decides_whether_an_upstream_may_receive_new_calls,
                     boost::unit_test::data::make(VerdictRows), row) {
  LeavingUpstreams set = freshSet();
  row.ApplyEvent(set);
  BOOST_CHECK_EQUAL(set.newWorkFor(Engine, Start + row.AskedAfter), row.Wanted);
}

namespace {

/// Which verdicts of the set the simulated daemons act on.
enum class Compliance { Full, PeersNotAsked, NothingAsked };

constexpr int Daemons = 5;
constexpr int Upstreams = 4;
constexpr Duration Step = milliseconds(50);
constexpr Duration PollEvery = milliseconds(500);
/// The maximum time from the first notice that an upstream leaves until all
/// daemons stop sending calls to it.
constexpr Duration Bound = seconds(3);

/// Daemons that query each other, the host list and the upstreams, with lost
/// and late answers and pauses of up to 30 s. Each leaving upstream is
/// announced by a random non-empty subset of the sources, each with its own
/// delay.
class LeavingRun {
public:
  LeavingRun(std::uint64_t seed, Compliance compliance)
      : Random(seed), DaemonCompliance(compliance), Sets(Daemons),
        PausedUntil(Daemons), Inboxes(Daemons) {
    for (int u = 0; u < Upstreams; ++u) {
      UpstreamPlan plan;
      plan.Id = UpstreamId(std::to_string(u));
      plan.NoticeAt = Start + seconds(between(5, 50));
      plan.GoneAt = plan.NoticeAt + seconds(between(2, 30));
      plan.ReportsItself = chance(50);
      plan.IsListed = chance(50);
      plan.ListedAt = plan.NoticeAt + milliseconds(between(0, 4000));
      if (!plan.ReportsItself && !plan.IsListed)
        plan.NotifiedDaemon = between(0, Daemons - 1);
      Plans.push_back(plan);
    }
  }

  /// Whether an upstream received a new call after the bound.
  bool sendsTooLate() {
    for (Now = Start; Now < Start + seconds(90); Now += Step) {
      for (UpstreamPlan &plan : Plans)
        updateKnownSince(plan);
      for (int d = 0; d < Daemons; ++d)
        stepDaemon(d);
    }
    return SentTooLate;
  }

private:
  struct UpstreamPlan {
    UpstreamId Id;
    Instant NoticeAt;
    Instant GoneAt;
    bool ReportsItself = false;
    bool IsListed = false;
    Instant ListedAt;
    int NotifiedDaemon = -1;
    /// The start of the current period in which the upstream or a running
    /// daemon has the notice and answers queries; the maximum if there is none.
    Instant KnownSince = Instant::max();
  };
  struct Message {
    Instant ArrivesAt;
    std::function<void(LeavingUpstreams &)> DeliverTo;
  };

  int between(int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(Random);
  }
  bool chance(int percent) { return between(1, 100) <= percent; }
  LeavingUpstreams &set(int daemon) {
    return Sets[static_cast<std::size_t>(daemon)];
  }
  bool isPaused(int daemon) const {
    return Now < PausedUntil[static_cast<std::size_t>(daemon)];
  }

  void updateKnownSince(UpstreamPlan &plan) {
    bool isKnown = plan.ReportsItself && Now >= plan.NoticeAt;
    for (int d = 0; d < Daemons; ++d)
      isKnown = isKnown || (!isPaused(d) && set(d).isViewFresh(Now) &&
                            set(d).isLeaving(plan.Id, Now));
    if (!isKnown)
      plan.KnownSince = Instant::max();
    else if (plan.KnownSince == Instant::max())
      plan.KnownSince = Now;
  }

  void answer(int daemon, std::function<void(LeavingUpstreams &)> deliverTo) {
    constexpr int LostPercent = 15;
    if (chance(LostPercent))
      return;
    Inboxes[static_cast<std::size_t>(daemon)].push_back(
        {Now + milliseconds(between(1, 400)), std::move(deliverTo)});
  }

  void askUpstream(int daemon, const UpstreamPlan &plan) {
    const Instant askedAt = Now;
    const bool isLeaving = plan.ReportsItself && Now >= plan.NoticeAt;
    answer(daemon, [plan, askedAt, isLeaving](LeavingUpstreams &set) {
      if (isLeaving)
        set.noteLeaving({plan.Id, plan.GoneAt});
      else
        set.noteStayConfirmed(plan.Id, askedAt);
    });
  }

  void askPeer(int daemon, int peer) {
    if (isPaused(peer))
      return;
    const Instant askedAt = Now;
    const bool isFresh = set(peer).isViewFresh(Now);
    answer(daemon, [askedAt, isFresh,
                    notices = set(peer).notices(Now)](LeavingUpstreams &set) {
      for (const LeavingNotice &it : notices)
        set.noteLeaving(it);
      if (isFresh)
        set.notePeerAnswered(askedAt);
    });
  }

  void poll(int daemon) {
    for (const UpstreamPlan &plan : Plans) {
      askUpstream(daemon, plan);
      if (plan.IsListed && Now >= plan.ListedAt)
        answer(daemon, [plan](LeavingUpstreams &set) {
          set.noteLeaving({plan.Id, plan.GoneAt});
        });
      if (plan.NotifiedDaemon == daemon && Now >= plan.NoticeAt)
        set(daemon).noteLeaving({plan.Id, plan.GoneAt});
    }
    for (int peer = 0; peer < Daemons; ++peer)
      if (peer != daemon)
        askPeer(daemon, peer);
  }

  void deliverTo(int daemon) {
    auto &inbox = Inboxes[static_cast<std::size_t>(daemon)];
    std::vector<Message> later;
    for (const Message &it : inbox) {
      if (it.ArrivesAt <= Now)
        it.DeliverTo(set(daemon));
      else
        later.push_back(it);
    }
    inbox = later;
  }

  void stepDaemon(int daemon) {
    if (isPaused(daemon))
      return;
    if (between(1, 600) == 1) {
      PausedUntil[static_cast<std::size_t>(daemon)] =
          Now + milliseconds(between(100, 30000));
      return;
    }
    // A call may be handled before the ticking thread and the inbox have run.
    if (chance(50))
      send(daemon);
    set(daemon).noteTick(Now);
    deliverTo(daemon);
    if ((Now - Start) % PollEvery == Duration{})
      poll(daemon);
    send(daemon);
  }

  bool maySend(int daemon, const UpstreamPlan &plan) {
    switch (set(daemon).newWorkFor(plan.Id, Now)) {
    case NewWork::Allowed:
      return true;
    case NewWork::Refused:
      return false;
    case NewWork::AskUpstream:
      return DaemonCompliance == Compliance::NothingAsked;
    case NewWork::AskPeers:
      return DaemonCompliance != Compliance::Full;
    }
    return false;
  }

  void send(int daemon) {
    const UpstreamPlan &plan =
        Plans[static_cast<std::size_t>(between(0, Upstreams - 1))];
    if (!maySend(daemon, plan) || Now > plan.GoneAt)
      return;
    if (plan.KnownSince != Instant::max() && Now > plan.KnownSince + Bound)
      SentTooLate = true;
  }

  std::mt19937_64 Random;
  Compliance DaemonCompliance;
  std::vector<UpstreamPlan> Plans;
  std::vector<LeavingUpstreams> Sets;
  std::vector<Instant> PausedUntil;
  std::vector<std::vector<Message>> Inboxes;
  Instant Now{};
  bool SentTooLate = false;
};

int runsTooLate(std::uint64_t seeds, Compliance compliance) {
  int n = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    if (LeavingRun(seed, compliance).sendsTooLate()) {
      ++n;
      BOOST_TEST_MESSAGE("sent too late with seed " << seed);
    }
  return n;
}

} // namespace

// An upstream is to be reclaimed. The notice comes from the host list, the
// upstream or a peer, partly late or not at all, while daemons are paused. A
// call that is still sent there loses its upstream within seconds.
BOOST_AUTO_TEST_CASE(randomised_leaving_upstreams_receive_no_new_calls) {
  BOOST_CHECK_EQUAL(runsTooLate(soakSeeds(40), Compliance::Full), 0);
}

// The same runs with daemons that use their state from before a pause.
BOOST_AUTO_TEST_CASE(randomised_stale_views_are_caught) {
  BOOST_CHECK_GT(runsTooLate(40, Compliance::PeersNotAsked), 0);
  BOOST_CHECK_GT(runsTooLate(40, Compliance::NothingAsked), 0);
}

BOOST_AUTO_TEST_SUITE_END()
