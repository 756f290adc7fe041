#include "LibBase/BootClock.h"
#include "LibObjectApi/KindWatcher.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <thread>

using namespace sorrelbay;

namespace {

/// A watcher of one kind whose store is played by the test: a call stays open
/// until the test answers it. One that is told of changes has begun to ask
/// because no news followed its list, unless it is `fresh`.
struct World {
  explicit World(bool asksAlways, KindWatcherSettings settings = {},
                 bool fresh = false)
      : AsksAlways(asksAlways) {
    KindStore store;
    store.List = [this](StoreKind, const StoreCallback<KindListing> &done) {
      ++Lists;
      Listed = done;
    };
    store.Watch = [this](StoreKind, std::uint64_t after, Duration patience,
                         const StoreCallback<KindChanges> &done) {
      ++Watches;
      Waits = patience;
      After = after;
      Watched = done;
    };
    KindWatcherHooks hooks;
    hooks.OnObject = [this](const KeptObject &it) { Seen[it.Name] = it.Body; };
    hooks.OnRemoved = [this](const std::string &name) { Seen.erase(name); };
    hooks.OnConfirmed = [this](Instant begun) { Confirmed = begun; };
    hooks.OnWatched = [this](std::uint64_t from, const KindChanges &changes,
                             Instant) {
      PassedOn.emplace_back(from, changes.AsOf);
      Changes = changes.Changes.size();
    };
    hooks.AsksAlways = [this] { return AsksAlways; };
    hooks.IsUnreached = [this] { return IsUnreached; };
    hooks.Probes = [this] { return Probes; };
    Watcher = std::make_unique<KindWatcher>(Loop, store, StoreKind::Replicas,
                                            settings, hooks);
    Watcher->start();
    StoreResult<KindListing> listing;
    listing.Got = KindListing{{{"a", "1", "", 5}}, 10};
    Listed(listing);
    if (!fresh)
      Watcher->tick(bootNow() + settings.Patience * settings.SilentPatiences +
                    milliseconds(1));
  }

  /// News after `from` up to `asOf`, told this long after the call to the
  /// store, in answer to what this host said `echoAge` ago.
  static KindNews news(std::uint64_t from, std::uint64_t asOf,
                       std::vector<KindChange> changes,
                       Duration echoAge = Duration::zero()) {
    KindNews out;
    out.Kind = StoreKind::Replicas;
    out.From = from;
    out.Changes = {std::move(changes), asOf};
    out.Age = milliseconds(100);
    out.Echo = (bootNow() - echoAge).time_since_epoch().count();
    return out;
  }

  boost::asio::io_context Loop;
  bool AsksAlways;
  bool IsUnreached = false;
  bool Probes = true;
  std::size_t Changes = 0;
  Duration Waits{};
  /// From which revision to which changes were passed on.
  std::vector<std::pair<std::uint64_t, std::uint64_t>> PassedOn;
  StoreCallback<KindListing> Listed;
  StoreCallback<KindChanges> Watched;
  int Lists = 0;
  int Watches = 0;
  std::uint64_t After = 0;
  std::map<std::string, std::string> Seen;
  Instant Confirmed{};
  std::unique_ptr<KindWatcher> Watcher;
};

KindChange changed(const char *name, const char *body, std::uint64_t revision) {
  return {{name, body, "", revision}, false};
}

KindChange removed(const char *name, std::uint64_t revision) {
  return {{name, "", "", revision}, true};
}

} // namespace

BOOST_AUTO_TEST_SUITE(kind_watcher)

BOOST_AUTO_TEST_CASE(a_host_that_is_told_of_changes_does_not_ask) {
  World world(false);
  BOOST_TEST(world.Watches == 1);
  world.Watcher->hear(World::news(10, 12, {changed("b", "2", 12)}), bootNow());
  BOOST_TEST(world.Seen.at("b") == "2");
  StoreResult<KindChanges> late;
  late.Got = KindChanges{{changed("b", "old", 11)}, 11};
  world.Watched(late);
  // The older answer undoes nothing, and no other call follows.
  BOOST_TEST(world.Seen.at("b") == "2");
  BOOST_TEST(world.Watches == 1);
  world.Watcher->tick(bootNow() + milliseconds(100));
  BOOST_TEST(world.Watches == 1);
}

