#include "LibObjectApi/KindWatcher.h"
#include "LibBase/BootClock.h"
#include "LibBase/LogLine.h"
#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <set>

namespace sorrelbay {

struct KindWatcher::Impl : public std::enable_shared_from_this<Impl> {
  Impl(boost::asio::io_context &loop, KindStore store, StoreKind kind,
       KindWatcherSettings settings, KindWatcherHooks hooks)
      : Timer(loop), HoldTimer(loop), Store(std::move(store)), Kind(kind),
        Settings(settings), Hooks(std::move(hooks)) {}

  void list();
  KindChanges changesTo(const KindListing &listing) const;
  void watch(Duration patience);
  void next(Instant now);
  void gather();
  bool mustAsk(Instant now) const;
  void apply(const KindChanges &changes);
  void confirm(Instant begun);
  void hear(const KindNews &news, Instant now);
  Duration restTime() const {
    return Settings.Patience * Settings.SilentPatiences;
  }
  Duration retryDelay() const;
  void retry(StoreFailure why, bool mustList);
  void succeeded(Instant begun);
  void take(const KeptObject &object);
  void removed(const std::string &name, std::uint64_t revision);
  void releaseHeld();

  boost::asio::steady_timer Timer;
  boost::asio::steady_timer HoldTimer;
  KindStore Store;
  StoreKind Kind;
  KindWatcherSettings Settings;
  KindWatcherHooks Hooks;
  /// Revisions of what is known.
  std::map<std::string, std::uint64_t> Known;
  /// Missing since the store came back; removed unless they return.
  std::set<std::string> Held;
  std::uint64_t AsOf = 0;
  Instant LastSuccess{};
  Instant HoldUntil{};
  /// When another host was last heard, and by what time all is known.
  Instant HeardAt{};
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

void KindWatcher::Impl::list() {
  const Instant begun = bootNow();
  AskedAt = begun;
  MustList = false;
  Store.List(Kind, [self = shared_from_this(),
                    begun](const StoreResult<KindListing> &result) {
    if (self->IsStopped)
      return;
    if (!result.Got)
      return self->retry(result.Failure, true);
    self->succeeded(begun);
    const KindChanges changes = self->changesTo(*result.Got);
    const std::uint64_t from = self->AsOf;
    self->apply(changes);
    self->AsOf = result.Got->AsOf;
    // What was listed just now is as good as news.
    self->HeardAt = bootNow();
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
KindChanges KindWatcher::Impl::changesTo(const KindListing &listing) const {
  KindChanges out;
  out.AsOf = listing.AsOf;
  std::set<std::string> present;
  for (const KeptObject &it : listing.Objects) {
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

void KindWatcher::Impl::watch(Duration patience) {
  if (IsStopped)
    return;
  const Instant begun = bootNow();
  AskedAt = begun;
  Store.Watch(Kind, AsOf, patience,
              [self = shared_from_this(), begun,
               from = AsOf](const StoreResult<KindChanges> &result) {
                if (self->IsStopped)
                  return;
                if (!result.Got)
                  return self->retry(result.Failure,
                                     result.Failure ==
                                         StoreFailure::HistoryGone);
                self->succeeded(begun);
                // The gap showed that there is a reporter.
                if (self->HasGap)
                  self->HeardAt = bootNow();
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

void KindWatcher::Impl::gather() {
  if (Settings.GatherTime == Duration::zero())
    return next(bootNow());
  Timer.expires_after(Settings.GatherTime);
  Timer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
    if (!ec && !self->IsStopped)
      self->next(bootNow());
  });
}

void KindWatcher::Impl::apply(const KindChanges &changes) {
  for (const KindChange &it : changes.Changes) {
    if (it.IsRemoved)
      removed(it.Object.Name, it.Object.Revision);
    else
      take(it.Object);
  }
  AsOf = std::max(AsOf, changes.AsOf);
}

void KindWatcher::Impl::confirm(Instant begun) {
  if (begun <= ConfirmedAt)
    return;
  ConfirmedAt = begun;
  Hooks.OnConfirmed(begun);
}

bool KindWatcher::Impl::mustAsk(Instant now) const {
  if (Hooks.AsksAlways())
    return true;
  // A host that others tell needs the store only if those don't find it either.
  if (Hooks.IsUnreached())
    return Hooks.Probes() && now - AskedAt > restTime();
  return now - HeardAt > restTime() ||
         now - ConfirmedAt > Settings.Patience * Settings.OldPatiences;
}

void KindWatcher::Impl::next(Instant now) {
  const bool begins = IsResting && Hooks.AsksAlways();
  IsResting = !mustAsk(now);
  if (IsResting)
    return;
  if (MustList)
    list();
  else
    watch(begins ? Settings.FirstPatience : Settings.Patience);
}

void KindWatcher::Impl::hear(const KindNews &news, Instant now) {
  // What is older than the view says nothing new; before the first list there
  // is none that changes could be put to.
  if (!HasListed || news.Changes.AsOf < AsOf)
    return;
  if (news.From > AsOf || news.IsLeftOut) {
    // Something in between was missed: only the store can tell.
    if (IsResting) {
      IsResting = false;
      HasGap = true;
      watch(Settings.FirstPatience);
    }
    return;
  }
  HeardAt = now;
  // The store has answered the reporter. The time since this host last asked by
  // itself is no outage, after which removals would have to wait.
  succeeded(now);
  // Told later than the echo was sent; it may have been on its way for long.
  const Instant begun = Instant(microseconds(news.Echo)) - news.Age;
  // Two hosts that both pass news on would send it to and fro between them.
  const bool saysMore = news.Changes.AsOf > AsOf || begun > ConfirmedAt;
  apply(news.Changes);
  confirm(begun);
  if (saysMore)
    Hooks.OnWatched(news.From, news.Changes, begun);
}

/// How long to wait after so many failures in a row.
Duration KindWatcher::Impl::retryDelay() const {
  Duration delay = Settings.RetryDelay;
  for (int n = 1; n < Failures && delay < Settings.LongestRetryDelay; ++n)
    delay *= 2;
  return std::min(delay, Settings.LongestRetryDelay);
}

void KindWatcher::Impl::retry(StoreFailure why, bool mustList) {
  if (++Failures == 1)
    LogLine(Severity::Warning, "store view failed")
        .field("kind", toText(Kind))
        .field("why", toText(why))
        .field("revision", static_cast<std::int64_t>(AsOf));
  MustList = mustList;
  if (HasListed && why != StoreFailure::HistoryGone && !Hooks.AsksAlways())
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
          self->watch(self->Settings.Patience);
      });
}

void KindWatcher::Impl::succeeded(Instant begun) {
  const Instant now = bootNow();
  if (HasListed &&
      begun - LastSuccess > Settings.Patience + Settings.OutageAfter)
    HoldUntil = now + Settings.ReturnTime;
  if (Failures != 0)
    LogLine(Severity::Info, "store view regained")
        .field("kind", toText(Kind))
        .field("failures", static_cast<std::int64_t>(Failures))
        .field("silent_ms", HasListed ? toMilliseconds(now - LastSuccess) : 0);
  Failures = 0;
  LastSuccess = now;
}

void KindWatcher::Impl::take(const KeptObject &object) {
  Held.erase(object.Name);
  std::uint64_t &revision = Known[object.Name];
  if (revision >= object.Revision)
    return;
  revision = object.Revision;
  Hooks.OnObject(object);
}

void KindWatcher::Impl::removed(const std::string &name,
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

void KindWatcher::Impl::releaseHeld() {
  const std::set<std::string> held = std::move(Held);
  Held.clear();
  for (const std::string &name : held) {
    Known.erase(name);
    Hooks.OnRemoved(name);
  }
}

KindWatcher::KindWatcher(boost::asio::io_context &loop, KindStore store,
                         StoreKind kind, KindWatcherSettings settings,
                         KindWatcherHooks hooks)
    : All(std::make_shared<Impl>(loop, std::move(store), kind, settings,
                                 std::move(hooks))) {}

KindWatcher::~KindWatcher() { stop(); }

void KindWatcher::start() { All->list(); }

void KindWatcher::hear(const KindNews &news, Instant now) {
  All->hear(news, now);
}

void KindWatcher::tick(Instant now) {
  if (All->IsResting && !All->IsStopped)
    All->next(now);
}

void KindWatcher::stop() {
  All->IsStopped = true;
  All->Timer.cancel();
  All->HoldTimer.cancel();
}

} // namespace sorrelbay
