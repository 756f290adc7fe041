#include "LibObjectApi/ResourceWatcher.h"
#include "LibBase/LogLine.h"
#include "LibObjectApi/QuerySchedule.h"
#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <set>

namespace sorrelbay {

namespace {

/// Number of times that a view of the store is confirmed within the bound on
/// its age.
constexpr int ConfirmsPerBound = 4;
/// A host that receives relayed changes queries the store itself if it has
/// received none for the bound divided by SilenceDivisor, or if the last ones
/// are older than that by more than ExtraStaleWaits wait limits. The rest of
/// the bound covers the interval of the check and the query.
constexpr int SilenceDivisor = 2;
constexpr int ExtraStaleWaits = 1;
constexpr Duration MaxWatchWait = milliseconds(500);
/// Shorter watches would query the store without a pause.
constexpr Duration MinWatchWait = milliseconds(50);
/// Changes within 1/BatchesPerBound of the bound are fetched together.
constexpr int BatchesPerBound = 20;
/// Calls that are already on their way when a removal takes effect arrive
/// within 1/RemovalMarginDivisor of the bound.
constexpr int RemovalMarginDivisor = 10;

} // namespace

ResourceWatcherSettings watcherSettingsFor(Duration bound) {
  ResourceWatcherSettings settings;
  settings.WaitLimit = std::clamp<Duration>(bound / ConfirmsPerBound,
                                            MinWatchWait, MaxWatchWait);
  settings.BatchDelay = bound / BatchesPerBound;
  settings.RemovalBound = bound - bound / RemovalMarginDivisor;
  // One host watches the store for the fleet. Another replaces it within about
  // a second; only if none does should the other hosts query the store
  // themselves.
  settings.MaxSilentWaits =
      std::max(settings.MaxSilentWaits,
               static_cast<int>(bound / SilenceDivisor / settings.WaitLimit));
  settings.MaxStaleWaits = settings.MaxSilentWaits + ExtraStaleWaits;
  return settings;
}

ResourceWatcherSettings rareChangeSettingsFor(Duration bound) {
  ResourceWatcherSettings settings;
  settings.WaitLimit =
      std::max<Duration>(MinWatchWait, bound / ConfirmsPerBound);
  settings.MaxSilentWaits = ConfirmsPerBound / SilenceDivisor;
  settings.MaxStaleWaits = settings.MaxSilentWaits + ExtraStaleWaits;
  return settings;
}

struct ResourceWatcher::Impl : public std::enable_shared_from_this<Impl> {
  Impl(boost::asio::io_context &loop, ResourceStore store, ResourceKind kind,
       ResourceWatcherSettings settings, ResourceWatcherHooks hooks)
      : Timer(loop), RemovalTimer(loop), Store(std::move(store)), Kind(kind),
        Settings(settings), Hooks(std::move(hooks)),
        Schedule({settings.WaitLimit * settings.MaxSilentWaits,
                  settings.WaitLimit * settings.MaxStaleWaits}) {}

  void list();
  ResourceChanges changesTo(const ResourceListing &listing) const;
  void watch(Duration waitLimit);
  void queryIfNeeded(Instant now);
  void query(QueryReason reason, Instant now);
  void queryOrRetry(Instant now);
  void watchAfterBatchDelay();
  QueryRole role() const;
  void logQuery(QueryReason reason, Instant now) const;
  void apply(const ResourceChanges &changes);
  void confirm(Instant begun);
  void receive(const RelayedChanges &relayed, Instant now);
  Instant confirmedBy(const RelayedChanges &relayed, Instant now) const;
  Duration retryDelay() const;
  void retry(StoreFailure failure, bool mustList);
  void succeeded(Instant begun);
  void applyUpdate(const Resource &object);
  void applyRemoval(const std::string &name, std::uint64_t revision);
  void applyDeferredRemovals();
  void callHook(const std::string &name,
                const std::function<void()> &hook) const;

