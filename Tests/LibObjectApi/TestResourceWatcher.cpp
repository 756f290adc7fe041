#include "LibBase/BootClock.h"
#include "LibObjectApi/ResourceWatcher.h"
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
  explicit World(bool asksAlways, ResourceWatcherSettings settings = {},
                 bool fresh = false)
      : IsPolling(asksAlways) {
    ResourceStore store;
    store.List = [this](ResourceKind,
                        const StoreCallback<ResourceListing> &done) {
      ++Lists;
      Listed = done;
    };
    store.Watch = [this](ResourceKind, std::uint64_t after, Duration waitLimit,
                         const StoreCallback<ResourceChanges> &done) {
      ++Watches;
      Waits = waitLimit;
      After = after;
      Watched = done;
    };
    ResourceWatcherHooks hooks;
    hooks.OnObject = [this](const Resource &it) { Seen[it.Name] = it.Body; };
    hooks.OnRemoved = [this](const std::string &name) { Seen.erase(name); };
    hooks.OnConfirmed = [this](Instant begun) { Confirmed = begun; };
    hooks.OnWatched = [this](std::uint64_t from, const ResourceChanges &changes,
                             Instant) {
      PassedOn.emplace_back(from, changes.AtRevision);
      Changes = changes.Changes.size();
    };
    hooks.IsPolling = [this] { return IsPolling; };
    hooks.IsUnreached = [this] { return IsUnreached; };
    hooks.IsProber = [this] { return IsProber; };
    Watcher = std::make_unique<ResourceWatcher>(
        Loop, store, ResourceKind::Replicas, settings, hooks);
    Watcher->start();
    StoreResult<ResourceListing> listing;
    listing.Got = ResourceListing{{{"a", "1", "", 5}}, 10};
    Listed(listing);
    if (!fresh)
      Watcher->tick(bootNow() + settings.WaitLimit * settings.SilentWaitLimits +
                    milliseconds(1));
  }

  /// News after `from` up to `asOf`, told this long after the call to the
  /// store, in answer to what this host said `echoAge` ago.
  static RelayedChanges news(std::uint64_t from, std::uint64_t asOf,
                             std::vector<ResourceChange> changes,
                             Duration echoAge = Duration::zero()) {
    RelayedChanges out;
    out.Kind = ResourceKind::Replicas;
    out.From = from;
    out.Changes = {std::move(changes), asOf};
    out.Age = milliseconds(100);
    out.Echo = (bootNow() - echoAge).time_since_epoch().count();
    return out;
  }

  boost::asio::io_context Loop;
  bool IsPolling;
  bool IsUnreached = false;
  bool IsProber = true;
  std::size_t Changes = 0;
  Duration Waits{};
  /// From which revision to which changes were passed on.
  std::vector<std::pair<std::uint64_t, std::uint64_t>> PassedOn;
  StoreCallback<ResourceListing> Listed;
  StoreCallback<ResourceChanges> Watched;
  int Lists = 0;
  int Watches = 0;
  std::uint64_t After = 0;
  std::map<std::string, std::string> Seen;
  Instant Confirmed{};
  std::unique_ptr<ResourceWatcher> Watcher;
};

ResourceChange changed(const char *name, const char *body,
                       std::uint64_t revision) {
  return {{name, body, "", revision}, false};
}

ResourceChange removed(const char *name, std::uint64_t revision) {
  return {{name, "", "", revision}, true};
}

} // namespace

BOOST_AUTO_TEST_SUITE(kind_watcher)

BOOST_AUTO_TEST_CASE(a_host_that_is_told_of_changes_does_not_ask) {
  World world(false);
  BOOST_TEST(world.Watches == 1);
  world.Watcher->receive(World::news(10, 12, {changed("b", "2", 12)}),
                         bootNow());
  BOOST_TEST(world.Seen.at("b") == "2");
  StoreResult<ResourceChanges> late;
  late.Got = ResourceChanges{{changed("b", "old", 11)}, 11};
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
  ResourceWatcherSettings settings;
  World world(false, settings, true);
  BOOST_TEST(world.Watches == 0);
  world.Watcher->tick(bootNow() + settings.WaitLimit);
  BOOST_TEST(world.Watches == 0);
  world.Watcher->tick(bootNow() +
                      settings.WaitLimit * settings.SilentWaitLimits +
                      milliseconds(1));
  BOOST_TEST(world.Watches == 1);
  BOOST_TEST(world.After == 10);
}

