#pragma once

#include "LibObjectApi/ResourceStore.h"
#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace sorrelbay {

struct ResourceWatcherSettings {
  /// How long one watch waits. A view is confirmed only when it returns.
  Duration WaitLimit = seconds(1);
  /// Of the first watch of a host that begins to ask for others: they have
  /// heard nothing since the one before it was lost.
  Duration FirstWaitLimit = milliseconds(50);
  /// After changes and before the next watch: what changes together is sent
  /// together. Each return of a watch is a call that is paid for.
  Duration BatchDelay = Duration::zero();
  /// Between a failed call and the next; twice as long after each further
  /// failure, up to the longest. A store that refuses at once would otherwise
  /// get several calls a second from each host for as long as it is away.
  Duration RetryDelay = milliseconds(150);
  Duration LongestRetryDelay = milliseconds(600);
  /// After silence of the store for longer than this, objects may be missing
  /// that come back by themselves ...
  Duration OutageAfter = seconds(1);
  /// ... within this time; removals wait as long.
  Duration RecoveryTime = seconds(2);
  /// A view that another host passes on is asked for here when so many
  /// patiences have passed without news, ...
  int SilentWaitLimits = 2;
  /// ... or when the last news may be as old as so many.
  int StaleWaitLimits = 4;
};

struct ResourceWatcherHooks {
  /// An object is new or has changed.
  std::function<void(const Resource &)> OnObject;
  std::function<void(const std::string &name)> OnRemoved;
  /// All that the store held at that time is known.
  std::function<void(Instant begun)> OnConfirmed;
  /// The store reported what came after that revision, to a call that began
  /// then; here or to another host that passed it on.
  std::function<void(std::uint64_t from, const ResourceChanges &,
                     Instant begun)>
      OnWatched = [](std::uint64_t, const ResourceChanges &, Instant) {};
  /// Whether this host asks the store all the time; others wait for news.
  std::function<bool()> IsPolling = [] { return true; };
  /// Whether this host's last call to the store did not reach it: it has to ask
  /// now and then to find out that it does again.
  std::function<bool()> IsUnreached = [] { return false; };
  /// Whether this view is the one that asks then.
  std::function<bool()> IsProber = [] { return true; };
};

/// Keeps a view of one kind of object: lists it, then watches it, and lists
/// again where the store has forgotten its history. The view is as old as the
/// begin of the last call that confirmed it. A host that hears of changes from
/// another one rests, and asks again by itself as soon as the news stop, leave
/// a gap, or may be too old. Belongs to the loop's thread.
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
  /// Another host has passed on news of the store.
  void receive(const RelayedChanges &news, Instant now);
  /// To be called several times a second.
  void tick(Instant now);

  struct Impl;

private:
  std::shared_ptr<Impl> All;
};

} // namespace sorrelbay
