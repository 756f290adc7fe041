#include "LibObjectApi/ResourceWatcher.h"
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;

namespace {

/// How often the daemon ticks its watchers.
constexpr Duration TickInterval = milliseconds(250);
/// A query that the store answers takes this long.
constexpr Duration AnswerTime = milliseconds(20);
/// A watch without an answer is given up this long after its wait limit.
constexpr Duration WatchMargin = milliseconds(400);
/// A connection that can't be opened is given up after this time.
constexpr Duration ConnectTimeout = milliseconds(500);

/// How a query ends that gets no answer.
enum class CallFailure { Rejected, NotConnected, NotAnswered };

/// A host that receives relayed changes and does not poll, on a clock that the
/// test moves. The timers of its watcher fire whenever the test runs its loop.
struct ReceivingHost {
  explicit ReceivingHost(const ResourceWatcherSettings &settings) {
    ResourceStore store;
    store.List = [this](ResourceKind, ListFreshness,
                        const StoreCallback<ResourceListing> &done) {
      CompleteList = done;
    };
    store.Watch = [this](ResourceKind, std::uint64_t, Duration waitLimit,
                         const StoreCallback<ResourceChanges> &done) {
      ++Queries;
      WaitLimit = waitLimit;
      CompleteWatch = done;
    };
    ResourceWatcherHooks hooks;
    hooks.Now = [this] { return Clock; };
    hooks.OnObject = [](const Resource &) {};
    hooks.OnRemoved = [](const std::string &) {};
    hooks.OnConfirmed = [this](Instant begun) { ConfirmedAt = begun; };
    hooks.IsPolling = [] { return false; };
    hooks.IsUnreached = [this] { return IsUnreached; };
    Watcher = std::make_unique<ResourceWatcher>(Loop, store, ResourceKind::Plan,
                                                settings, hooks);
    Watcher->start();
    CompleteList({ResourceListing{{{"main", "1", "", 5}}, 10}, {}});
  }

  /// A confirmation that describes the store as of `age` ago.
  void receiveConfirmation(Duration age) {
    RelayedChanges relayed;
    relayed.Kind = ResourceKind::Plan;
    relayed.From = 10;
    relayed.Changes.AtRevision = 10;
    relayed.Echo = (Clock - age).time_since_epoch().count();
    Watcher->receive(relayed, Clock);
  }

  /// Moves the clock to the next tick.
  void tick() {
    Clock += TickInterval;
    Watcher->tick(Clock);
  }

  /// Lets the query that is under way fail, then fires the watcher's timers,
  /// if it has set any, `RetryDelay` later.
  void failQuery(CallFailure failure) {
    const Instant sentAt = Clock;
    if (failure == CallFailure::NotConnected)
      Clock += ConnectTimeout;
    else if (failure == CallFailure::NotAnswered)
      Clock += WaitLimit + WatchMargin;
    IsUnreached = true;
    CompleteWatch({{}, StoreFailure::Unavailable});
    const Instant failedAt = Clock;
    Clock += ResourceWatcherSettings().RetryDelay;
    const int before = Queries;
    Loop.restart();
    Loop.run();
    if (Queries != before)
      return;
    // No timer was set: ticks go on as before.
    Clock = sentAt;
    while (Clock < failedAt)
      Clock += TickInterval;
    Watcher->tick(Clock);
  }