// One host asks the store for all zones, and each zone's own passes its news
// on. Were only the first to do so, the other zones would hear of no change.
BOOST_AUTO_TEST_CASE(news_is_passed_on) {
  World world(false);
  world.Watcher->receive(World::news(10, 12, {changed("b", "2", 12)}),
                         bootNow());
  BOOST_TEST(world.PassedOn.size() == 1);
  BOOST_TEST(world.PassedOn.front().first == 10);
  BOOST_TEST(world.PassedOn.front().second == 12);
  // With a gap there is nothing whole to pass on.
  world.Watcher->receive(World::news(20, 22, {}), bootNow());
  BOOST_TEST(world.PassedOn.size() == 1);
}

// Two hosts of a zone take themselves for the one that passes news on. Each
// sends the other what it has just heard from it, without end.
BOOST_AUTO_TEST_CASE(news_that_says_no_more_is_not_passed_on) {
  World world(false);
  const RelayedChanges first = World::news(10, 12, {changed("b", "2", 12)});
  world.Watcher->receive(first, bootNow());
  world.Watcher->receive(first, bootNow());
  BOOST_TEST(world.PassedOn.size() == 1);
  RelayedChanges unanswered = World::news(12, 12, {});
  unanswered.Echo = 0;
  world.Watcher->receive(unanswered, bootNow());
  BOOST_TEST(world.PassedOn.size() == 1);
  RelayedChanges younger = World::news(12, 12, {});
  younger.Age = Duration::zero();
  world.Watcher->receive(younger, bootNow());
  BOOST_TEST(world.PassedOn.size() == 2);
}

// The host that asked for all is gone. The next one begins with a watch that
// waits as long as any, and all others ask by themselves before it returns.
BOOST_AUTO_TEST_CASE(one_that_begins_to_ask_for_others_confirms_at_once) {
  ResourceWatcherSettings settings;
  World world(false, settings);
  world.Watcher->receive(World::news(10, 12, {}), bootNow());
  world.Watched({ResourceChanges{{}, 12}, StoreFailure::Unavailable});
  BOOST_TEST(world.Watches == 1);
  world.IsPolling = true;
  world.Watcher->tick(bootNow() + milliseconds(100));
  BOOST_TEST(world.Watches == 2);
  BOOST_TEST((world.Waits == settings.FirstWaitLimit));
  world.Watched({ResourceChanges{{}, 12}, StoreFailure::Unavailable});
  BOOST_TEST(world.Watches == 3);
  BOOST_TEST((world.Waits == settings.WaitLimit));
}

// The store has forgotten its history, so that the one that asks for all lists.
// Were nothing passed on, each host would find a gap and list, too.
BOOST_AUTO_TEST_CASE(what_a_new_list_shows_is_passed_on) {
  World world(true);
  world.Watched({{}, StoreFailure::HistoryGone});
  world.Loop.run_for(milliseconds(20));
  BOOST_TEST(world.Lists == 2);
  world.Listed({ResourceListing{{{"b", "2", "", 30}}, 40}, {}});
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
    ResourceWatcherSettings settings;
    World world(false, settings);
    world.IsProber = probes;
    world.IsUnreached = true;
    const Instant failedAt = bootNow();
    const Duration rest = settings.WaitLimit * settings.SilentWaitLimits;
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
  world.Watcher->receive(World::news(10, 12, {}), bootNow());
  world.Watched({ResourceChanges{{}, 12}, StoreFailure::Unavailable});
  world.IsUnreached = true;
  const Instant later = bootNow() + milliseconds(1900);
  world.Watcher->receive(World::news(12, 13, {}), later);
  world.Watcher->tick(later);
  BOOST_TEST(world.Watches == 1);
  world.Watcher->tick(later + milliseconds(200));
  BOOST_TEST(world.Watches == 2);
}

// The host that passes news on dies, and says nothing. A replica that leaves
// would go on getting calls for as long as this host waits.
BOOST_AUTO_TEST_CASE(silence_of_the_reporter_makes_it_ask_again) {
  World world(false);
  world.Watcher->receive(World::news(10, 12, {}), bootNow());
  world.Watched({ResourceChanges{{}, 12}, StoreFailure::Unavailable});
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
  world.Watcher->receive(World::news(10, 12, {}, seconds(20)), bootNow());
  BOOST_TEST((world.Confirmed <= before + milliseconds(100)));
  world.Watched({ResourceChanges{{}, 12}, StoreFailure::Unavailable});
  const Instant own = world.Confirmed;
  world.Watcher->receive(World::news(12, 14, {}, seconds(20)), bootNow());
  BOOST_TEST((world.Confirmed == own));
}