// Hundreds of hosts start together. Each would ask again and again for what it
// has just listed, until the one that asks for all has begun to.
BOOST_AUTO_TEST_CASE(what_was_just_listed_is_not_asked_for) {
  KindWatcherSettings settings;
  World world(false, settings, true);
  BOOST_TEST(world.Watches == 0);
  world.Watcher->tick(bootNow() + settings.Patience);
  BOOST_TEST(world.Watches == 0);
  world.Watcher->tick(bootNow() + settings.Patience * settings.SilentPatiences +
                      milliseconds(1));
  BOOST_TEST(world.Watches == 1);
  BOOST_TEST(world.After == 10);
}

// One host asks the store for all zones, and each zone's own passes its news
// on. Were only the first to do so, the other zones would hear of no change.
BOOST_AUTO_TEST_CASE(news_is_passed_on) {
  World world(false);
  world.Watcher->hear(World::news(10, 12, {changed("b", "2", 12)}), bootNow());
  BOOST_TEST(world.PassedOn.size() == 1);
  BOOST_TEST(world.PassedOn.front().first == 10);
  BOOST_TEST(world.PassedOn.front().second == 12);
  // With a gap there is nothing whole to pass on.
  world.Watcher->hear(World::news(20, 22, {}), bootNow());
  BOOST_TEST(world.PassedOn.size() == 1);
}

// Two hosts of a zone take themselves for the one that passes news on. Each
// sends the other what it has just heard from it, without end.
BOOST_AUTO_TEST_CASE(news_that_says_no_more_is_not_passed_on) {
  World world(false);
  const KindNews first = World::news(10, 12, {changed("b", "2", 12)});
  world.Watcher->hear(first, bootNow());
  world.Watcher->hear(first, bootNow());
  BOOST_TEST(world.PassedOn.size() == 1);
  KindNews unanswered = World::news(12, 12, {});
  unanswered.Echo = 0;
  world.Watcher->hear(unanswered, bootNow());
  BOOST_TEST(world.PassedOn.size() == 1);
  KindNews younger = World::news(12, 12, {});
  younger.Age = Duration::zero();
  world.Watcher->hear(younger, bootNow());
  BOOST_TEST(world.PassedOn.size() == 2);
}

// The host that asked for all is gone. The next one begins with a watch that
// waits as long as any, and all others ask by themselves before it returns.
BOOST_AUTO_TEST_CASE(one_that_begins_to_ask_for_others_confirms_at_once) {
  KindWatcherSettings settings;
  World world(false, settings);
  world.Watcher->hear(World::news(10, 12, {}), bootNow());
  world.Watched({KindChanges{{}, 12}, StoreFailure::Unavailable});
  BOOST_TEST(world.Watches == 1);
  world.AsksAlways = true;
  world.Watcher->tick(bootNow() + milliseconds(100));
  BOOST_TEST(world.Watches == 2);
  BOOST_TEST((world.Waits == settings.FirstPatience));
  world.Watched({KindChanges{{}, 12}, StoreFailure::Unavailable});
  BOOST_TEST(world.Watches == 3);
  BOOST_TEST((world.Waits == settings.Patience));
}

// The store has forgotten its history, so that the one that asks for all lists.
// Were nothing passed on, each host would find a gap and list, too.
BOOST_AUTO_TEST_CASE(what_a_new_list_shows_is_passed_on) {
  World world(true);
  world.Watched({{}, StoreFailure::HistoryGone});
  world.Loop.run_for(milliseconds(20));
  BOOST_TEST(world.Lists == 2);
  world.Listed({KindListing{{{"b", "2", "", 30}}, 40}, {}});
  BOOST_TEST(world.Seen.count("a") == 0);
  BOOST_TEST(world.PassedOn.size() == 1);
  BOOST_TEST(world.PassedOn.front().first == 10);
  BOOST_TEST(world.PassedOn.front().second == 40);
  BOOST_TEST(world.Changes == 2);
  BOOST_TEST(world.After == 40);
}