  Instant Clock{seconds(1000)};
  Instant ConfirmedAt{};
  bool IsUnreached = false;
  int Queries = 0;
  Duration WaitLimit{};
  StoreCallback<ResourceListing> CompleteList;
  StoreCallback<ResourceChanges> CompleteWatch;
  boost::asio::io_context Loop;
  std::unique_ptr<ResourceWatcher> Watcher;
};

const std::vector<Duration> Bounds = {seconds(2), seconds(3), seconds(4)};
const std::vector<CallFailure> Failures = {
    CallFailure::Rejected, CallFailure::NotConnected, CallFailure::NotAnswered};

/// The delay with which the host acts on a change that is made right after its
/// last relayed confirmation, if its first own query fails.
Duration delayWithFailedQuery(const ResourceWatcherSettings &settings,
                              CallFailure failure) {
  ReceivingHost host(settings);
  host.receiveConfirmation(Duration::zero());
  const Instant changedAt = host.Clock;
  while (host.Queries == 0)
    host.tick();
  host.failQuery(failure);
  while (host.Queries == 1)
    host.tick();
  return host.Clock + AnswerTime - changedAt;
}

/// The delay with which the host acts on a change if the confirmations that it
/// goes on to receive describe the store before the change.
Duration delayWithLaggingRelays(const ResourceWatcherSettings &settings) {
  ReceivingHost host(settings);
  const Instant changedAt = host.Clock;
  while (host.Queries == 0) {
    host.tick();
    host.receiveConfirmation(host.Clock - changedAt);
  }
  return host.Clock + AnswerTime - changedAt;
}

/// The delay with which the host acts on a change that is made right after its
/// last relayed confirmation, if responses take `responseTime` to arrive; a
/// minute if it never does.
Duration delayOnSlowLink(const ResourceWatcherSettings &settings,
                         Duration responseTime) {
  ReceivingHost host(settings);
  host.receiveConfirmation(Duration::zero());
  const Instant changedAt = host.Clock;
  int failed = 0;
  while (host.Clock - changedAt < minutes(1)) {
    if (host.Queries == failed) {
      host.tick();
      continue;
    }
    failed = host.Queries;
    if (responseTime < host.WaitLimit + WatchMargin)
      return host.Clock + responseTime - changedAt;
    host.failQuery(CallFailure::NotAnswered);
  }
  return minutes(1);
}

} // namespace

BOOST_AUTO_TEST_SUITE(view_freshness)

// The relaying host fails right before a change, and so does the first own
// query of a host that relied on it: it served by the old plan after the bound.
BOOST_AUTO_TEST_CASE(one_failed_query_does_not_make_a_change_late) {
  for (const Duration bound : Bounds)
    for (const CallFailure failure : Failures)
      BOOST_TEST_CONTEXT("bound " << toMilliseconds(bound) << " ms, failure "
                                  << static_cast<int>(failure))
  BOOST_TEST(toMilliseconds(delayWithFailedQuery(
                 watcherSettingsFor(bound), failure)) <= toMilliseconds(bound));
}

// The relaying host fails while the host's own link is loaded, so that the
// response to its first, short query comes too late.
BOOST_AUTO_TEST_CASE(a_loaded_link_does_not_make_a_change_late) {
  for (const Duration bound : {seconds(3), seconds(4)})
    BOOST_TEST(toMilliseconds(delayOnSlowLink(watcherSettingsFor(bound),
                                              milliseconds(550))) <=
               toMilliseconds(bound));
}

// The relaying host lags behind, so that its confirmations arrive regularly but
// describe the store before the change.
BOOST_AUTO_TEST_CASE(lagging_relays_do_not_make_a_change_late) {
  for (const Duration bound : Bounds)
    BOOST_TEST_CONTEXT("bound " << toMilliseconds(bound) << " ms")
  BOOST_TEST(toMilliseconds(delayWithLaggingRelays(
                 watcherSettingsFor(bound))) <= toMilliseconds(bound));
}

// The same for what changes rarely, such as orders to roll out a version: until
// a host has read one, it sends calls to the untried version as to any other.
BOOST_AUTO_TEST_CASE(rare_changes_are_acted_on_within_their_bound) {
  for (const Duration bound : {seconds(4), seconds(5), seconds(8)}) {
    const ResourceWatcherSettings settings = rareChangeSettingsFor(bound);
    BOOST_TEST(toMilliseconds(delayWithLaggingRelays(settings)) <=
               toMilliseconds(bound));
    for (const CallFailure failure : Failures)
      BOOST_TEST(toMilliseconds(delayWithFailedQuery(settings, failure)) <=
                 toMilliseconds(bound));
  }
}

// A bound of a millisecond in the settings made each host query the store
// without a pause.
BOOST_AUTO_TEST_CASE(a_tiny_bound_does_not_make_watches_tiny) {
  for (const ResourceWatcherSettings &settings :
       {watcherSettingsFor(milliseconds(1)),
        rareChangeSettingsFor(milliseconds(1))}) {
    BOOST_TEST((settings.WaitLimit >= milliseconds(50)));
    BOOST_TEST(settings.MaxSilentWaits >= 2);
  }
}

// The receiver's machine restarted, and its boot clock with it. An echo of the
// earlier clock made the view look confirmed for as long as that had run.
BOOST_AUTO_TEST_CASE(an_echo_of_an_earlier_boot_confirms_nothing) {
  ReceivingHost host(watcherSettingsFor(seconds(3)));
  host.receiveConfirmation(-seconds(100));
  BOOST_TEST((host.ConfirmedAt <= host.Clock));
}

BOOST_AUTO_TEST_SUITE_END()
