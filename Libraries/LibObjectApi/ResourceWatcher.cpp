#include "LibObjectApi/ResourceWatcher.h"
#include "LibBase/BootClock.h"
#include "LibBase/LogLine.h"
#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <set>

namespace sorrelbay {

struct ResourceWatcher::Impl : public std::enable_shared_from_this<Impl> {
  Impl(boost::asio::io_context &loop, ResourceStore store, ResourceKind kind,
       ResourceWatcherSettings settings, ResourceWatcherHooks hooks)
      : Timer(loop), HoldTimer(loop), Store(std::move(store)), Kind(kind),
        Settings(settings), Hooks(std::move(hooks)) {}

  void list();
  ResourceChanges changesTo(const ResourceListing &listing) const;
  void watch(Duration waitLimit);
  void next(Instant now);
  void gather();
  bool mustAsk(Instant now) const;
  void apply(const ResourceChanges &changes);
  void confirm(Instant begun);
  void receive(const RelayedChanges &news, Instant now);
  Duration restTime() const {
    return Settings.WaitLimit * Settings.SilentWaitLimits;
  }
  Duration retryDelay() const;
  void retry(StoreFailure why, bool mustList);
  void succeeded(Instant begun);
  void take(const Resource &object);
  void removed(const std::string &name, std::uint64_t revision);
  void releaseHeld();

  boost::asio::steady_timer Timer;
  boost::asio::steady_timer HoldTimer;
  ResourceStore Store;
  ResourceKind Kind;
  ResourceWatcherSettings Settings;
  ResourceWatcherHooks Hooks;
  /// Revisions of what is known.
  std::map<std::string, std::uint64_t> Known;
  /// Missing since the store came back; removed unless they return.
  std::set<std::string> Held;
  std::uint64_t AtRevision = 0;
  Instant LastSuccess{};
  Instant HoldUntil{};
  /// When another host was last heard, and by what time all is known.
  Instant LastSeenAt{};
  Instant ConfirmedAt{};
  /// When this host last asked the store for changes.
  Instant AskedAt{};
  /// No call to the store is under way or timed.
  bool IsResting = false;
  /// The view is to be listed before it can be watched.
  bool MustList = false;
  /// News was missed, and is asked for.
  bool HasGap = false;
  int Failures = 0;
  bool HasListed = false;
  bool IsStopped = false;
};

void ResourceWatcher::Impl::list() {
  const Instant begun = bootNow();
  AskedAt = begun;
  MustList = false;
  Store.List(Kind, [self = shared_from_this(),
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
    // What was listed just now is as good as news.
    self->LastSeenAt = bootNow();
    self->HasGap = false;
    self->confirm(begun);
    // The history is gone for the others, too.
    if (self->HasListed)
      self->Hooks.OnWatched(from, changes, begun);
    self->HasListed = true;
    self->next(bootNow());
  });
}

/// What has changed from what is known to what was listed.
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
  const Instant begun = bootNow();
  AskedAt = begun;
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
                // The gap showed that there is a reporter.
                if (self->HasGap)
                  self->LastSeenAt = bootNow();
                self->HasGap = false;
                self->apply(*result.Got);
                self->confirm(begun);
                self->Hooks.OnWatched(from, *result.Got, begun);
                if (result.Got->Changes.empty())
                  self->next(bootNow());
                else
                  self->gather();
              });
}

void ResourceWatcher::Impl::gather() {
  if (Settings.BatchDelay == Duration::zero())
    return next(bootNow());
  Timer.expires_after(Settings.BatchDelay);
  Timer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
    if (!ec && !self->IsStopped)
      self->next(bootNow());
  });
}

void ResourceWatcher::Impl::apply(const ResourceChanges &changes) {
  for (const ResourceChange &it : changes.Changes) {
    if (it.IsRemoved)
      removed(it.Object.Name, it.Object.Revision);
    else
      take(it.Object);
  }
  AtRevision = std::max(AtRevision, changes.AtRevision);
}

void ResourceWatcher::Impl::confirm(Instant begun) {
  if (begun <= ConfirmedAt)
    return;
  ConfirmedAt = begun;
  Hooks.OnConfirmed(begun);
}

bool ResourceWatcher::Impl::mustAsk(Instant now) const {
  if (Hooks.IsPolling())
    return true;
  // A host that others tell needs the store only if those don't find it either.
  if (Hooks.IsUnreached())
    return Hooks.IsProber() && now - AskedAt > restTime();
  return now - LastSeenAt > restTime() ||
         now - ConfirmedAt > Settings.WaitLimit * Settings.StaleWaitLimits;
}

void ResourceWatcher::Impl::next(Instant now) {
  const bool begins = IsResting && Hooks.IsPolling();
  IsResting = !mustAsk(now);
  if (IsResting)
    return;
  if (MustList)
    list();
  else
    watch(begins ? Settings.FirstWaitLimit : Settings.WaitLimit);
}