// The store is away for seconds. Hundreds of hosts that hear nothing would each
// try it several times a second.
BOOST_AUTO_TEST_CASE(one_that_is_told_tries_a_store_that_is_away_rarely) {
  for (const bool probes : {true, false}) {
    KindWatcherSettings settings;
    World world(false, settings);
    world.Probes = probes;
    world.IsUnreached = true;
    const Instant failedAt = bootNow();
    const Duration rest = settings.Patience * settings.SilentPatiences;
    world.Watched({{}, StoreFailure::Unavailable});
    world.Watcher->tick(failedAt + rest - milliseconds(100));
    BOOST_TEST(world.Watches == 1);
    world.Watcher->tick(failedAt + rest + milliseconds(100));
    BOOST_TEST(world.Watches == (probes ? 2 : 1));
    if (probes)
      continue;
    // Another view has reached it again.
    world.IsUnreached = false;
    world.Watcher->tick(failedAt + rest + milliseconds(200));
    BOOST_TEST(world.Watches == 2);
  }
}

// A write of this host failed while it was told of all changes. It would count
// as cut off for good.
BOOST_AUTO_TEST_CASE(one_that_did_not_reach_the_store_finds_out_that_it_does) {
  World world(false);
  world.Watcher->hear(World::news(10, 12, {}), bootNow());
  world.Watched({KindChanges{{}, 12}, StoreFailure::Unavailable});
  world.IsUnreached = true;
  const Instant later = bootNow() + milliseconds(1900);
  world.Watcher->hear(World::news(12, 13, {}), later);
  world.Watcher->tick(later);
  BOOST_TEST(world.Watches == 1);
  world.Watcher->tick(later + milliseconds(200));
  BOOST_TEST(world.Watches == 2);
}

// The host that passes news on dies, and says nothing. A replica that leaves
// would go on getting calls for as long as this host waits.
BOOST_AUTO_TEST_CASE(silence_of_the_reporter_makes_it_ask_again) {
  World world(false);
  world.Watcher->hear(World::news(10, 12, {}), bootNow());
  world.Watched({KindChanges{{}, 12}, StoreFailure::Unavailable});
  BOOST_TEST(world.Watches == 1);
  world.Watcher->tick(bootNow() + seconds(3));
  BOOST_TEST(world.Watches == 2);
  BOOST_TEST(world.After == 12);
}

// News was held up in a link for seconds. It says what the store held then; as
// proof that a key still counts today it would be false.
BOOST_AUTO_TEST_CASE(news_confirms_no_more_than_its_echo_allows) {
  World world(false);
  const Instant before = bootNow();
  world.Watcher->hear(World::news(10, 12, {}, seconds(20)), bootNow());
  BOOST_TEST((world.Confirmed <= before + milliseconds(100)));
  world.Watched({KindChanges{{}, 12}, StoreFailure::Unavailable});
  const Instant own = world.Confirmed;
  world.Watcher->hear(World::news(12, 14, {}, seconds(20)), bootNow());
  BOOST_TEST((world.Confirmed == own));
}

BOOST_AUTO_TEST_CASE(a_gap_in_the_news_is_asked_for) {
  World world(false);
  world.Watcher->hear(World::news(10, 12, {}), bootNow());
  world.Watched({KindChanges{{}, 12}, StoreFailure::Unavailable});
  BOOST_TEST(world.Watches == 1);
  world.Watcher->hear(World::news(20, 22, {changed("c", "3", 22)}), bootNow());
  BOOST_TEST(world.Seen.count("c") == 0);
  BOOST_TEST(world.Watches == 2);
  BOOST_TEST(world.After == 12);
}

