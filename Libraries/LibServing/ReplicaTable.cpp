#include "LibServing/ReplicaTable.h"
#include "LibBase/Hash.h"
#include "LibServing/DeskPlacement.h"
#include <algorithm>
#include <limits>

namespace sorrelbay {

/// An upstream counts as cold for this much longer than it reports.
static constexpr Duration ColdMargin = milliseconds(100);
ReplicaTable::ReplicaTable(ReplicaTableSettings settings)
    : Settings(settings), Engines(settings.Engines) {}

void ReplicaTable::note(const ReplicaRecord &record, Instant now,
                        std::optional<Instant> startedAt) {
  const Instant coldUntil = record.ColdDuration > Duration::zero()
                                ? now + record.ColdDuration + ColdMargin
                                : Instant{};
  const auto found = Entries.find(record.Id);
  const bool isKnownProcess =
      found != Entries.end() &&
      found->second.Record.StartedMs == record.StartedMs;
  if (!isKnownProcess) {
    Statements.noteProcess(record.Id, record.StartedMs, startedAt, now);
    Loads.forget(record.Id);
    assumeRejectionLimit(record, now);
  }
  if (found != Entries.end()) {
    found->second.Record = record;
    found->second.ColdUntil = coldUntil;
    if (!isKnownProcess) {
      found->second.Health.beginProcess();
    }
    return;
  }
  Entry entry;
  entry.Record = record;
  entry.ColdUntil = coldUntil;
  entry.Work = Work.of(record.Id);
  Entries.emplace(record.Id, entry);
}

/// A new process of a service whose upstreams name a rejection limit is taken
/// to have the lowest of theirs. It has nothing to do yet, so that all hosts
/// would send calls there before its first response.
void ReplicaTable::assumeRejectionLimit(const ReplicaRecord &record,
                                        Instant now) {
  std::optional<double> lowest;
  for (const auto &[id, entry] : Entries) {
    const auto limit = Statements.rejectionLimit(id);
    if (entry.Record.OfService == record.OfService && id != record.Id && limit)
      lowest = std::min(lowest.value_or(*limit), *limit);
  }
  if (lowest)
    Statements.notePeerRejectionLimit(record.Id, {lowest, now});
}

void ReplicaTable::remove(const UpstreamId &id) {
  const auto it = Entries.find(id);
  if (it == Entries.end())
    return;
  Engines.forget(it->second.Record.OfService, id);
  Statements.noteUnregistered(id);
  Loads.forget(id);
  Entries.erase(it);
}

const ReplicaRecord *ReplicaTable::find(const UpstreamId &id) const {
  const auto it = Entries.find(id);
  return it == Entries.end() ? nullptr : &it->second.Record;
}

std::vector<ReplicaRecord> ReplicaTable::records() const {
  std::vector<ReplicaRecord> out;
  for (const auto &[id, entry] : Entries) {
    out.push_back(entry.Record);
    out.back().IsLeaving = isLeaving(entry);
  }
  return out;
}

int ReplicaTable::ready(const ServiceId &service) const {
  return static_cast<int>(
      std::count_if(Entries.begin(), Entries.end(), [&](const auto &it) {
        return it.second.Record.OfService == service && !isLeaving(it.second);
      }));
}

void ReplicaTable::setColdRate(const ServiceId &service, double perSecond) {
  double &rate = ColdRates[service];
  if (rate == perSecond)
    return;
  rate = perSecond;
  for (auto &[id, entry] : Entries)
    entry.ColdShare.reset();
}

void ReplicaTable::setHosts(const HostId &self, std::vector<HostId> hosts) {
  if (Self == self && Hosts == hosts)
    return;
  Self = self;
  Hosts = std::move(hosts);
  for (auto &[id, entry] : Entries)
    entry.ColdShare.reset();
}

void ReplicaTable::beginEvacuation(const ZoneId &zone) {
  Evacuated.insert(zone);
}

void ReplicaTable::endEvacuation(const ZoneId &zone, Instant now) {
  Evacuated.erase(zone);
  for (auto &[id, entry] : Entries)
    if (entry.Record.InZone == zone)
      entry.AssumedColdAt = now;
}

bool ReplicaTable::areAllHeld(const ServiceId &service) const {
  bool hasHeld = false;
  for (const auto &[id, entry] : Entries) {
    if (entry.Record.OfService != service || isLeaving(entry) ||
        isEvacuated(entry.Record.InZone))
      continue;
    if (Held.count(id) == 0)
      return false;
    hasHeld = true;
  }
  return hasHeld;
}

/// Whether held upstreams of the service get no new calls.
bool ReplicaTable::keepsHolds(const ServiceId &service) const {
  return !Held.empty() && !areAllHeld(service);
}

/// Whether the upstream is leaving by its registration or by its responses.
bool ReplicaTable::isLeaving(const Entry &entry) const {
  return entry.Record.IsLeaving || Statements.isLeaving(entry.Record.Id);
}

bool ReplicaTable::isCold(const Entry &entry, Instant now) const {
  return now < entry.ColdUntil || (entry.AssumedColdAt != Instant{} &&
                                   ConfirmedAt <= entry.AssumedColdAt);
}

int ReplicaTable::cold(const ServiceId &service, Instant now) const {
  return static_cast<int>(
      std::count_if(Entries.begin(), Entries.end(), [&](const auto &it) {
        const Entry &entry = it.second;
        return entry.Record.OfService == service && !isLeaving(entry) &&
               isCold(entry, now);
      }));
}

/// Whether the upstream is warm, or this host may send it another call within
/// its share of the cold rate.
bool ReplicaTable::hasColdCapacity(Entry &entry, Instant now) {
  const auto rate = ColdRates.find(entry.Record.OfService);
  if (rate == ColdRates.end() || rate->second <= 0 || !isCold(entry, now))
    return true;
  if (!entry.ColdShare)
    entry.ColdShare = coldRateShare(entry.Record.Id, Self, Hosts, rate->second);
  return ColdLimiters[entry.Record.Id].hasCapacity(*entry.ColdShare, now);
}

UpstreamRoom ReplicaTable::roomFor(const Entry &entry) {
  return {entry.Record.Slots, entry.Work->Own.Calls, entry.Work->Peers.Calls};
}

void ReplicaTable::forgetOldStatements(Instant now) {
  Work.forgetIdle();
  for (auto it = ColdLimiters.begin(); it != ColdLimiters.end();)
    it = it->second.isIdle(now) ? ColdLimiters.erase(it) : std::next(it);
  Statements.forgetUnregistered(
      [this](const UpstreamId &id) { return Entries.count(id) != 0; }, now);
}

/// The request without the upstreams that it was sent to and the version that
/// it prefers.
ReplicaRequest ReplicaTable::withAnyUpstream(ReplicaRequest request) {
  request.Tried.clear();
  request.Version.Preferred = VersionId();
  return request;
}

std::int64_t ReplicaTable::expectedPrefill(const ReplicaRequest &request,
                                           Instant now) {
  const ReplicaRequest anyUpstream = withAnyUpstream(request);
  const std::vector<Entry *> fitting = fittingUpstreams(anyUpstream);
  if (request.Prompt.empty())
    return 0;
  if (fitting.empty())
    return request.PromptTokens;
  return Engines.choose(statesOf(fitting, now), anyUpstream, now)
      .TokensToPrefill;
}

Unavailability ReplicaTable::unavailability(const ReplicaRequest &request,
                                            Instant now) {
  const ReplicaRequest anyUpstream = withAnyUpstream(request);
  std::optional<Duration> shortest;
  bool areAllPaused = true;
  bool hasLimited = false;
  bool hasCold = false;
  for (const Entry *it : fittingUpstreams(anyUpstream)) {
    const Entry &entry = *it;
    const UpstreamId &id = entry.Record.Id;
    const auto limitWait = Statements.rateLimitWait(id, now);
    const Duration pause = Statements.pauseLeft(id, now);
    const auto rejectionWait =
        Statements.rejectionWait(id, roomFor(entry), now);
    const Duration wait = std::max({pause, limitWait.value_or(Duration::zero()),
                                    rejectionWait.value_or(Duration::zero())});
    shortest = std::min(shortest.value_or(wait), wait);
    areAllPaused = areAllPaused && pause > Duration::zero();
    hasLimited =
        hasLimited || limitWait.has_value() || rejectionWait.has_value();
    hasCold = hasCold || isCold(entry, now);
  }
  if (!shortest)
    return {};
  if (areAllPaused)
    return {UnavailabilityCause::Paused, *shortest};
  if (hasCold)
    return {UnavailabilityCause::Cold, Duration::zero()};
  return {hasLimited ? UnavailabilityCause::Limited
                     : UnavailabilityCause::NoUpstream,
          *shortest};
}

bool ReplicaTable::maySend(const UpstreamId &id, Instant now) const {
  const auto it = Entries.find(id);
  return it != Entries.end() && !isLeaving(it->second) &&
         !isEvacuated(it->second.Record.InZone) &&
         (Held.count(id) == 0 || areAllHeld(it->second.Record.OfService)) &&
         !Statements.isPaused(id, now);
}

bool ReplicaTable::isInAllowedRegion(
    const ZoneId &zone, const std::vector<std::string> &allowedRegions) const {
  if (allowedRegions.empty())
    return true;
  const auto region = RegionOf.find(zone);
  return region != RegionOf.end() &&
         std::find(allowedRegions.begin(), allowedRegions.end(),
                   region->second) != allowedRegions.end();
}

bool ReplicaTable::fits(const Entry &entry,
                        const ReplicaRequest &request) const {
  const bool wasTried = std::find(request.Tried.begin(), request.Tried.end(),
                                  entry.Record.Id) != request.Tried.end();
  return entry.Record.OfService == request.ForService && !isLeaving(entry) &&
         !wasTried && !isEvacuated(entry.Record.InZone) &&
         isInAllowedRegion(entry.Record.InZone, request.RouteRegions) &&
         isInAllowedRegion(entry.Record.InZone, request.TeamRegions) &&
         allowsVersion(entry.Record.OfVersion, request.Version);
}

std::vector<ReplicaTable::Entry *>
ReplicaTable::fittingUpstreams(const ReplicaRequest &request) {
  const bool keeps = keepsHolds(request.ForService);
  std::vector<Entry *> out;
  for (auto &[id, entry] : Entries)
    if (fits(entry, request) && !(keeps && Held.count(id) != 0))
      out.push_back(&entry);
  return out;
}

std::optional<ReplicaChoice> ReplicaTable::choose(const ReplicaRequest &request,
                                                  Instant now) {
  auto chosen = chooseOfVersion(request, now);
  if (chosen || request.Version.Preferred.empty())
    return chosen;
  ReplicaRequest anyVersion = request;
  anyVersion.Version.Preferred = VersionId();
  return chooseOfVersion(anyVersion, now);
}

/// The upstreams that may take the call. If all of them are ejected or being
/// probed, those: an upstream that may fail is better than none.
std::vector<ReplicaTable::Entry *>
ReplicaTable::eligibleUpstreams(const ReplicaRequest &request, Instant now) {
  std::vector<Entry *> eligible;
  std::vector<Entry *> unhealthy;
  for (Entry *it : fittingUpstreams(request)) {
    if (!hasColdCapacity(*it, now) ||
        !Statements.allowCall(it->Record.Id, roomFor(*it), now))
      continue;
    (it->Health.isHealthy(now) ? eligible : unhealthy).push_back(it);
  }
  return eligible.empty() ? unhealthy : eligible;
}

/// The upstream for a call without a prompt.
ReplicaTable::Entry *ReplicaTable::deskFor(const std::vector<Entry *> &eligible,
                                           const ReplicaRequest &request,
                                           Instant now) const {
  std::vector<DeskCandidate> desks;
  desks.reserve(eligible.size());
  for (const Entry *it : eligible)
    desks.push_back({it->Record.Id, it->Record.InZone, it->Record.Slots,
                     it->Work->total().Calls,
                     Loads.expected(it->Record.Id, now)});
  return eligible[chooseDesk(desks,
                             {request.OwnZone, request.Hosts, request.Seed,
                              usesStatedLoads(request, now)})];
}

/// Whether the condition for a choice by stated loads holds.
bool ReplicaTable::usesStatedLoads(const ReplicaRequest &request,
                                   Instant now) const {
  if (!request.IsForDesk)
    return false;
  const ServiceWork all = serviceWork(request.ForService, now);
  return areSlotsScarce(all.Replicas, all.CallSlots, request.Hosts);
}

std::vector<EngineState>
ReplicaTable::statesOf(const std::vector<Entry *> &engines, Instant now) const {
  std::vector<EngineState> out;
  out.reserve(engines.size());
  for (const Entry *it : engines)
    out.push_back(
        {&it->Record, it->Work->total(), Loads.slownessOf(it->Record.Id, now)});
  return out;
}

/// The upstreams whose rate limit no response has confirmed for a while, or all
/// if there are none: only a response shows that a limit has ended.
std::vector<ReplicaTable::Entry *>
ReplicaTable::preferUnconfirmedLimits(const std::vector<Entry *> &eligible,
                                      Instant now) const {
  std::vector<Entry *> unconfirmed;
  for (Entry *it : eligible)
    if (Statements.isRateLimitUnconfirmed(it->Record.Id, now))
      unconfirmed.push_back(it);
  return unconfirmed.empty() ? eligible : unconfirmed;
}

std::optional<ReplicaChoice>
ReplicaTable::chooseOfVersion(const ReplicaRequest &request, Instant now) {
  const std::vector<Entry *> eligible =
      preferUnconfirmedLimits(eligibleUpstreams(request, now), now);
  if (eligible.empty())
    return std::nullopt;
  if (!request.Prompt.empty())
    return Engines.choose(statesOf(eligible, now), request, now);
  ReplicaChoice choice;
  choice.Id = deskFor(eligible, request, now)->Record.Id;
  return choice;
}

ReservedEngineCount ReplicaTable::updateReserved(const ServiceId &service,
                                                 const ShortPromptLoad &load,
                                                 Instant now) {
  std::vector<const ReplicaRecord *> engines;
  for (const auto &[id, entry] : Entries)
    if (entry.Record.OfService == service && !isLeaving(entry) &&
        !isEvacuated(entry.Record.InZone))
      engines.push_back(&entry.Record);
  return Engines.updateReserved(service, engines, load, now);
}

void ReplicaTable::notePrompt(const UpstreamId &id,
                              const std::vector<PromptPart> &prompt,
                              Instant now) {
  Engines.notePrompt(id, prompt, now);
}

void ReplicaTable::noteFirstToken(const UpstreamId &id,
                                  const FirstTokenSample &seen, Instant now) {
  const auto it = Entries.find(id);
  if (it != Entries.end())
    Engines.noteFirstToken(it->second.Record.OfService, id, seen, now);
}

void ReplicaTable::noteSent(const UpstreamId &id, const CallCost &work,
                            Instant now) {
  const auto it = Entries.find(id);
  if (it != Entries.end()) {
    Entry &entry = it->second;
    entry.Health.noteSent();
    if (isCold(entry, now))
      ColdLimiters[id].note(now);
    Statements.noteSent(id, roomFor(entry), now);
  }
  Loads.noteStarted(id, now);
  Work.noteSent(id, work);
}

void ReplicaTable::noteEnded(const UpstreamId &id, const CallCost &work,
                             bool hadFirstByte, SendResult result,
                             Instant now) {
  const bool isLast = Work.noteEnded(id, work, hadFirstByte);
  if (result == SendResult::Rejected)
    Statements.noteRejected(id, now);
  Loads.noteEnded(id, result == SendResult::Rejected, now);
  if (isLast)
    Loads.noteIdle(id);
  const auto it = Entries.find(id);
  if (it == Entries.end())
    return;
  Entry &entry = it->second;
  entry.Health.noteResult(result, othersFailureShare(entry), Settings.Health,
                          now);
}

double ReplicaTable::othersFailureShare(const Entry &entry) const {
  double sum = 0;
  int n = 0;
  for (const auto &[id, it] : Entries) {
    if (&it == &entry || it.Record.OfService != entry.Record.OfService)
      continue;
    sum += it.Health.failureShare();
    ++n;
  }
  return n == 0 ? 1 : sum / n;
}

void ReplicaTable::resetHealth(const ServiceId &service) {
  for (auto &[id, entry] : Entries)
    if (entry.Record.OfService == service)
      entry.Health = {};
}

bool ReplicaTable::isEjected(const UpstreamId &id, Instant now) const {
  const auto it = Entries.find(id);
  return it != Entries.end() && it->second.Health.isEjected(now);
}

ReplicaTable::ServiceWork ReplicaTable::serviceWork(const ServiceId &service,
                                                    Instant now) const {
  const bool keeps = keepsHolds(service);
  ServiceWork out;
  for (const auto &[id, entry] : Entries) {
    if (entry.Record.OfService != service || isLeaving(entry) ||
        entry.Health.isEjected(now) || isEvacuated(entry.Record.InZone) ||
        (keeps && Held.count(id) != 0))
      continue;
    const OutstandingWork work = entry.Work->total();
    out.Calls += work.Calls;
    out.PromptTokens += work.PromptTokens;
    out.Tokens += work.Tokens;
    out.CallSlots += entry.Record.Slots;
    ++out.Replicas;
  }
  return out;
}

} // namespace sorrelbay
