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

constexpr const char *UnhandledBody = "unhandled";

/// A watcher of one kind with a fake store: a call stays open until the test
/// completes it. Unless `isFresh`, a watcher that does not poll has already
/// started a watch because no changes were relayed after its list.
struct WatcherFixture {
  explicit WatcherFixture(bool isPolling, ResourceWatcherSettings settings = {},
                          bool isFresh = false, bool isLatest = true)
      : IsPolling(isPolling) {
    ResourceStore store;
    store.List = [this](ResourceKind, ListFreshness freshness,
                        const StoreCallback<ResourceListing> &done) {
      ++Lists;
      Freshness = freshness;
      CompleteList = done;
    };
    store.Watch = [this](ResourceKind, std::uint64_t after, Duration waitLimit,
                         const StoreCallback<ResourceChanges> &done) {
      ++Watches;
      LastWaitLimit = waitLimit;
      After = after;
      CompleteWatch = done;
    };
    ResourceWatcherHooks hooks;
    hooks.Now = [this] { return bootNow() + ClockOffset; };
    hooks.OnObject = [this](const Resource &it) {
      if (it.Body == UnhandledBody)
        throw std::runtime_error("this object can't be handled");
      Seen[it.Name] = it.Body;
    };
    hooks.OnRemoved = [this](const std::string &name) { Seen.erase(name); };
    hooks.OnConfirmed = [this](Instant begun) { Confirmed = begun; };
    hooks.OnWatched = [this](std::uint64_t from, const ResourceChanges &changes,
                             Instant) {
      Relayed.emplace_back(from, changes.AtRevision);
      Changes = changes.Changes.size();
    };
    hooks.IsPolling = [this] { return IsPolling; };
    hooks.IsUnreached = [this] { return IsUnreached; };
    hooks.IsProber = [this] { return IsProber; };
    Watcher = std::make_unique<ResourceWatcher>(
        Loop, store, ResourceKind::Replicas, settings, hooks);
    Watcher->start();
    StoreResult<ResourceListing> listing;
    listing.Got = ResourceListing{{{"a", "1", "", 5}}, 10, isLatest};
    CompleteList(listing);
    if (!isFresh)
      Watcher->tick(bootNow() + settings.WaitLimit * settings.MaxSilentWaits +
                    milliseconds(1));
  }