  boost::asio::steady_timer Timer;
  boost::asio::steady_timer RemovalTimer;
  ResourceStore Store;
  ResourceKind Kind;
  ResourceWatcherSettings Settings;
  ResourceWatcherHooks Hooks;
  QuerySchedule Schedule;
  /// The revisions of the known objects.
  std::map<std::string, std::uint64_t> Known;
  /// Objects missing since the end of an outage; removed when the recovery time
  /// ends unless they are registered again.
  std::set<std::string> DeferredRemovals;
  std::uint64_t AtRevision = 0;
  /// From this revision to AtRevision the kind has not changed. Hosts whose
  /// view is anywhere in between miss nothing.
  std::uint64_t UnchangedSince = 0;
  Instant LastSuccess{};
  Instant DeferRemovalsUntil{};
  /// No call to the store is in flight or scheduled.
  bool IsIdle = false;
  /// The kind must be listed before it can be watched.
  bool MustList = false;
  /// Relayed changes were missed, and the store is queried for them.
  bool HasGap = false;
  bool HasListed = false;
  bool IsStopped = false;
};

void ResourceWatcher::Impl::list() {
  const Instant begun = Hooks.Now();
  Schedule.noteQuery(begun);
  MustList = false;
  // A first list need not be the latest, since a watch from it returns what
  // has changed since. Later ones also show which known objects are gone.
  const auto freshness =
      HasListed ? ListFreshness::Latest : ListFreshness::FirstPageLatest;
  Store.List(Kind, freshness,
             [self = shared_from_this(),
              begun](const StoreResult<ResourceListing> &result) {
               if (self->IsStopped)
                 return;
               if (!result.Got)
                 return self->retry(result.Failure, true);
               self->succeeded(begun);
               const ResourceChanges changes = self->changesTo(*result.Got);
               const std::uint64_t from = self->AtRevision;
               self->apply(changes);
               self->AtRevision = result.Got->AtRevision;
               self->UnchangedSince = self->AtRevision;
               if (!result.Got->IsLatest) {
                 self->HasListed = true;
                 return self->watch(self->Settings.FirstWaitLimit);
               }
               // A new list is as current as relayed changes.
               self->Schedule.noteUpdate(self->Hooks.Now());
               self->HasGap = false;
               self->confirm(begun);
               // The other hosts' revisions are also too old to watch from, so
               // the changes are relayed to them.
               if (self->HasListed)
                 self->Hooks.OnWatched(from, changes, begun);
               self->HasListed = true;
               self->queryIfNeeded(self->Hooks.Now());
             });
}

/// Returns the changes that lead from the known objects to the listed ones.
ResourceChanges
ResourceWatcher::Impl::changesTo(const ResourceListing &listing) const {
  ResourceChanges out;
  out.AtRevision = listing.AtRevision;
  std::set<std::string> present;
  for (const Resource &it : listing.Objects) {
    present.insert(it.Name);
    const auto known = Known.find(it.Name);
    if (known == Known.end() || known->second != it.Revision)
      out.Changes.push_back({it, false});
  }
  for (const auto &[name, revision] : Known)
    if (present.count(name) == 0)
      out.Changes.push_back({{name, "", "", revision}, true});
  return out;
}

void ResourceWatcher::Impl::watch(Duration waitLimit) {
  if (IsStopped)
    return;
  const Instant begun = Hooks.Now();
  Schedule.noteQuery(begun);
  Store.Watch(Kind, AtRevision, waitLimit,
              [self = shared_from_this(), begun,
               from = AtRevision](const StoreResult<ResourceChanges> &result) {
                if (self->IsStopped)
                  return;
                if (!result.Got)
                  return self->retry(result.Failure,
                                     result.Failure ==
                                         StoreFailure::HistoryGone);
                self->succeeded(begun);
                // The gap showed that some host is relaying changes.
                if (self->HasGap)
                  self->Schedule.noteUpdate(self->Hooks.Now());
                self->HasGap = false;
                const std::uint64_t unchangedSince =
                    std::min(from, self->UnchangedSince);
                if (!result.Got->Changes.empty())
                  self->UnchangedSince = result.Got->AtRevision;
                self->apply(*result.Got);
                self->confirm(begun);
                self->Hooks.OnWatched(unchangedSince, *result.Got, begun);
                if (result.Got->Changes.empty())
                  self->queryIfNeeded(self->Hooks.Now());
                else
                  self->watchAfterBatchDelay();
              });
}

void ResourceWatcher::Impl::watchAfterBatchDelay() {
  if (Settings.BatchDelay == Duration::zero())
    return queryIfNeeded(Hooks.Now());
  Timer.expires_after(Settings.BatchDelay);
  Timer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
    if (!ec && !self->IsStopped)
      self->queryIfNeeded(self->Hooks.Now());
  });
}

void ResourceWatcher::Impl::apply(const ResourceChanges &changes) {
  for (const ResourceChange &it : changes.Changes) {
    if (it.IsRemoved)
      applyRemoval(it.Object.Name, it.Object.Revision);
    else
      applyUpdate(it.Object);
  }
  AtRevision = std::max(AtRevision, changes.AtRevision);
}

void ResourceWatcher::Impl::confirm(Instant begun) {
  if (begun <= Schedule.confirmedAt())
    return;
  Schedule.noteConfirmed(begun);
  Hooks.OnConfirmed(begun);
}