// A host was told of changes for a long time and then has to ask by itself. It
// took the time in between for an outage of the store, after which entries may
// be missing that come back, and went on to send calls to a replica that had
// left.
BOOST_AUTO_TEST_CASE(being_told_is_no_outage) {
  KindWatcherSettings settings;
  settings.Patience = milliseconds(200);
  settings.OutageAfter = milliseconds(300);
  settings.SilentPatiences = 100;
  settings.OldPatiences = 100;
  World world(false, settings);
  world.Watcher->hear(World::news(10, 12, {}), bootNow());
  world.Watched({KindChanges{{}, 12}, StoreFailure::Unavailable});
  for (std::uint64_t n = 12; n < 18; ++n) {
    std::this_thread::sleep_for(milliseconds(100));
    world.Watcher->hear(World::news(n, n + 1, {}), bootNow());
  }
  KindNews large = World::news(18, 20, {});
  large.IsLeftOut = true;
  world.Watcher->hear(large, bootNow());
  BOOST_TEST(world.Watches == 2);
  world.Watched({KindChanges{{removed("a", 19)}, 20}, {}});
  BOOST_TEST(world.Seen.count("a") == 0);
}

// A replica's entry was removed and is there again; the reporter is behind and
// passes the removal on. The replica would get nothing more.
BOOST_AUTO_TEST_CASE(an_old_removal_undoes_nothing) {
  World world(false);
  world.Watcher->hear(World::news(10, 20, {changed("a", "again", 18)}),
                      bootNow());
  world.Watcher->hear(
      World::news(10, 21, {removed("a", 14), changed("a", "again", 18)}),
      bootNow());
  BOOST_TEST(world.Seen.at("a") == "again");
  world.Watcher->hear(World::news(21, 23, {removed("a", 18)}), bootNow());
  BOOST_TEST(world.Seen.count("a") == 0);
}

// Ninety replicas are replaced one after the other. Each of them would end a
// watch, and the calls to the store would cost more than the replicas.
BOOST_AUTO_TEST_CASE(what_changes_together_is_asked_for_together) {
  KindWatcherSettings settings;
  settings.GatherTime = milliseconds(20);
  World world(true, settings);
  world.Watched({KindChanges{{changed("b", "1", 12)}, 12}, {}});
  BOOST_TEST(world.Watches == 1);
  world.Loop.run();
  BOOST_TEST(world.Watches == 2);
  BOOST_TEST(world.After == 12);
  // Nothing has changed: there is nothing to wait for.
  world.Watched({KindChanges{{}, 13}, {}});
  BOOST_TEST(world.Watches == 3);
}

BOOST_AUTO_TEST_CASE(the_host_that_aggregates_asks_all_the_time) {
  World world(true);
  for (int n = 0; n < 3; ++n) {
    world.Watcher->hear(World::news(10, 12, {}), bootNow());
    world.Watched({KindChanges{{}, 12}, StoreFailure::Unavailable});
  }
  BOOST_TEST(world.Watches == 4);
}

// The store is away and refuses each call at once. A hundred hosts that ask on
// at the same pace send it hundreds of calls a second, each of which is paid
// for, and meet it with all of them when it is back.
BOOST_AUTO_TEST_CASE(an_outage_is_asked_about_less_and_less) {
  boost::asio::io_context loop;
  int calls = 0;
  KindStore store;
  store.List = [&](StoreKind, const StoreCallback<KindListing> &done) {
    ++calls;
    boost::asio::post(loop, [done] {
      done(StoreResult<KindListing>{{}, StoreFailure::Unavailable});
    });
  };
  KindWatcherHooks hooks;
  hooks.OnObject = [](const KeptObject &) {};
  hooks.OnRemoved = [](const std::string &) {};
  hooks.OnConfirmed = [](Instant) {};
  KindWatcher watcher(loop, store, StoreKind::Plan, {}, hooks);
  watcher.start();
  loop.run_for(milliseconds(1600));
  // At 0, 150, 450, 1050 ms.
  BOOST_TEST(calls >= 2);
  BOOST_TEST(calls <= 4);
}

BOOST_AUTO_TEST_SUITE_END()