BOOST_AUTO_TEST_CASE(a_gap_in_the_news_is_asked_for) {
  World world(false);
  world.Watcher->receive(World::news(10, 12, {}), bootNow());
  world.Watched({ResourceChanges{{}, 12}, StoreFailure::Unavailable});
  BOOST_TEST(world.Watches == 1);
  world.Watcher->receive(World::news(20, 22, {changed("c", "3", 22)}),
                         bootNow());
  BOOST_TEST(world.Seen.count("c") == 0);
  BOOST_TEST(world.Watches == 2);
  BOOST_TEST(world.After == 12);
}

// A host was told of changes for a long time and then has to ask by itself. It
// took the time in between for an outage of the store, after which entries may
// be missing that come back, and went on to send calls to a replica that had
// left.
BOOST_AUTO_TEST_CASE(being_told_is_no_outage) {
  ResourceWatcherSettings settings;
  settings.WaitLimit = milliseconds(200);
  settings.OutageAfter = milliseconds(300);
  settings.SilentWaitLimits = 100;
  settings.StaleWaitLimits = 100;
  World world(false, settings);
  world.Watcher->receive(World::news(10, 12, {}), bootNow());
  world.Watched({ResourceChanges{{}, 12}, StoreFailure::Unavailable});
  for (std::uint64_t n = 12; n < 18; ++n) {
    std::this_thread::sleep_for(milliseconds(100));
    world.Watcher->receive(World::news(n, n + 1, {}), bootNow());
  }
  RelayedChanges large = World::news(18, 20, {});
  large.IsTruncated = true;
  world.Watcher->receive(large, bootNow());
  BOOST_TEST(world.Watches == 2);
  world.Watched({ResourceChanges{{removed("a", 19)}, 20}, {}});
  BOOST_TEST(world.Seen.count("a") == 0);
}

// A replica's entry was removed and is there again; the reporter is behind and
// passes the removal on. The replica would get nothing more.
BOOST_AUTO_TEST_CASE(an_old_removal_undoes_nothing) {
  World world(false);
  world.Watcher->receive(World::news(10, 20, {changed("a", "again", 18)}),
                         bootNow());
  world.Watcher->receive(
      World::news(10, 21, {removed("a", 14), changed("a", "again", 18)}),
      bootNow());
  BOOST_TEST(world.Seen.at("a") == "again");
  world.Watcher->receive(World::news(21, 23, {removed("a", 18)}), bootNow());
  BOOST_TEST(world.Seen.count("a") == 0);
}

// Ninety replicas are replaced one after the other. Each of them would end a
// watch, and the calls to the store would cost more than the replicas.
BOOST_AUTO_TEST_CASE(what_changes_together_is_asked_for_together) {
  ResourceWatcherSettings settings;
  settings.BatchDelay = milliseconds(20);
  World world(true, settings);
  world.Watched({ResourceChanges{{changed("b", "1", 12)}, 12}, {}});
  BOOST_TEST(world.Watches == 1);
  world.Loop.run();
  BOOST_TEST(world.Watches == 2);
  BOOST_TEST(world.After == 12);
  // Nothing has changed: there is nothing to wait for.
  world.Watched({ResourceChanges{{}, 13}, {}});
  BOOST_TEST(world.Watches == 3);
}

BOOST_AUTO_TEST_CASE(the_host_that_aggregates_asks_all_the_time) {
  World world(true);
  for (int n = 0; n < 3; ++n) {
    world.Watcher->receive(World::news(10, 12, {}), bootNow());
    world.Watched({ResourceChanges{{}, 12}, StoreFailure::Unavailable});
  }
  BOOST_TEST(world.Watches == 4);
}

// The store is away and refuses each call at once. A hundred hosts that ask on
// at the same pace send it hundreds of calls a second, each of which is paid
// for, and meet it with all of them when it is back.
BOOST_AUTO_TEST_CASE(an_outage_is_asked_about_less_and_less) {
  boost::asio::io_context loop;
  int calls = 0;
  ResourceStore store;
  store.List = [&](ResourceKind, const StoreCallback<ResourceListing> &done) {
    ++calls;
    boost::asio::post(loop, [done] {
      done(StoreResult<ResourceListing>{{}, StoreFailure::Unavailable});
    });
  };
  ResourceWatcherHooks hooks;
  hooks.OnObject = [](const Resource &) {};
  hooks.OnRemoved = [](const std::string &) {};
  hooks.OnConfirmed = [](Instant) {};
  ResourceWatcher watcher(loop, store, ResourceKind::Plan, {}, hooks);
  watcher.start();
  loop.run_for(milliseconds(1600));
  // At 0, 150, 450, 1050 ms.
  BOOST_TEST(calls >= 2);
  BOOST_TEST(calls <= 4);
}

BOOST_AUTO_TEST_SUITE_END()