QueryRole ResourceWatcher::Impl::role() const {
  return {Hooks.IsPolling(), Hooks.IsUnreached(), Hooks.IsProber()};
}

void ResourceWatcher::Impl::logQuery(QueryReason reason, Instant now) const {
  LogLine(Severity::Info, "store queried")
      .field("kind", toText(Kind))
      .field("why", toText(reason))
      .field("revision", static_cast<std::int64_t>(AtRevision))
      .field("view_age_ms", toMilliseconds(Schedule.viewAge(now)))
      .field("relay_age_ms", toMilliseconds(Schedule.updateAge(now)))
      .field("failures", static_cast<std::int64_t>(Schedule.failures()));
}

void ResourceWatcher::Impl::queryIfNeeded(Instant now) {
  const auto reason = Schedule.reasonToQuery(role(), now);
  if (reason)
    query(*reason, now);
  else
    IsIdle = true;
}

void ResourceWatcher::Impl::query(QueryReason reason, Instant now) {
  const bool wasIdle = IsIdle;
  IsIdle = false;
  if (wasIdle)
    logQuery(reason, now);
  // After a failure the store may need more time to respond.
  const bool isShort = wasIdle && Schedule.failures() == 0;
  if (MustList)
    list();
  else
    watch(isShort ? Settings.FirstWaitLimit : Settings.WaitLimit);
}

/// The time up to which the relayed changes confirm the view. The echo is a
/// time of this host's clock before the changes were sent, so their age is not
/// underestimated after a long time in transit. An echo of an earlier boot's
/// clock, which may be ahead of this one, confirms nothing.
Instant ResourceWatcher::Impl::confirmedBy(const RelayedChanges &relayed,
                                           Instant now) const {
  const Instant echo{microseconds(relayed.Echo)};
  if (echo <= now)
    return echo - relayed.Age;
  LogLine(Severity::Warning, "relayed changes are dated in the future")
      .field("kind", toText(Kind))
      .field("ahead_ms", toMilliseconds(echo - now));
  return {};
}

void ResourceWatcher::Impl::receive(const RelayedChanges &relayed,
                                    Instant now) {
  // Ignore changes older than the view. Before the first list there is no view
  // to which changes could be applied.
  if (!HasListed || relayed.Changes.AtRevision < AtRevision)
    return;
  if (relayed.From > AtRevision || relayed.IsTruncated) {
    // Changes in between are missing and must be fetched from the store.
    if (IsIdle) {
      HasGap = true;
      query(QueryReason::Gap, now);
    }
    return;
  }
  Schedule.noteUpdate(now);
  // The sender got a reply from the store, so the time since this host's own
  // last query is not an outage after which removals must be deferred.
  succeeded(now);
  const Instant begun = confirmedBy(relayed, now);
  // Without this check, two hosts that both relay changes would send them back
  // and forth endlessly.
  const bool isNewer =
      relayed.Changes.AtRevision > AtRevision || begun > Schedule.confirmedAt();
  if (!relayed.Changes.Changes.empty())
    UnchangedSince = relayed.Changes.AtRevision;
  apply(relayed.Changes);
  confirm(begun);
  if (isNewer)
    Hooks.OnWatched(relayed.From, relayed.Changes, begun);
}

/// Returns the delay after the current number of consecutive failures.
Duration ResourceWatcher::Impl::retryDelay() const {
  Duration delay = Settings.RetryDelay;
  for (int n = 1; n < Schedule.failures() && delay < Settings.MaxRetryDelay;
       ++n)
    delay *= 2;
  return std::min(delay, Settings.MaxRetryDelay);
}

void ResourceWatcher::Impl::retry(StoreFailure failure, bool mustList) {
  Schedule.noteFailure();
  const int failures = Schedule.failures();
  // Ever rarer in an outage: the 1st, 2nd, 4th, 8th failure and so on.
  if ((failures & (failures - 1)) == 0)
    LogLine(Severity::Warning, "store view failed")
        .field("kind", toText(Kind))
        .field("why", toText(failure))
        .field("revision", static_cast<std::int64_t>(AtRevision))
        .field("failures", static_cast<std::int64_t>(failures))
        .field("call_ms", toMilliseconds(Schedule.queryAge(Hooks.Now())))
        .field("view_age_ms", toMilliseconds(Schedule.viewAge(Hooks.Now())));
  MustList = mustList;
  if (HasListed && failure != StoreFailure::HistoryGone && !Hooks.IsPolling())
    return queryOrRetry(Hooks.Now());
  // Without the history, the view is already stale: list at once.
  Timer.expires_after(failure == StoreFailure::HistoryGone ? Duration::zero()
                                                           : retryDelay());
  Timer.async_wait(
      [self = shared_from_this(), mustList](boost::system::error_code ec) {
        if (ec || self->IsStopped)
          return;
        if (mustList || !self->HasListed)
          self->list();
        else
          self->watch(self->Settings.WaitLimit);
      });
}