void ResourceWatcher::Impl::receive(const RelayedChanges &news, Instant now) {
  // What is older than the view says nothing new; before the first list there
  // is none that changes could be put to.
  if (!HasListed || news.Changes.AtRevision < AtRevision)
    return;
  if (news.From > AtRevision || news.IsTruncated) {
    // Something in between was missed: only the store can tell.
    if (IsResting) {
      IsResting = false;
      HasGap = true;
      watch(Settings.FirstWaitLimit);
    }
    return;
  }
  LastSeenAt = now;
  // The store has answered the reporter. The time since this host last asked by
  // itself is no outage, after which removals would have to wait.
  succeeded(now);
  // Told later than the echo was sent; it may have been on its way for long.
  const Instant begun = Instant(microseconds(news.Echo)) - news.Age;
  // Two hosts that both pass news on would send it to and fro between them.
  const bool saysMore =
      news.Changes.AtRevision > AtRevision || begun > ConfirmedAt;
  apply(news.Changes);
  confirm(begun);
  if (saysMore)
    Hooks.OnWatched(news.From, news.Changes, begun);
}

/// How long to wait after so many failures in a row.
Duration ResourceWatcher::Impl::retryDelay() const {
  Duration delay = Settings.RetryDelay;
  for (int n = 1; n < Failures && delay < Settings.LongestRetryDelay; ++n)
    delay *= 2;
  return std::min(delay, Settings.LongestRetryDelay);
}

void ResourceWatcher::Impl::retry(StoreFailure why, bool mustList) {
  if (++Failures == 1)
    LogLine(Severity::Warning, "store view failed")
        .field("kind", toText(Kind))
        .field("why", toText(why))
        .field("revision", static_cast<std::int64_t>(AtRevision));
  MustList = mustList;
  if (HasListed && why != StoreFailure::HistoryGone && !Hooks.IsPolling())
    return next(bootNow());
  // History that is gone needs a list at once: the view is already behind.
  Timer.expires_after(why == StoreFailure::HistoryGone ? Duration::zero()
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

void ResourceWatcher::Impl::succeeded(Instant begun) {
  const Instant now = bootNow();
  if (HasListed &&
      begun - LastSuccess > Settings.WaitLimit + Settings.OutageAfter)
    HoldUntil = now + Settings.RecoveryTime;
  if (Failures != 0)
    LogLine(Severity::Info, "store view regained")
        .field("kind", toText(Kind))
        .field("failures", static_cast<std::int64_t>(Failures))
        .field("silent_ms", HasListed ? toMilliseconds(now - LastSuccess) : 0);
  Failures = 0;
  LastSuccess = now;
}

void ResourceWatcher::Impl::take(const Resource &object) {
  Held.erase(object.Name);
  std::uint64_t &revision = Known[object.Name];
  if (revision >= object.Revision)
    return;
  revision = object.Revision;
  Hooks.OnObject(object);
}

void ResourceWatcher::Impl::removed(const std::string &name,
                                    std::uint64_t revision) {
  const auto known = Known.find(name);
  // Of two reporters one may be behind: what it saw removed may be back.
  if (known == Known.end() || known->second > revision)
    return;
  const Instant now = bootNow();
  if (now >= HoldUntil) {
    Known.erase(name);
    Hooks.OnRemoved(name);
    return;
  }
  Held.insert(name);
  HoldTimer.expires_after(HoldUntil - now);
  HoldTimer.async_wait(
      [self = shared_from_this()](boost::system::error_code ec) {
        if (!ec && !self->IsStopped)
          self->releaseHeld();
      });
}

void ResourceWatcher::Impl::releaseHeld() {
  const std::set<std::string> held = std::move(Held);
  Held.clear();
  for (const std::string &name : held) {
    Known.erase(name);
    Hooks.OnRemoved(name);
  }
}

ResourceWatcher::ResourceWatcher(boost::asio::io_context &loop,
                                 ResourceStore store, ResourceKind kind,
                                 ResourceWatcherSettings settings,
                                 ResourceWatcherHooks hooks)
    : All(std::make_shared<Impl>(loop, std::move(store), kind, settings,
                                 std::move(hooks))) {}

ResourceWatcher::~ResourceWatcher() { stop(); }

void ResourceWatcher::start() { All->list(); }

void ResourceWatcher::receive(const RelayedChanges &news, Instant now) {
  All->receive(news, now);
}

void ResourceWatcher::tick(Instant now) {
  if (All->IsResting && !All->IsStopped)
    All->next(now);
}

void ResourceWatcher::stop() {
  All->IsStopped = true;
  All->Timer.cancel();
  All->HoldTimer.cancel();
}

} // namespace sorrelbay