  /// Relayed changes after revision `from` up to `asOf`, sent 100 ms after the
  /// start of the call to the store. Their echo is this host's clock `echoAge`
  /// ago.
  static RelayedChanges relayed(std::uint64_t from, std::uint64_t asOf,
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
  /// Added to this host's clock.
  Duration ClockOffset{};
  bool IsPolling;
  bool IsUnreached = false;
  bool IsProber = true;
  std::size_t Changes = 0;
  Duration LastWaitLimit{};
  /// The first and last revision of each batch of relayed changes.
  std::vector<std::pair<std::uint64_t, std::uint64_t>> Relayed;
  StoreCallback<ResourceListing> CompleteList;
  StoreCallback<ResourceChanges> CompleteWatch;
  int Lists = 0;
  ListFreshness Freshness = ListFreshness::Latest;
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

BOOST_AUTO_TEST_SUITE(resource_watcher)

BOOST_AUTO_TEST_CASE(a_host_that_receives_relayed_changes_does_not_query) {
  WatcherFixture fixture(false);
  BOOST_TEST(fixture.Watches == 1);
  fixture.Watcher->receive(
      WatcherFixture::relayed(10, 12, {changed("b", "2", 12)}), bootNow());
  BOOST_TEST(fixture.Seen.at("b") == "2");
  StoreResult<ResourceChanges> delayedResult;
  delayedResult.Got = ResourceChanges{{changed("b", "old", 11)}, 11};
  fixture.CompleteWatch(delayedResult);
  // The older response reverts nothing, and no further call follows.
  BOOST_TEST(fixture.Seen.at("b") == "2");
  BOOST_TEST(fixture.Watches == 1);
  fixture.Watcher->tick(bootNow() + milliseconds(100));
  BOOST_TEST(fixture.Watches == 1);
}

// Hundreds of hosts start at the same time. Each would repeatedly query the
// store for what it has just listed, until the leader has begun to poll.
BOOST_AUTO_TEST_CASE(a_fresh_list_is_not_followed_by_a_query) {
  ResourceWatcherSettings settings;
  WatcherFixture fixture(false, settings, true);
  BOOST_TEST(fixture.Watches == 0);
  fixture.Watcher->tick(bootNow() + settings.WaitLimit);
  BOOST_TEST(fixture.Watches == 0);
  fixture.Watcher->tick(bootNow() +
                        settings.WaitLimit * settings.MaxSilentWaits +
                        milliseconds(1));
  BOOST_TEST(fixture.Watches == 1);
  BOOST_TEST(fixture.After == 10);
}

// One host queries the store for all zones, and each zone's aggregator relays
// the changes. If only the first host relayed them, other zones would receive
// none.
BOOST_AUTO_TEST_CASE(received_changes_are_relayed) {
  WatcherFixture fixture(false);
  fixture.Watcher->receive(
      WatcherFixture::relayed(10, 12, {changed("b", "2", 12)}), bootNow());
  BOOST_TEST(fixture.Relayed.size() == 1);
  BOOST_TEST(fixture.Relayed.front().first == 10);
  BOOST_TEST(fixture.Relayed.front().second == 12);
  // Changes after a gap are incomplete and are not relayed.
  fixture.Watcher->receive(WatcherFixture::relayed(20, 22, {}), bootNow());
  BOOST_TEST(fixture.Relayed.size() == 1);
}

// Two hosts of a zone both act as its aggregator. Each would relay to the other
// the changes just received from it, endlessly.
BOOST_AUTO_TEST_CASE(changes_without_progress_are_not_relayed) {
  WatcherFixture fixture(false);
  const RelayedChanges first =
      WatcherFixture::relayed(10, 12, {changed("b", "2", 12)});
  fixture.Watcher->receive(first, bootNow());
  fixture.Watcher->receive(first, bootNow());
  BOOST_TEST(fixture.Relayed.size() == 1);
  RelayedChanges unconfirmed = WatcherFixture::relayed(12, 12, {});
  unconfirmed.Echo = 0;
  fixture.Watcher->receive(unconfirmed, bootNow());
  BOOST_TEST(fixture.Relayed.size() == 1);
  RelayedChanges newer = WatcherFixture::relayed(12, 12, {});
  newer.Age = Duration::zero();
  fixture.Watcher->receive(newer, bootNow());
  BOOST_TEST(fixture.Relayed.size() == 2);
}

// The leader has failed. If its successor's first watch had the usual wait
// limit, all other hosts would query the store themselves before it returns.
BOOST_AUTO_TEST_CASE(a_host_that_starts_polling_confirms_at_once) {
  ResourceWatcherSettings settings;
  WatcherFixture fixture(false, settings);
  fixture.Watcher->receive(WatcherFixture::relayed(10, 12, {}), bootNow());
  fixture.CompleteWatch({ResourceChanges{{}, 12}, StoreFailure::Unavailable});
  BOOST_TEST(fixture.Watches == 1);
  fixture.IsPolling = true;
  fixture.Watcher->tick(bootNow() + milliseconds(100));
  BOOST_TEST(fixture.Watches == 2);
  BOOST_TEST((fixture.LastWaitLimit == settings.FirstWaitLimit));
  fixture.CompleteWatch({ResourceChanges{{}, 12}, StoreFailure::Unavailable});
  BOOST_TEST(fixture.Watches == 3);
  BOOST_TEST((fixture.LastWaitLimit == settings.WaitLimit));
}

// The store has dropped its history, so the leader lists again. If the result
// were not relayed, each host would detect a gap and list as well.
BOOST_AUTO_TEST_CASE(changes_found_by_a_new_list_are_relayed) {
  WatcherFixture fixture(true);
  fixture.CompleteWatch({{}, StoreFailure::HistoryGone});
  fixture.Loop.run_for(milliseconds(20));
  BOOST_TEST(fixture.Lists == 2);
  fixture.CompleteList({ResourceListing{{{"b", "2", "", 30}}, 40}, {}});
  BOOST_TEST(fixture.Seen.count("a") == 0);
  BOOST_TEST(fixture.Relayed.size() == 1);
  BOOST_TEST(fixture.Relayed.front().first == 10);
  BOOST_TEST(fixture.Relayed.front().second == 40);
  BOOST_TEST(fixture.Changes == 2);
  BOOST_TEST(fixture.After == 40);
}

// The store is down for seconds. Hundreds of hosts that receive no changes
// would each query it several times a second.
BOOST_AUTO_TEST_CASE(
    a_host_that_does_not_poll_rarely_queries_an_unreachable_store) {
  for (const bool isProber : {true, false}) {
    ResourceWatcherSettings settings;
    WatcherFixture fixture(false, settings);
    fixture.IsProber = isProber;
    fixture.IsUnreached = true;
    const Instant failedAt = bootNow();
    const Duration maxSilence = settings.WaitLimit * settings.MaxSilentWaits;
    fixture.CompleteWatch({{}, StoreFailure::Unavailable});
    fixture.Watcher->tick(failedAt + maxSilence - milliseconds(100));
    BOOST_TEST(fixture.Watches == 1);
    fixture.Watcher->tick(failedAt + maxSilence + milliseconds(100));
    BOOST_TEST(fixture.Watches == (isProber ? 2 : 1));
    if (isProber)
      continue;
    // Another watcher has reached the store again.
    fixture.IsUnreached = false;
    fixture.Watcher->tick(failedAt + maxSilence + milliseconds(200));
    BOOST_TEST(fixture.Watches == 2);
  }
}

// A write of this host failed while it was receiving relayed changes. Without a
// probe it would be considered cut off from the store forever.
BOOST_AUTO_TEST_CASE(a_host_cut_off_from_the_store_detects_its_recovery) {
  WatcherFixture fixture(false);
  fixture.Watcher->receive(WatcherFixture::relayed(10, 12, {}), bootNow());
  fixture.CompleteWatch({ResourceChanges{{}, 12}, StoreFailure::Unavailable});
  fixture.IsUnreached = true;
  const Instant later = bootNow() + milliseconds(1900);
  fixture.Watcher->receive(WatcherFixture::relayed(12, 13, {}), later);
  fixture.Watcher->tick(later);
  BOOST_TEST(fixture.Watches == 1);
  fixture.Watcher->tick(later + milliseconds(200));
  BOOST_TEST(fixture.Watches == 2);
}

// The relaying host crashes. A replica that leaves would continue to get calls
// for as long as this host waits.
BOOST_AUTO_TEST_CASE(silence_of_the_relaying_host_leads_to_a_query) {
  WatcherFixture fixture(false);
  fixture.Watcher->receive(WatcherFixture::relayed(10, 12, {}), bootNow());
  fixture.CompleteWatch({ResourceChanges{{}, 12}, StoreFailure::Unavailable});
  BOOST_TEST(fixture.Watches == 1);
  fixture.Watcher->tick(bootNow() + seconds(3));
  BOOST_TEST(fixture.Watches == 2);
  BOOST_TEST(fixture.After == 12);
}

// Relayed changes were delayed in a link for seconds. They describe the store
// at an earlier time and must not confirm that a key is still valid.
BOOST_AUTO_TEST_CASE(relayed_changes_confirm_no_more_than_their_echo_allows) {
  WatcherFixture fixture(false);
  const Instant before = bootNow();
  fixture.Watcher->receive(WatcherFixture::relayed(10, 12, {}, seconds(20)),
                           bootNow());
  BOOST_TEST((fixture.Confirmed <= before + milliseconds(100)));
  fixture.CompleteWatch({ResourceChanges{{}, 12}, StoreFailure::Unavailable});
  const Instant own = fixture.Confirmed;
  fixture.Watcher->receive(WatcherFixture::relayed(12, 14, {}, seconds(20)),
                           bootNow());
  BOOST_TEST((fixture.Confirmed == own));
}

BOOST_AUTO_TEST_CASE(a_gap_in_relayed_changes_leads_to_a_query) {
  WatcherFixture fixture(false);
  fixture.Watcher->receive(WatcherFixture::relayed(10, 12, {}), bootNow());
  fixture.CompleteWatch({ResourceChanges{{}, 12}, StoreFailure::Unavailable});
  BOOST_TEST(fixture.Watches == 1);
  fixture.Watcher->receive(
      WatcherFixture::relayed(20, 22, {changed("c", "3", 22)}), bootNow());
  BOOST_TEST(fixture.Seen.count("c") == 0);
  BOOST_TEST(fixture.Watches == 2);
  BOOST_TEST(fixture.After == 12);
}

// A host received relayed changes for a long time and then has to query the
// store itself. It treated the time in between as an outage of the store,
// deferred removals, and continued to send calls to a replica that had left.
BOOST_AUTO_TEST_CASE(receiving_relayed_changes_is_not_an_outage) {
  ResourceWatcherSettings settings;
  settings.WaitLimit = milliseconds(200);
  settings.OutageAfter = milliseconds(300);
  settings.MaxSilentWaits = 100;
  settings.MaxStaleWaits = 100;
  WatcherFixture fixture(false, settings);
  fixture.Watcher->receive(WatcherFixture::relayed(10, 12, {}), bootNow());
  fixture.CompleteWatch({ResourceChanges{{}, 12}, StoreFailure::Unavailable});
  for (std::uint64_t n = 12; n < 18; ++n) {
    std::this_thread::sleep_for(milliseconds(100));
    fixture.Watcher->receive(WatcherFixture::relayed(n, n + 1, {}), bootNow());
  }
  RelayedChanges large = WatcherFixture::relayed(18, 20, {});
  large.IsTruncated = true;
  fixture.Watcher->receive(large, bootNow());
  BOOST_TEST(fixture.Watches == 2);
  fixture.CompleteWatch({ResourceChanges{{removed("a", 19)}, 20}, {}});
  BOOST_TEST(fixture.Seen.count("a") == 0);
}

/// How long nothing was relayed, whether this host's first query then failed,
/// and whether a removal takes effect at once.
struct Silence {
  Duration Length;
  bool HasFailed;
  bool IsRemoved;
};

// The store turns the relaying host away and serves the others. Hosts took the
// silence for an outage of the store and sent calls to an upstream for longer
// than the bound after its entry was removed.
BOOST_AUTO_TEST_CASE(silence_alone_defers_removals_within_the_bound_only) {
  const ResourceWatcherSettings settings = watcherSettingsFor(seconds(3));
  for (const Silence &it : {Silence{milliseconds(2800), false, true},
                            Silence{milliseconds(1700), false, false},
                            Silence{milliseconds(2800), true, false}}) {
    WatcherFixture fixture(false, settings, true);
    fixture.ClockOffset = it.Length;
    fixture.Watcher->tick(bootNow() + it.Length);
    BOOST_TEST_REQUIRE(fixture.Watches == 1);
    if (it.HasFailed) {
      fixture.CompleteWatch({{}, StoreFailure::Unavailable});
      fixture.Loop.run();
      BOOST_TEST_REQUIRE(fixture.Watches == 2);
    }
    fixture.CompleteWatch({ResourceChanges{{removed("a", 11)}, 11}, {}});
    BOOST_TEST((fixture.Seen.count("a") == 0) == it.IsRemoved);
  }
}

// A replica's entry was removed and created again; a relaying host that lags
// behind reports the removal. The replica would get no more calls.
BOOST_AUTO_TEST_CASE(an_old_removal_reverts_nothing) {
  WatcherFixture fixture(false);
  fixture.Watcher->receive(
      WatcherFixture::relayed(10, 20, {changed("a", "again", 18)}), bootNow());
  fixture.Watcher->receive(
      WatcherFixture::relayed(10, 21,
                              {removed("a", 14), changed("a", "again", 18)}),
      bootNow());
  BOOST_TEST(fixture.Seen.at("a") == "again");
  fixture.Watcher->receive(WatcherFixture::relayed(21, 23, {removed("a", 18)}),
                           bootNow());
  BOOST_TEST(fixture.Seen.count("a") == 0);
}

// Ninety replicas are replaced one after another. Each change would end a
// watch, and the calls to the store would cost more than the replicas.
BOOST_AUTO_TEST_CASE(changes_made_together_are_queried_together) {
  ResourceWatcherSettings settings;
  settings.BatchDelay = milliseconds(20);
  WatcherFixture fixture(true, settings);
  fixture.CompleteWatch({ResourceChanges{{changed("b", "1", 12)}, 12}, {}});
  BOOST_TEST(fixture.Watches == 1);
  fixture.Loop.run();
  BOOST_TEST(fixture.Watches == 2);
  BOOST_TEST(fixture.After == 12);
  // Without changes the next watch is not delayed.
  fixture.CompleteWatch({ResourceChanges{{}, 13}, {}});
  BOOST_TEST(fixture.Watches == 3);
}

BOOST_AUTO_TEST_CASE(a_polling_host_queries_continuously) {
  WatcherFixture fixture(true);
  for (int n = 0; n < 3; ++n) {
    fixture.Watcher->receive(WatcherFixture::relayed(10, 12, {}), bootNow());
    fixture.CompleteWatch({ResourceChanges{{}, 12}, StoreFailure::Unavailable});
  }
  BOOST_TEST(fixture.Watches == 4);
}

// The store is down and rejects each call at once. A hundred hosts that retry
// at a constant rate would send it hundreds of calls a second, each of them
// billed, and would overload it when it recovers.
BOOST_AUTO_TEST_CASE(the_retry_delay_grows_during_an_outage) {
  boost::asio::io_context loop;
  int calls = 0;
  ResourceStore store;
  store.List = [&](ResourceKind, ListFreshness,
                   const StoreCallback<ResourceListing> &done) {
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

// Thousands of entries take several pages, which each of a thousand hosts reads
// when all start at once. Pages that may be old cost a tenth; a host that took
// them for the latest would send calls to upstreams that are gone.
BOOST_AUTO_TEST_CASE(a_first_list_that_may_be_old_is_brought_up_to_date) {
  WatcherFixture fixture(false, {}, true, false);
  BOOST_TEST((fixture.Freshness == ListFreshness::FirstPageLatest));
  BOOST_TEST((fixture.Confirmed == Instant{}));
  BOOST_REQUIRE(fixture.Watches == 1);
  BOOST_TEST(fixture.After == 10U);
  BOOST_TEST(
      (fixture.LastWaitLimit == ResourceWatcherSettings{}.FirstWaitLimit));
  fixture.CompleteWatch({ResourceChanges{{{{"a", "2", "", 12}, false}}, 12},
                         StoreFailure::Unavailable});
  BOOST_TEST((fixture.Confirmed != Instant{}));
  BOOST_TEST(fixture.Seen.at("a") == "2");
}

// A list after lost history decides which objects are gone. If it were old, it
// would remove what has just been registered.
BOOST_AUTO_TEST_CASE(a_later_list_is_the_latest) {
  WatcherFixture fixture(true);
  fixture.CompleteWatch({{}, StoreFailure::HistoryGone});
  fixture.Loop.run_for(milliseconds(50));
  BOOST_REQUIRE(fixture.Lists == 2);
  BOOST_TEST((fixture.Freshness == ListFreshness::Latest));
}

// The store has one revision for all kinds. If hosts that start missed
// something with each of its changes, all of them would query the store for
// kinds that have not changed at all.
BOOST_AUTO_TEST_CASE(relays_begin_where_the_kind_last_changed) {
  WatcherFixture fixture(true);
  const auto complete = [&](std::vector<ResourceChange> changes,
                            std::uint64_t asOf) {
    fixture.CompleteWatch(
        {ResourceChanges{std::move(changes), asOf}, StoreFailure::Unavailable});
  };
  using Relay = std::pair<std::uint64_t, std::uint64_t>;
  complete({}, 20);
  BOOST_TEST((fixture.Relayed.back() == Relay{10, 20}));
  complete({}, 30);
  BOOST_TEST((fixture.Relayed.back() == Relay{10, 30}));
  complete({{{"b", "1", "", 35}, false}}, 40);
  BOOST_TEST((fixture.Relayed.back() == Relay{10, 40}));
  complete({}, 50);
  BOOST_TEST((fixture.Relayed.back() == Relay{40, 50}));
}

// An object that makes its handler fail. The changes behind it were lost, and
// the store was never queried again.
BOOST_AUTO_TEST_CASE(an_object_that_cannot_be_handled_costs_only_itself) {
  WatcherFixture fixture(true);
  const int watches = fixture.Watches;
  StoreResult<ResourceChanges> result;
  result.Got = ResourceChanges{
      {changed("bad", UnhandledBody, 11), changed("b", "2", 12)}, 12};
  fixture.CompleteWatch(result);
  BOOST_TEST(fixture.Seen.count("bad") == 0U);
  BOOST_TEST(fixture.Seen.at("b") == "2");
  BOOST_TEST(fixture.Watches == watches + 1);
}

BOOST_AUTO_TEST_SUITE_END()