/// Continues after a failed query of a host that does not poll.
void ResourceWatcher::Impl::queryOrRetry(Instant now) {
  queryIfNeeded(now);
  if (!IsIdle || !Schedule.needsRetry(role(), now))
    return;
  Timer.expires_after(Settings.RetryDelay);
  Timer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
    const Instant retryAt = self->Hooks.Now();
    if (ec || self->IsStopped || !self->IsIdle ||
        !self->Schedule.needsRetry(self->role(), retryAt))
      return;
    self->query(QueryReason::Retry, retryAt);
  });
}

void ResourceWatcher::Impl::succeeded(Instant begun) {
  const Instant now = Hooks.Now();
  if (HasListed &&
      begun - LastSuccess > Settings.WaitLimit + Settings.OutageAfter) {
    DeferRemovalsUntil = now + Settings.RecoveryTime;
    if (Settings.RemovalBound > Duration::zero() && Schedule.failures() == 0)
      DeferRemovalsUntil = std::min(
          DeferRemovalsUntil, Schedule.confirmedAt() + Settings.RemovalBound);
  }
  if (Schedule.failures() != 0)
    LogLine(Severity::Info, "store view regained")
        .field("kind", toText(Kind))
        .field("failures", static_cast<std::int64_t>(Schedule.failures()))
        .field("silent_ms", HasListed ? toMilliseconds(now - LastSuccess) : 0);
  Schedule.noteSuccess();
  LastSuccess = now;
}

void ResourceWatcher::Impl::applyUpdate(const Resource &object) {
  DeferredRemovals.erase(object.Name);
  std::uint64_t &revision = Known[object.Name];
  if (revision >= object.Revision)
    return;
  revision = object.Revision;
  callHook(object.Name, [&] { Hooks.OnObject(object); });
}

/// An object that can't be handled keeps no other change from being applied,
/// and the next query from being made.
void ResourceWatcher::Impl::callHook(const std::string &name,
                                     const std::function<void()> &hook) const {
  try {
    hook();
  } catch (const std::exception &error) {
    LogLine(Severity::Error, "change of an object failed")
        .field("kind", toText(Kind))
        .field("object", name)
        .field("why", error.what());
  }
}

void ResourceWatcher::Impl::applyRemoval(const std::string &name,
                                         std::uint64_t revision) {
  const auto known = Known.find(name);
  // One of two relaying hosts may lag behind: an object that it reports removed
  // may have been created again.
  if (known == Known.end() || known->second > revision)
    return;
  const Instant now = Hooks.Now();
  if (now >= DeferRemovalsUntil) {
    Known.erase(name);
    callHook(name, [&] { Hooks.OnRemoved(name); });
    return;
  }
  DeferredRemovals.insert(name);
  RemovalTimer.expires_after(DeferRemovalsUntil - now);
  RemovalTimer.async_wait(
      [self = shared_from_this()](boost::system::error_code ec) {
        if (!ec && !self->IsStopped)
          self->applyDeferredRemovals();
      });
}

void ResourceWatcher::Impl::applyDeferredRemovals() {
  const std::set<std::string> names = std::move(DeferredRemovals);
  DeferredRemovals.clear();
  for (const std::string &name : names) {
    Known.erase(name);
    callHook(name, [&] { Hooks.OnRemoved(name); });
  }
}

ResourceWatcher::ResourceWatcher(boost::asio::io_context &loop,
                                 ResourceStore store, ResourceKind kind,
                                 ResourceWatcherSettings settings,
                                 ResourceWatcherHooks hooks)
    : Implementation(std::make_shared<Impl>(loop, std::move(store), kind,
                                            settings, std::move(hooks))) {}

ResourceWatcher::~ResourceWatcher() { stop(); }

void ResourceWatcher::start() { Implementation->list(); }

void ResourceWatcher::receive(const RelayedChanges &relayed, Instant now) {
  Implementation->receive(relayed, now);
}

void ResourceWatcher::tick(Instant now) {
  if (Implementation->IsIdle && !Implementation->IsStopped)
    Implementation->queryIfNeeded(now);
}

void ResourceWatcher::stop() {
  Implementation->IsStopped = true;
  Implementation->Timer.cancel();
  Implementation->RemovalTimer.cancel();
}

} // namespace sorrelbay
