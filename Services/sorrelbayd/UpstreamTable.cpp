#include "UpstreamTable.h"
#include "LibBase/Hash.h"
#include <algorithm>
#include <utility>

namespace sorrelbay {

/// The number of answers that may be open at an engine before its first load
/// report.
static constexpr std::uint32_t UnreportedCapacity = 4;

/// The assumed time until an upstream leaves if no notice gives the time.
static constexpr Duration DefaultLeaveDelay = minutes(2);
/// The maximum number of load requests for one call; after these, the call gets
/// no upstream.
static constexpr int MaxLoadRequests = 4;

static LeavingSettings leavingSettings() {
  LeavingSettings settings;
  // On a busy host, threads may be delayed by this much without a pause of the
  // process.
  settings.MaxTickGap = seconds(2);
  return settings;
}

UpstreamTable::UpstreamTable(std::string ownAddress, ZoneId ownZone,
                             FetchLoad fetchLoad)
    : OwnAddress(std::move(ownAddress)), OwnZone(std::move(ownZone)),
      FetchEngineLoad(std::move(fetchLoad)), Leaving(leavingSettings()) {}

void UpstreamTable::applyHostList(const std::vector<HostListEntry> &entries,
                                  Instant askedAt) {
  const std::lock_guard<std::mutex> lock(Mutex);
  std::map<UpstreamId, UpstreamState> next;
  Entries.clear();
  Engines.clear();
  for (const HostListEntry &it : entries) {
    if (it.Role == HostRole::Entry) {
      Entries.push_back(it);
      continue;
    }
    const UpstreamId id(it.Address);
    if (it.Role == HostRole::Engine)
      Engines.insert(id);
    const bool isTimeKnown = it.LeavesAt != Instant{};
    if (it.IsLeaving && isTimeKnown)
      LeavingAt.emplace(id, it.LeavesAt);
    if (it.IsLeaving)
      Leaving.noteLeaving(
          {id, isTimeKnown ? it.LeavesAt : askedAt + DefaultLeaveDelay});
    const auto known = Upstreams.find(id);
    UpstreamState state;
    if (known != Upstreams.end())
      state = known->second;
    state.Id = id;
    state.OfService = it.Service;
    state.OfVersion = it.Version;
    state.InZone = it.Zone;
    next.emplace(id, state);
  }
  for (const auto &it : Upstreams)
    if (next.count(it.first) == 0)
      Chooser.forget(it.first);
  Upstreams = std::move(next);
  HasHostList = true;
  // FIXME: The host list lags; use the response of a peer whose view is fresh
  // instead.
  Leaving.notePeerAnswered(askedAt);
}

void UpstreamTable::applyNotice(const ReclaimNotice &notice) {
  const std::lock_guard<std::mutex> lock(Mutex);
  const UpstreamId id(notice.Address);
  LeavingAt[id] = notice.ReclaimAt;
  Leaving.noteLeaving({id, notice.ReclaimAt});
}

void UpstreamTable::applyPeerNotices(
    const std::vector<LeavingNotice> &notices) {
  const std::lock_guard<std::mutex> lock(Mutex);
  for (const LeavingNotice &it : notices)
    Leaving.noteLeaving(it);
}

std::vector<LeavingNotice> UpstreamTable::leavingNotices(Instant at) const {
  const std::lock_guard<std::mutex> lock(Mutex);
  return Leaving.notices(at);
}

void UpstreamTable::tick(Instant at) {
  const std::lock_guard<std::mutex> lock(Mutex);
  Leaving.noteTick(at);
}

bool UpstreamTable::isViewFresh(Instant at) const {
  const std::lock_guard<std::mutex> lock(Mutex);
  return Leaving.isViewFresh(at);
}

bool UpstreamTable::isLeavingAt(const UpstreamId &upstream, Instant at) const {
  return Leaving.isLeaving(upstream, at);
}

void UpstreamTable::applyLoad(const UpstreamId &upstream,
                              const EngineLoad &load, Instant askedAt) {
  const std::lock_guard<std::mutex> lock(Mutex);
  if (load.IsLeaving)
    Leaving.noteLeaving({upstream, askedAt + DefaultLeaveDelay});
  else
    Leaving.noteStayConfirmed(upstream, askedAt);
  const auto it = Upstreams.find(upstream);
  if (it == Upstreams.end())
    return;
  it->second.ReportedOpenCalls = static_cast<int>(load.OpenStreams);
  it->second.ReportedAt = load.ReportedAt;
  const std::uint64_t free =
      load.Capacity - std::min(load.Capacity, load.OpenStreams);
  const auto own = static_cast<std::uint64_t>(openCallsAt(upstream));
  Capacities[upstream] =
      static_cast<std::uint32_t>(own) + ownShare(upstream, free);
  // A call that this daemon counts as open may have just ended at the engine,
  // or may not have started there yet.
  const std::uint64_t taken = std::max(load.OpenStreams, own);
  const std::uint64_t left = load.Capacity - std::min(load.Capacity, taken);
  CallSlots[upstream] = static_cast<std::uint32_t>(
      own + std::max<std::uint64_t>(ownShare(upstream, left), left / 2));
}

/// This daemon's share of an engine's free call slots. All daemons receive the
/// same report and would otherwise fill the same slots. The remainder of the
/// division goes to different daemons for each engine.
std::uint32_t UpstreamTable::ownShare(const UpstreamId &upstream,
                                      std::uint64_t free) const {
  std::uint64_t lowerRanked = 0;
  const auto rank = [&upstream](const std::string &address) {
    return stableHash(upstream.text(), stableHash(address));
  };
  const std::uint64_t own = rank(OwnAddress);
  std::uint64_t others = 0;
  for (const HostListEntry &it : Entries) {
    if (it.IsLeaving || it.Address == OwnAddress)
      continue;
    ++others;
    lowerRanked += rank(it.Address) < own ? 1 : 0;
  }
  const std::uint64_t n = others + 1;
  return static_cast<std::uint32_t>(free / n +
                                    (lowerRanked < free % n ? 1 : 0));
}

std::vector<UpstreamId>
UpstreamTable::replicasOf(const VersionId &version) const {
  const std::lock_guard<std::mutex> lock(Mutex);
  std::vector<UpstreamId> out;
  for (const auto &[id, state] : Upstreams)
    if (state.OfVersion == version && !isLeavingAt(id, now()))
      out.push_back(id);
  return out;
}

PlacementChoice UpstreamTable::chooseAndCount(const PlacementRequest &request,
                                              Instant at,
                                              Confirmation &confirmation) {
  const std::lock_guard<std::mutex> lock(Mutex);
  confirmation = Confirmation::NotNeeded;
  std::vector<UpstreamState> all;
  all.reserve(Upstreams.size());
  for (const auto &it : Upstreams)
    all.push_back(currentState(it.second, at));
  PlacementChoice choice = Chooser.choose(all, request, at);
  if (!choice.Upstream)
    return choice;
  const NewWork verdict = Leaving.newWorkFor(*choice.Upstream, at);
  if (verdict == NewWork::AskPeers)
    return {};
  // Desks report no load; only the host list, notices and peers report whether
  // they are leaving.
  if (verdict == NewWork::AskUpstream && Engines.count(*choice.Upstream) != 0) {
    confirmation = Confirmation::FromEngine;
    return choice;
  }
  Chooser.noteSent(*choice.Upstream, request, choice.CachedTokens, at);
  countOpenCalls(*choice.Upstream, 1);
  return choice;
}

PlacementChoice UpstreamTable::begin(const PlacementRequest &request,
                                     Instant at) {
  PlacementRequest full = request;
  full.OwnZone = OwnZone;
  for (int n = 0; n < MaxLoadRequests; ++n) {
    Confirmation confirmation = Confirmation::NotNeeded;
    PlacementChoice choice = chooseAndCount(full, at, confirmation);
    if (confirmation == Confirmation::NotNeeded)
      return choice;
    at = now();
    const std::optional<EngineLoad> load = FetchEngineLoad(*choice.Upstream);
    if (load)
      applyLoad(*choice.Upstream, *load, at);
    else
      full.Tried.push_back(*choice.Upstream);
    at = now();
  }
  return {};
}

void UpstreamTable::beginAt(const UpstreamId &upstream,
                            const PlacementRequest &request, Instant at) {
  const std::lock_guard<std::mutex> lock(Mutex);
  Chooser.noteSent(upstream, request, 0, at);
  countOpenCalls(upstream, 1);
}

void UpstreamTable::finish(const UpstreamId &upstream,
                           const ConversationKey &conversation,
                           std::int64_t tokens, Instant at) {
  const std::lock_guard<std::mutex> lock(Mutex);
  Chooser.noteFinished(upstream, conversation, tokens, at);
  countOpenCalls(upstream, -1);
}

/// Counts calls also at an upstream that is not listed: it may be listed again
/// before they end.
void UpstreamTable::countOpenCalls(const UpstreamId &upstream, int change) {
  int &open = OpenCalls[upstream];
  open = std::max(0, open + change);
  if (open == 0)
    OpenCalls.erase(upstream);
}

int UpstreamTable::openCallsAt(const UpstreamId &upstream) const {
  const auto it = OpenCalls.find(upstream);
  return it == OpenCalls.end() ? 0 : it->second;
}

/// The upstream's state with what is kept apart from the list of hosts.
UpstreamState UpstreamTable::currentState(const UpstreamState &listed,
                                          Instant at) const {
  UpstreamState out = listed;
  out.IsLeaving = isLeavingAt(listed.Id, at);
  out.OwnOpenCalls = openCallsAt(listed.Id);
  return out;
}

int UpstreamTable::callSlotsFor(const ServiceId &service) const {
  const std::lock_guard<std::mutex> lock(Mutex);
  const Instant at = now();
  std::uint32_t sum = 0;
  for (const UpstreamId &id : Engines) {
    if (Upstreams.at(id).OfService != service || isLeavingAt(id, at))
      continue;
    const auto callSlots = CallSlots.find(id);
    sum +=
        callSlots == CallSlots.end() ? UnreportedCapacity : callSlots->second;
  }
  return static_cast<int>(sum);
}

std::vector<UpstreamState> UpstreamTable::snapshot() const {
  const std::lock_guard<std::mutex> lock(Mutex);
  const Instant at = now();
  std::vector<UpstreamState> out;
  for (const auto &it : Upstreams)
    out.push_back(currentState(it.second, at));
  return out;
}

std::vector<EngineView> UpstreamTable::engines() const {
  const std::lock_guard<std::mutex> lock(Mutex);
  const Instant at = now();
  std::vector<EngineView> out;
  for (const UpstreamId &id : Engines) {
    const UpstreamState &state = Upstreams.at(id);
    EngineView view;
    view.Id = id;
    view.Zone = state.InZone;
    view.Version = state.OfVersion;
    view.IsLeaving = isLeavingAt(id, at);
    const auto capacity = Capacities.find(id);
    view.Capacity =
        capacity == Capacities.end() ? UnreportedCapacity : capacity->second;
    const auto leaving = LeavingAt.find(id);
    if (leaving != LeavingAt.end())
      view.LeavesAt = leaving->second;
    out.push_back(view);
  }
  return out;
}

bool UpstreamTable::isLeaving(const UpstreamId &upstream) const {
  const std::lock_guard<std::mutex> lock(Mutex);
  return Upstreams.count(upstream) == 0 || isLeavingAt(upstream, now());
}

std::vector<HostListEntry> UpstreamTable::entryHosts() const {
  const std::lock_guard<std::mutex> lock(Mutex);
  return Entries;
}

bool UpstreamTable::hasHostList() const {
  const std::lock_guard<std::mutex> lock(Mutex);
  return HasHostList;
}

} // namespace sorrelbay
