#include "LibServing/ReplicaTable.h"
#include "LibBase/Hash.h"
#include <algorithm>
#include <limits>

namespace sorrelbay {

/// Sends after which the failure share is believed.
static constexpr double EnoughSeen = 3;
static constexpr double MostSeen = 20;
/// What an upstream in another zone counts as more, in open calls.
static constexpr double OtherZoneCalls = 0.5;
/// More hosts than that hear of each other through others.
static constexpr int ManyHosts = 16;
/// Decides between equals and is less than any difference.
static constexpr double DrawWeight = 0.1;
/// An upstream counts as cold for a little longer than it says.
static constexpr Duration ColdMargin = milliseconds(100);
/// How much of a conversation's shared parts its home is taken to have cached.
static constexpr double HomeCached = 0.97;

ReplicaTable::ReplicaTable(ReplicaTableSettings settings)
    : Settings(settings) {}

void ReplicaTable::note(const ReplicaRecord &record, Instant now) {
  const Instant coldUntil = record.ColdDuration > Duration::zero()
                                ? now + record.ColdDuration + ColdMargin
                                : Instant{};
  const auto found = Entries.find(record.Id);
  if (found != Entries.end()) {
    const bool isAnotherLife =
        found->second.Record.StartedMs != record.StartedMs;
    found->second.Record = record;
    found->second.ColdUntil = coldUntil;
    if (isAnotherLife) {
      // It knows nothing of before, also not of its failures.
      found->second.FailureShare = 0;
      found->second.Seen = 0;
      found->second.EjectedUntil = {};
    }
    return;
  }
  Entry entry;
  entry.Record = record;
  entry.ColdUntil = coldUntil;
  for (const auto &[peer, open] : PeerWork) {
    const auto it = open.find(record.Id);
    if (it == open.end())
      continue;
    entry.Peers.Calls += it->second.Calls;
    entry.Peers.PromptTokens += it->second.PromptTokens;
    entry.Peers.Tokens += it->second.Tokens;
  }
  Entries.emplace(record.Id, entry);
}

void ReplicaTable::remove(const UpstreamId &id) {
  const auto it = Entries.find(id);
  if (it == Entries.end())
    return;
  Models[it->second.Record.OfService].forget(id);
  Entries.erase(it);
}

const ReplicaRecord *ReplicaTable::find(const UpstreamId &id) const {
  const auto it = Entries.find(id);
  return it == Entries.end() ? nullptr : &it->second.Record;
}

std::vector<ReplicaRecord> ReplicaTable::records() const {
  std::vector<ReplicaRecord> out;
  for (const auto &[id, entry] : Entries)
    out.push_back(entry.Record);
  return out;
}

int ReplicaTable::ready(const ServiceId &service) const {
  return static_cast<int>(
      std::count_if(Entries.begin(), Entries.end(), [&](const auto &it) {
        const ReplicaRecord &record = it.second.Record;
        return record.OfService == service && !record.IsLeaving;
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
      entry.DoubtedAt = now;
}

bool ReplicaTable::isCold(const Entry &entry, Instant now) const {
  return now < entry.ColdUntil ||
         (entry.DoubtedAt != Instant{} && ConfirmedAt <= entry.DoubtedAt);
}

int ReplicaTable::cold(const ServiceId &service, Instant now) const {
  return static_cast<int>(
      std::count_if(Entries.begin(), Entries.end(), [&](const auto &it) {
        const Entry &entry = it.second;
        return entry.Record.OfService == service && !entry.Record.IsLeaving &&
               isCold(entry, now);
      }));
}

/// Whether the upstream is warm, or this host has some of its cold rate left.
bool ReplicaTable::hasColdRoom(Entry &entry, Instant now) {
  const auto rate = ColdRates.find(entry.Record.OfService);
  if (rate == ColdRates.end() || rate->second <= 0 || !isCold(entry, now))
    return true;
  if (!entry.ColdShare)
    entry.ColdShare = coldRateShare(entry.Record.Id, Self, Hosts, rate->second);
  return entry.Allowance.hasRoom(*entry.ColdShare, now);
}

bool ReplicaTable::isHome(const ZoneId &zone,
                          const std::vector<std::string> &homes) const {
  if (homes.empty())
    return true;
  const auto region = RegionOf.find(zone);
  return region != RegionOf.end() &&
         std::find(homes.begin(), homes.end(), region->second) != homes.end();
}

bool ReplicaTable::fits(const Entry &entry,
                        const ReplicaRequest &request) const {
  const bool wasTried = std::find(request.Tried.begin(), request.Tried.end(),
                                  entry.Record.Id) != request.Tried.end();
  return entry.Record.OfService == request.ForService &&
         !entry.Record.IsLeaving && !wasTried &&
         !isEvacuated(entry.Record.InZone) &&
         isHome(entry.Record.InZone, request.RouteRegions) &&
         isHome(entry.Record.InZone, request.TeamRegions) &&
         allowsVersion(entry.Record.OfVersion, request.Version);
}

/// What a call's conversation is known by; empty if it belongs to none.
static std::string conversationOf(const std::vector<PromptPart> &prompt) {
  if (prompt.empty())
    return "";
  return prompt.size() == 1 ? prompt.front().Id : prompt[prompt.size() - 2].Id;
}

std::optional<ReplicaChoice> ReplicaTable::choose(const ReplicaRequest &request,
                                                  Instant now) {
  auto chosen = chooseOf(request, now);
  if (chosen || request.Version.First.empty())
    return chosen;
  ReplicaRequest ofAny = request;
  ofAny.Version.First = VersionId();
  return chooseOf(ofAny, now);
}

/// The upstreams that may take the call; if all that could have failed lately,
/// those, because better one that may fail than none.
std::vector<ReplicaTable::Entry *>
ReplicaTable::ableTo(const ReplicaRequest &request, Instant now) {
  std::vector<Entry *> able;
  std::vector<Entry *> doubtful;
  for (auto &[id, entry] : Entries) {
    if (!fits(entry, request) || !hasColdRoom(entry, now))
      continue;
    const bool isSound = now >= entry.EjectedUntil && !entry.IsProbed;
    (isSound ? able : doubtful).push_back(&entry);
  }
  return able.empty() ? doubtful : able;
}

/// Two upstreams that the call's seed draws.
std::vector<ReplicaTable::Entry *>
ReplicaTable::drawTwo(std::vector<Entry *> able, std::uint64_t seed) {
  const auto draw = [&](const Entry *it) {
    return stableHash(it->Record.Id.text(), seed);
  };
  if (able.size() <= 2)
    return able;
  std::partial_sort(
      able.begin(), able.begin() + 2, able.end(),
      [&](const Entry *a, const Entry *b) { return draw(a) < draw(b); });
  able.resize(2);
  return able;
}

/// The one with least to do, in the own zone where that is equal. Beside many
/// hosts that hear of each other's calls only when these have long ended it is
/// the better one of two: all would choose the same best one until they hear of
/// it.
ReplicaTable::Entry *ReplicaTable::leastBusy(const std::vector<Entry *> &all,
                                             const ReplicaRequest &request) {
  Entry *best = nullptr;
  double bestCost = std::numeric_limits<double>::max();
  const bool isOneOfMany = request.Hosts > ManyHosts;
  const auto able = isOneOfMany ? drawTwo(all, request.Seed) : all;
  for (Entry *it : able) {
    const std::uint64_t draw = stableHash(it->Record.Id.text(), request.Seed);
    const double zone =
        it->Record.InZone == request.OwnZone ? 0 : OtherZoneCalls;
    const double cost = it->Own.Calls + it->Peers.Calls + zone +
                        DrawWeight * hashFraction(draw);
    if (cost < bestCost) {
      bestCost = cost;
      best = it;
    }
  }
  return best;
}

/// Prompt tokens that the upstream would have to read. A part is cached only
/// where all parts before it are; the last one is the call's own.
double ReplicaTable::tokensToRead(const Candidate &it,
                                  const ReplicaRequest &request, bool isHome,
                                  std::size_t upstreams, Instant now) const {
  auto left = static_cast<double>(request.PromptTokens);
  double isCached = 1;
  for (std::size_t n = 0; n + 1 < request.Prompt.size(); ++n) {
    const PromptPart &part = request.Prompt[n];
    const double here =
        isHome ? HomeCached
               : Cached.likelihood(it.Place->Record.Id, part.Id, request.Hosts,
                                   static_cast<double>(upstreams), now);
    isCached *= here;
    left -= isCached * static_cast<double>(part.Tokens);
  }
  return std::max(0.0, left);
}

std::vector<ReplicaTable::Candidate>
ReplicaTable::candidates(const std::vector<Entry *> &able,
                         const ReplicaRequest &request, Instant now) {
  const EngineModel &model = Models[request.ForService];
  const std::uint64_t conversation = stableHash(conversationOf(request.Prompt));
  std::vector<Candidate> out;
  std::uint64_t homeDraw = 0;
  for (Entry *it : able) {
    Candidate candidate;
    candidate.Place = it;
    candidate.Draw = stableHash(it->Record.Id.text(), conversation);
    homeDraw = std::max(homeDraw, candidate.Draw);
    out.push_back(candidate);
  }
  for (Candidate &it : out) {
    const OutstandingWork &own = it.Place->Own;
    const OutstandingWork &peers = it.Place->Peers;
    const double slowness = model.slownessOf(it.Place->Record.Id, now);
    it.TokensToPrefill =
        tokensToRead(it, request, it.Draw == homeDraw, out.size(), now);
    it.Ahead = static_cast<double>(own.PromptTokens + peers.PromptTokens);
    it.Wait = slowness * model.prefillTime(it.Ahead);
    const double reading = slowness * model.prefillTime(it.TokensToPrefill);
    it.FirstToken = slowness * model.base() + it.Wait + reading;
    it.Cost = it.Wait + Settings.PrefillWeight * reading +
              slowness * (model.base() +
                          Settings.OpenCallWeight * (own.Calls + peers.Calls));
  }
  return out;
}

/// The cheapest, or the first in the conversation's order of those that are as
/// good: hosts hear of each other's sends late, and would all choose the same
/// upstream at the same time.
const ReplicaTable::Candidate &
ReplicaTable::bestOf(const std::vector<Candidate> &all) const {
  double least = std::numeric_limits<double>::max();
  for (const Candidate &it : all)
    least = std::min(least, it.Cost);
  const double allowed =
      least * (1 + Settings.CostToleranceShare) + Settings.CostTolerance;
  const Candidate *best = nullptr;
  for (const Candidate &it : all)
    if (it.Cost <= allowed && (!best || it.Draw > best->Draw))
      best = &it;
  return *best;
}

std::optional<ReplicaChoice>
ReplicaTable::chooseOf(const ReplicaRequest &request, Instant now) {
  const std::vector<Entry *> able = ableTo(request, now);
  if (able.empty())
    return std::nullopt;
  ReplicaChoice choice;
  if (request.Prompt.empty()) {
    choice.Id = leastBusy(able, request)->Record.Id;
    return choice;
  }
  const std::vector<Candidate> all = candidates(able, request, now);
  const Candidate &best = bestOf(all);
  choice.Id = best.Place->Record.Id;
  choice.TokensToPrefill = static_cast<std::int64_t>(best.TokensToPrefill);
  choice.Ahead = static_cast<std::int64_t>(best.Ahead);
  choice.Wait = fromSeconds(best.Wait / 1000);
  choice.FirstToken = fromSeconds(best.FirstToken / 1000);
  return choice;
}

void ReplicaTable::notePrompt(const UpstreamId &id,
                              const std::vector<PromptPart> &prompt,
                              Instant now) {
  for (std::size_t n = 0; n + 1 < prompt.size(); ++n)
    Cached.note(id, prompt[n].Id, now);
}

void ReplicaTable::noteFirstToken(const UpstreamId &id,
                                  const FirstTokenSample &seen, Instant now) {
  const auto it = Entries.find(id);
  if (it != Entries.end())
    Models[it->second.Record.OfService].note(id, seen, now);
}

void ReplicaTable::noteSent(const UpstreamId &id, const CallCost &work,
                            Instant now) {
  const auto it = Entries.find(id);
  if (it == Entries.end())
    return;
  // The first call after an ejection shows whether it works again; until it has
  // ended no other goes there.
  Entry &entry = it->second;
  if (entry.LastEjection > Duration::zero() && entry.Seen == 0)
    entry.IsProbed = true;
  if (isCold(entry, now))
    entry.Allowance.note(now);
  ++it->second.Own.Calls;
  it->second.Own.PromptTokens += work.PromptTokens;
  it->second.Own.Tokens += work.Tokens;
}

void ReplicaTable::noteFirstByte(const UpstreamId &id, const CallCost &work) {
  const auto it = Entries.find(id);
  if (it != Entries.end())
    it->second.Own.PromptTokens -= work.PromptTokens;
}

void ReplicaTable::noteEnded(const UpstreamId &id, const CallCost &work,
                             bool hadFirstByte, SendResult result,
                             Instant now) {
  const auto it = Entries.find(id);
  if (it == Entries.end())
    return;
  Entry &entry = it->second;
  entry.Own.Calls = std::max(0, entry.Own.Calls - 1);
  if (!hadFirstByte)
    entry.Own.PromptTokens -= work.PromptTokens;
  entry.Own.Tokens = std::max<std::int64_t>(0, entry.Own.Tokens - work.Tokens);
  entry.Own.PromptTokens = std::max<std::int64_t>(0, entry.Own.PromptTokens);
  judge(entry, result, now);
}

double ReplicaTable::othersFailureShare(const Entry &entry) const {
  double sum = 0;
  int n = 0;
  for (const auto &[id, it] : Entries) {
    if (&it == &entry || it.Record.OfService != entry.Record.OfService)
      continue;
    sum += it.FailureShare;
    ++n;
  }
  return n == 0 ? 1 : sum / n;
}

void ReplicaTable::judge(Entry &entry, SendResult result, Instant now) {
  if (result == SendResult::Inconclusive) {
    entry.IsProbed = false;
    return;
  }
  const bool isBad =
      result == SendResult::Failed || result == SendResult::Broken;
  const double memory = result == SendResult::Broken
                            ? Settings.FailureMemory * 0.8
                            : Settings.FailureMemory;
  entry.FailureShare =
      memory * entry.FailureShare + (1 - memory) * (isBad ? 1 : 0);
  entry.Seen = std::min(MostSeen, entry.Seen + 1);
  if (entry.IsProbed) {
    entry.IsProbed = false;
    if (!isBad)
      entry.LastEjection = Duration::zero();
    else
      entry.Seen = EnoughSeen;
  }
  const double limit = othersFailureShare(entry) + Settings.OutlierMargin;
  if (!isBad || entry.Seen < EnoughSeen || entry.FailureShare < limit)
    return;
  const Duration next =
      std::min(Settings.LongestEjection, entry.LastEjection * 2);
  entry.LastEjection = std::max(Settings.FirstEjection, next);
  entry.EjectedUntil = now + entry.LastEjection;
  entry.FailureShare = limit;
  entry.Seen = 0;
}

void ReplicaTable::notePeer(const SourceId &peer,
                            std::map<UpstreamId, OutstandingWork> open) {
  std::map<UpstreamId, OutstandingWork> &known = PeerWork[peer];
  for (const auto &[id, work] : known) {
    const auto it = Entries.find(id);
    if (it == Entries.end())
      continue;
    it->second.Peers.Calls -= work.Calls;
    it->second.Peers.PromptTokens -= work.PromptTokens;
    it->second.Peers.Tokens -= work.Tokens;
  }
  known = std::move(open);
  for (const auto &[id, work] : known) {
    const auto it = Entries.find(id);
    if (it == Entries.end())
      continue;
    it->second.Peers.Calls += work.Calls;
    it->second.Peers.PromptTokens += work.PromptTokens;
    it->second.Peers.Tokens += work.Tokens;
  }
}

void ReplicaTable::forgetPeer(const SourceId &peer) {
  notePeer(peer, {});
  PeerWork.erase(peer);
}

std::map<UpstreamId, OutstandingWork> ReplicaTable::ownWork() const {
  std::map<UpstreamId, OutstandingWork> out;
  for (const auto &[id, entry] : Entries)
    if (entry.Own.Calls != 0)
      out[id] = entry.Own;
  return out;
}

OutstandingWork ReplicaTable::workAt(const UpstreamId &id) const {
  const auto it = Entries.find(id);
  if (it == Entries.end())
    return {};
  return {it->second.Own.Calls + it->second.Peers.Calls,
          it->second.Own.PromptTokens + it->second.Peers.PromptTokens,
          it->second.Own.Tokens + it->second.Peers.Tokens};
}

bool ReplicaTable::isEjected(const UpstreamId &id, Instant now) const {
  const auto it = Entries.find(id);
  return it != Entries.end() && now < it->second.EjectedUntil;
}

ReplicaTable::ServiceWork ReplicaTable::serviceWork(const ServiceId &service,
                                                    Instant now) const {
  ServiceWork out;
  for (const auto &[id, entry] : Entries) {
    if (entry.Record.OfService != service || entry.Record.IsLeaving ||
        now < entry.EjectedUntil || isEvacuated(entry.Record.InZone))
      continue;
    out.Calls += entry.Own.Calls + entry.Peers.Calls;
    out.PromptTokens += entry.Own.PromptTokens + entry.Peers.PromptTokens;
    out.Tokens += entry.Own.Tokens + entry.Peers.Tokens;
    out.CallSlots += entry.Record.Slots;
    ++out.Replicas;
  }
  return out;
}

} // namespace sorrelbay
