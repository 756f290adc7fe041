#pragma once

#include "LibBase/BootClock.h"
#include "LibObjectApi/ResourceStore.h"
#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace sorrelbay {

struct ResourceWatcherSettings {
  /// The longest time that one watch waits for changes. The view is confirmed
  /// only when the watch returns.
  Duration WaitLimit = seconds(1);
  /// The wait limit of the first watch after a time without queries. It is
  /// short because this host and, if it has taken over polling, the others have
  /// received no changes for a while.
  Duration FirstWaitLimit = milliseconds(50);
  /// The delay between a watch that returned changes and the next watch, so
  /// that changes made together are returned together. Each watch is a billed
  /// call.
  Duration BatchDelay = Duration::zero();
  /// The delay after a failed call, doubled after each further failure up to
  /// MaxRetryDelay. Without it, a store that rejects calls at once would get
  /// several calls a second from each host throughout an outage.
  Duration RetryDelay = milliseconds(150);
  Duration MaxRetryDelay = milliseconds(600);
  /// The time without a successful call, beyond WaitLimit, after which an
  /// outage of the store is assumed. Objects that are missing after an outage
  /// may be registered again, so their removal is deferred by RecoveryTime.
  Duration OutageAfter = seconds(1);
  /// The time for which removals are deferred after an outage.
  Duration RecoveryTime = seconds(2);
  /// The longest time from the view's last confirmation until a removal takes
  /// effect, if no call of this host has failed: the silence may then be that
  /// of the relaying host alone, and the store available all the while. Zero
  /// for none.
  Duration RemovalBound = Duration::zero();
  /// The number of wait limits without relayed changes after which this host
  /// queries the store itself.
  int MaxSilentWaits = 2;
  /// The age of the view, as a number of wait limits, beyond which this host
  /// queries the store itself although changes are being relayed.
  int MaxStaleWaits = 4;
};

/// Settings for a view by which hosts must act at the latest `bound` after a
/// change was accepted by the store.
ResourceWatcherSettings watcherSettingsFor(Duration bound);

/// The same for objects that change rarely: the view is confirmed less often,
/// which takes fewer calls, and changes are not fetched together.
ResourceWatcherSettings rareChangeSettingsFor(Duration bound);

struct ResourceWatcherHooks {
  /// The boot clock.
  std::function<Instant()> Now = bootNow;
  /// Invoked when an object is new or has changed.
  std::function<void(const Resource &)> OnObject;
  std::function<void(const std::string &name)> OnRemoved;
  /// Invoked when the view contains all that the store held at that time.
  std::function<void(Instant begun)> OnConfirmed;
  /// Invoked with the changes after the revision `from`, returned by a call to
  /// the store that began at `begun`, made by this host or by the host that
  /// relayed them.
  std::function<void(std::uint64_t from, const ResourceChanges &,
                     Instant begun)>
      OnWatched = [](std::uint64_t, const ResourceChanges &, Instant) {};
  /// Whether this host queries the store continuously. Other hosts wait for
  /// relayed changes.
  std::function<bool()> IsPolling = [] { return true; };
  /// Whether this host's last call did not reach the store. The host then
  /// queries the store periodically to detect that it is reachable again.
  std::function<bool()> IsUnreached = [] { return false; };
  /// Whether this watcher makes those periodic queries.
  std::function<bool()> IsProber = [] { return true; };
};

/// Maintains a view of one resource kind: lists it, then watches it, and lists
/// it again when the store no longer keeps the history. The view's age counts
/// from the start of the last call that confirmed it. A host that receives
/// relayed changes makes no calls; it queries the store itself when the relayed
/// changes stop, have a gap, or may be too old. Must be used on the loop's
/// thread only.
class ResourceWatcher {
public:
  ResourceWatcher(boost::asio::io_context &loop, ResourceStore store,
                  ResourceKind kind, ResourceWatcherSettings settings,
                  ResourceWatcherHooks hooks);
  ~ResourceWatcher();
  ResourceWatcher(const ResourceWatcher &) = delete;
  ResourceWatcher &operator=(const ResourceWatcher &) = delete;

  void start();
  void stop();
  /// Applies changes relayed by another host.
  void receive(const RelayedChanges &relayed, Instant now);
  /// Queries the store if that is due. Must be called several times a second.
  void tick(Instant now);

  struct Impl;

private:
  std::shared_ptr<Impl> Implementation;
};

} // namespace sorrelbay
