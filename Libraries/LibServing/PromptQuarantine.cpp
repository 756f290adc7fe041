#include "LibServing/PromptQuarantine.h"
#include <algorithm>
#include <iterator>
#include <set>

namespace sorrelbay {

/// Most that the clocks of two hosts that report to each other differ.
static constexpr Duration MaxClockError = seconds(10);

std::vector<std::string> sharedParts(const std::vector<PromptPart> &prompt) {
  std::vector<std::string> out;
  for (std::size_t n = 0; n + 1 < prompt.size(); ++n)
    if (!isCallSuspect(prompt[n].Id) &&
        std::find(out.begin(), out.end(), prompt[n].Id) == out.end())
      out.push_back(prompt[n].Id);
  return out;
}

PromptQuarantine::PromptQuarantine(PromptQuarantineSettings settings,
                                   ChangeHook onChange)
    : Settings(settings), OnChange(std::move(onChange)) {}

const QuarantineKey *
PromptQuarantine::matching(const ServiceId &service,
                           const std::vector<PromptPart> &prompt) const {
  if (InForce.empty() || prompt.size() < 2)
    return nullptr;
  const auto shared = prompt.end() - 1;
  const auto contains = [&](const std::string &part) {
    return std::any_of(prompt.begin(), shared,
                       [&](const PromptPart &it) { return it.Id == part; });
  };
  for (auto part = prompt.begin(); part != shared; ++part) {
    const auto found = InForce.find(part->Id);
    if (found == InForce.end())
      continue;
    for (const QuarantineKey &it : found->second)
      if (it.Service == service &&
          std::all_of(it.Parts.begin(), it.Parts.end(), contains))
        return &it;
  }
  return nullptr;
}

const QuarantineKey *
PromptQuarantine::matchingCall(const ServiceId &service,
                               const ServingCall &call) const {
  if (InForce.empty())
    return nullptr;
  const QuarantineKey *own = findInForce(service, call.Fingerprint);
  return own ? own : matching(service, call.Prompt);
}

bool PromptQuarantine::isCallQuarantined(const ServiceId &service,
                                         const std::string &fingerprint) const {
  return findInForce(service, fingerprint) != nullptr;
}

/// The quarantine in force that names only that; null if there is none.
const QuarantineKey *
PromptQuarantine::findInForce(const ServiceId &service,
                              const std::string &first) const {
  const auto found = InForce.find(first);
  if (found == InForce.end())
    return nullptr;
  for (const QuarantineKey &it : found->second)
    if (it.Service == service && it.Parts.size() == 1)
      return &it;
  return nullptr;
}

/// The known crash of the same process; null if there is none. A process whose
/// start is not known, or not known yet, may crash again later.
PromptQuarantine::StoredCrash *
PromptQuarantine::findCrash(const UpstreamCrash &crash) {
  const auto it = std::find_if(
      Crashes.begin(), Crashes.end(), [&](const StoredCrash &known) {
        const Duration between = known.Crash.At < crash.At
                                     ? crash.At - known.Crash.At
                                     : known.Crash.At - crash.At;
        return known.Crash.Upstream == crash.Upstream &&
               known.Crash.StartedMs == crash.StartedMs &&
               between <= Settings.SameCrashTime;
      });
  return it == Crashes.end() ? nullptr : &*it;
}

bool PromptQuarantine::addSuspects(UpstreamCrash &known,
                                   const UpstreamCrash &crash, Instant now) {
  bool hasChanged = false;
  for (const auto &[part, send] : crash.Suspects) {
    const auto it = known.Suspects.find(part);
    if (it != known.Suspects.end()) {
      hasChanged = hasChanged || it->second.SentAt < send.SentAt;
      if (it->second.SentAt < send.SentAt)
        it->second = send;
    } else if (isSuspect({known.Service, part}, send) &&
               hasRoomFor(known, part)) {
      known.Suspects[part] = send;
      hasChanged = true;
      const auto survival = Survivals.find({known.Service, part});
      if (survival != Survivals.end())
        survival->second.ReportUntil = now + Settings.ReportTime;
    }
  }
  return hasChanged;
}

/// Whether the crash may have another suspect. A part that is a suspect of
/// other crashes takes the place of one that is not.
bool PromptQuarantine::hasRoomFor(UpstreamCrash &known,
                                  const std::string &part) const {
  if (known.Suspects.size() < Settings.MaxSuspects)
    return true;
  const auto isSuspectElsewhere = [&](const std::string &suspect) {
    return std::any_of(
        Crashes.begin(), Crashes.end(), [&](const StoredCrash &it) {
          return &it.Crash != &known && it.Crash.Service == known.Service &&
                 it.Crash.Suspects.count(suspect) != 0;
        });
  };
  if (!isSuspectElsewhere(part))
    return false;
  const auto other = std::find_if(
      known.Suspects.begin(), known.Suspects.end(),
      [&](const auto &it) { return !isSuspectElsewhere(it.first); });
  if (other == known.Suspects.end())
    return false;
  known.Suspects.erase(other);
  return true;
}

/// Adds the crash, or its suspects to what is known of it. Returns whether
/// anything was new.
bool PromptQuarantine::addCrash(const UpstreamCrash &crash, Instant now) {
  if (crash.Suspects.empty() || crash.At < now - Settings.Retention ||
      crash.At > now + MaxClockError)
    return false;
  if (StoredCrash *known = findCrash(crash))
    return addSuspects(known->Crash, crash, now);
  StoredCrash added;
  added.Crash = crash;
  added.Crash.Suspects.clear();
  added.NotedAt = now;
  addSuspects(added.Crash, crash, now);
  const auto later = std::upper_bound(
      Crashes.begin(), Crashes.end(), crash.At,
      [](Instant at, const StoredCrash &it) { return at < it.Crash.At; });
  Crashes.insert(later, std::move(added));
  HasUnsettledCrash = true;
  return true;
}

void PromptQuarantine::noteCrash(const UpstreamCrash &crash, Instant now) {
  if (addCrash(crash, now)) {
    ++Revision;
    judgeCalls(crash, now);
  }
  dropExcess();
}

/// Whether it matters that calls with the part survive.
bool PromptQuarantine::isWatched(const PromptPartKey &key) const {
  const auto suspects = [&](const StoredCrash &it) {
    return it.Crash.Service == key.Service &&
           it.Crash.Suspects.count(key.Part) != 0;
  };
  const auto names = [&](const auto &it) {
    return it.first.Service == key.Service && it.second.isInForce() &&
           std::binary_search(it.first.Parts.begin(), it.first.Parts.end(),
                              key.Part);
  };
  return std::any_of(Crashes.begin(), Crashes.end(), suspects) ||
         std::any_of(Marks.begin(), Marks.end(), names);
}

void PromptQuarantine::noteAnswered(const ServiceId &service,
                                    const std::string &fingerprint,
                                    Instant now) {
  const PromptPartKey key{service, fingerprint};
  if (isWatched(key) && noteSurvivedAt(key, now, now))
    ++Revision;
  dropExcess();
}

void PromptQuarantine::noteSurvived(const ServiceId &service,
                                    const std::vector<PromptPart> &prompt,
                                    Instant now) {
  for (const std::string &part : sharedParts(prompt)) {
    const PromptPartKey key{service, part};
    if (!isWatched(key))
      Survivals[key].At = now;
    else if (noteSurvivedAt(key, now, now))
      ++Revision;
  }
  dropExcess();
}

/// Returns whether that is news to other hosts.
bool PromptQuarantine::noteSurvivedAt(const PromptPartKey &key, Instant at,
                                      Instant now) {
  Survival &survival = Survivals[key];
  if (survival.At >= at)
    return false;
  // Survivals of a part that is in use all the time are news only if they clear
  // something.
  bool isNews = survival.ReportUntil < now;
  survival.At = at;
  survival.ReportUntil = now + Settings.ReportTime;
  for (StoredCrash &crash : Crashes) {
    if (!(crash.Crash.Service == key.Service))
      continue;
    const auto suspect = crash.Crash.Suspects.find(key.Part);
    if (suspect == crash.Crash.Suspects.end() || suspect->second.SentAt > at)
      continue;
    crash.Crash.Suspects.erase(suspect);
    isNews = true;
  }
  clearQuarantines(key, at, now);
  return isNews;
}

/// Releases the quarantines that name the part and were declared before a call
/// with it survived. Those of several parts go on without it.
void PromptQuarantine::clearQuarantines(const PromptPartKey &key, Instant at,
                                        Instant now) {
  QuarantineMarks cleared;
  for (const auto &[quarantine, mark] : Marks)
    if (quarantine.Service == key.Service && mark.isInForce() &&
        mark.DeclaredAt < at &&
        std::binary_search(quarantine.Parts.begin(), quarantine.Parts.end(),
                           key.Part))
      cleared[quarantine] = mark;
  for (const auto &[quarantine, mark] : cleared) {
    QuarantineKey rest = quarantine;
    rest.Parts.erase(std::find(rest.Parts.begin(), rest.Parts.end(), key.Part));
    if (!rest.Parts.empty())
      declare(rest, mark.Crashes, now);
    release(quarantine, QuarantineChange::Cleared, now);
  }
}

bool PromptQuarantine::mergeMark(const QuarantineKey &key,
                                 const QuarantineMark &mark) {
  if (key.Parts.empty())
    return false;
  QuarantineMark &known = Marks[key];
  const QuarantineMark before = known;
  known.DeclaredAt = std::max(known.DeclaredAt, mark.DeclaredAt);
  known.ReleasedAt = std::max(known.ReleasedAt, mark.ReleasedAt);
  known.Crashes = std::max(known.Crashes, mark.Crashes);
  if (known == before)
    return false;
  if (OnChange && known.isInForce() != before.isInForce())
    OnChange(known.isInForce() ? QuarantineChange::Declared
                               : QuarantineChange::Released,
             key, known);
  return true;
}

void PromptQuarantine::merge(const QuarantineMarks &marks) {
  bool hasChanged = false;
  for (const auto &[key, mark] : marks)
    hasChanged = mergeMark(key, mark) || hasChanged;
  if (hasChanged)
    onMarksChanged();
}

void PromptQuarantine::merge(const CrashKnowledge &other, Instant now) {
  std::vector<const UpstreamCrash *> changed;
  for (const UpstreamCrash &it : other.Crashes)
    if (addCrash(it, now))
      changed.push_back(&it);
  bool hasChanged = !changed.empty();
  for (const auto &[key, at] : other.SurvivedAt)
    hasChanged = noteSurvivedAt(key, std::min(at, now), now) || hasChanged;
  if (hasChanged)
    ++Revision;
  merge(other.Quarantines);
  for (const UpstreamCrash *it : changed)
    judgeCalls(*it, now);
  dropExcess();
}

void PromptQuarantine::declare(const QuarantineKey &key, int crashes,
                               Instant now) {
  QuarantineMark &mark = Marks[key];
  if (mark.isInForce())
    return;
  mark.DeclaredAt = std::max(now, mark.ReleasedAt + Duration(1));
  mark.Crashes = crashes;
  if (OnChange)
    OnChange(QuarantineChange::Declared, key, mark);
  onMarksChanged();
}

void PromptQuarantine::release(const QuarantineKey &key,
                               QuarantineChange change, Instant now) {
  const auto it = Marks.find(key);
  if (it == Marks.end() || !it->second.isInForce())
    return;
  it->second.ReleasedAt = std::max(now, it->second.DeclaredAt);
  if (OnChange)
    OnChange(change, key, it->second);
  onMarksChanged();
}

void PromptQuarantine::onMarksChanged() {
  ++Revision;
  InForce.clear();
  for (const auto &[key, mark] : Marks)
    if (mark.isInForce())
      InForce[key.Parts.front()].push_back(key);
}

/// Whether all parts of a quarantine in force, which is not of a call, are
/// suspects of the crash.
bool PromptQuarantine::isExplainedByPart(const UpstreamCrash &crash) const {
  const auto isSuspected = [&](const std::string &part) {
    return crash.Suspects.count(part) != 0;
  };
  return std::any_of(Marks.begin(), Marks.end(), [&](const auto &it) {
    const auto &[key, mark] = it;
    return mark.isInForce() && key.Service == crash.Service &&
           !isCallSuspect(key.Parts.front()) &&
           std::all_of(key.Parts.begin(), key.Parts.end(), isSuspected);
  });
}

/// The quarantined calls that are suspects of the crash, as
/// SuspectSend::CallHash. They explain it, but for the parts of their own
/// prompts: one of these may be why such calls crash upstreams.
std::set<std::uint64_t>
PromptQuarantine::explainingCalls(const UpstreamCrash &crash) const {
  std::set<std::uint64_t> out;
  for (const auto &[suspect, send] : crash.Suspects)
    if (isCallSuspect(suspect) && isCallQuarantined(crash.Service, suspect))
      out.insert(send.CallHash);
  return out;
}

/// Whether the send is evidence against the part: no call has shown since that
/// the part is sound, and no operator has released it.
bool PromptQuarantine::isSuspect(const PromptPartKey &key,
                                 const SuspectSend &send) const {
  const auto survival = Survivals.find(key);
  if (survival != Survivals.end() && survival->second.At >= send.SentAt)
    return false;
  const auto mark = Marks.find({key.Service, {key.Part}});
  return mark == Marks.end() || mark->second.ReleasedAt < send.SentAt;
}

/// The number of crashes under the part that are independent: each under
/// another call, unless the suspect is a call, which was sent after the crash
/// before or came to its end well after it.
int PromptQuarantine::countSeries(
    const PromptPartKey &key,
    const std::vector<const UpstreamCrash *> &crashes) const {
  const bool isCall = isCallSuspect(key.Part);
  const Duration timeError = isCall ? Settings.FleetTimeError : Duration{};
  int n = 0;
  Instant last{};
  std::set<std::uint64_t> calls;
  for (const UpstreamCrash *it : crashes) {
    const SuspectSend &send = it->Suspects.at(key.Part);
    const bool isIndependent = send.SentAt + timeError >= last ||
                               it->At - last >= Settings.SeparateCrashTime;
    if (!isIndependent || (!calls.insert(send.CallHash).second && !isCall))
      continue;
    last = it->At;
    ++n;
  }
  return n;
}

PromptQuarantine::EvidenceByPart
PromptQuarantine::evidence(bool includesExplained, Instant now) const {
  EvidenceByPart out;
  for (const StoredCrash &it : Crashes) {
    if (now - it.NotedAt < Settings.SettleTime ||
        (!includesExplained && isExplainedByPart(it.Crash)))
      continue;
    std::set<std::uint64_t> calls;
    if (!includesExplained)
      calls = explainingCalls(it.Crash);
    for (const auto &[part, send] : it.Crash.Suspects) {
      const PromptPartKey key{it.Crash.Service, part};
      const bool isOfOtherCall =
          !calls.empty() && calls.count(send.CallHash) == 0;
      if (!isCallSuspect(part) && !isOfOtherCall && isSuspect(key, send))
        out[key].Crashes.push_back(&it.Crash);
    }
  }
  for (auto &[key, found] : out) {
    found.Count = countSeries(key, found.Crashes);
    found.HasSurvived = Survivals.count(key) != 0;
  }
  return out;
}

/// Quarantines the calls that are suspects of the crash and may be sent no
/// more.
void PromptQuarantine::judgeCalls(const UpstreamCrash &crash, Instant now) {
  for (const auto &[suspect, send] : crash.Suspects) {
    const PromptPartKey key{crash.Service, suspect};
    if (!isCallSuspect(suspect) || isCallQuarantined(key.Service, suspect))
      continue;
    std::vector<const UpstreamCrash *> crashes;
    for (const StoredCrash &it : Crashes) {
      if (!(it.Crash.Service == key.Service))
        continue;
      const auto found = it.Crash.Suspects.find(suspect);
      if (found != it.Crash.Suspects.end() && isSuspect(key, found->second))
        crashes.push_back(&it.Crash);
    }
    if (static_cast<int>(crashes.size()) >= Settings.Crashes &&
        isCallFatal(key, crashes))
      declare({key.Service, {suspect}}, static_cast<int>(crashes.size()), now);
  }
}

/// Whether a part or another call that is quarantined explains the crash.
bool PromptQuarantine::isExplained(const UpstreamCrash &crash) const {
  return isExplainedByPart(crash) || !explainingCalls(crash).empty();
}

/// Whether the crashes are enough to quarantine the call, and neither
/// quarantined calls that were sent to the same upstreams nor crashes for other
/// reasons are likely to explain them.
bool PromptQuarantine::isCallFatal(
    const PromptPartKey &call,
    const std::vector<const UpstreamCrash *> &crashes) const {
  Evidence evidence;
  evidence.Count = countSeries(call, crashes);
  evidence.HasSurvived = Survivals.count(call) != 0;
  if (evidence.Count < crashesNeeded(evidence))
    return false;
  const auto sentAt = [&](const UpstreamCrash *it) {
    return it->Suspects.at(call.Part).SentAt;
  };
  const CrashRate rate = otherCrashes(
      call, sentAt(crashes.front()) - Settings.ChanceTime, crashes.back()->At);
  double chance = 1;
  for (const UpstreamCrash *it : crashes)
    chance *= isExplained(*it) ? chanceOfSameUpstream(rate)
                               : chanceOfCrash(rate, it->At - sentAt(it));
  return chance < Settings.MaxChance;
}

/// The crashes under which the call was at another upstream, or at none.
CrashRate PromptQuarantine::otherCrashes(const PromptPartKey &call,
                                         Instant from, Instant to) const {
  CrashRate out;
  out.Within = to - from;
  std::set<UpstreamId> crashed;
  for (const StoredCrash &it : Crashes) {
    if (!(it.Crash.Service == call.Service) || it.Crash.At < from ||
        it.Crash.At > to)
      continue;
    crashed.insert(it.Crash.Upstream);
    if (it.Crash.Suspects.count(call.Part) == 0 && !isExplained(it.Crash))
      ++out.Crashes;
  }
  const auto upstreams = Upstreams.find(call.Service);
  if (upstreams == Upstreams.end())
    return out;
  out.Upstreams = upstreams->second;
  out.AllUpstreams = std::max(out.Upstreams, crashed.size());
  return out;
}

/// The other parts that explain all crashes that the part does, and are not
/// less suspect.
std::vector<PromptPartKey>
PromptQuarantine::rivals(const PromptPartKey &key,
                         const EvidenceByPart &all) const {
  std::vector<PromptPartKey> out;
  const Evidence &own = all.at(key);
  for (const auto &[other, found] : all) {
    const auto isShared = [&theirs = found.Crashes](const auto *it) {
      return std::find(theirs.begin(), theirs.end(), it) != theirs.end();
    };
    if (!(other == key) && other.Service == key.Service &&
        (own.HasSurvived || !found.HasSurvived) &&
        std::all_of(own.Crashes.begin(), own.Crashes.end(), isShared))
      out.push_back(other);
  }
  return out;
}

int PromptQuarantine::crashesNeeded(const Evidence &evidence) const {
  return evidence.HasSurvived ? Settings.CertainCrashes : Settings.Crashes;
}

/// Declares the quarantine that is due and has the most evidence. Returns false
/// if there is none.
bool PromptQuarantine::declareNext(Instant now) {
  const EvidenceByPart all = evidence(false, now);
  std::vector<EvidenceByPart::const_pointer> ranked;
  for (const auto &it : all)
    if (it.second.Count >= crashesNeeded(it.second))
      ranked.push_back(&it);
  std::stable_sort(ranked.begin(), ranked.end(),
                   [](const auto *a, const auto *b) {
                     if (a->second.HasSurvived != b->second.HasSurvived)
                       return b->second.HasSurvived;
                     return a->second.Crashes.size() > b->second.Crashes.size();
                   });
  return std::any_of(ranked.begin(), ranked.end(), [&](const auto *it) {
    return declareWithRivals(it->first, all, now);
  });
}

/// Declares the quarantine of the part, together with the parts that can't be
/// distinguished from it. Those that never came in the same call are
/// quarantined by themselves. Returns false if it is too early for that.
bool PromptQuarantine::declareWithRivals(const PromptPartKey &key,
                                         const EvidenceByPart &all,
                                         Instant now) {
  const Evidence &own = all.at(key);
  QuarantineKey together{key.Service, {key.Part}};
  std::vector<QuarantineKey> apart;
  for (const PromptPartKey &other : rivals(key, all)) {
    const auto isSameCall = [&](const UpstreamCrash *crash) {
      return crash->Suspects.at(key.Part).CallHash ==
             crash->Suspects.at(other.Part).CallHash;
    };
    if (std::any_of(own.Crashes.begin(), own.Crashes.end(), isSameCall))
      together.Parts.push_back(other.Part);
    else
      apart.push_back({other.Service, {other.Part}});
  }
  if (!apart.empty() && own.Count < Settings.CertainCrashes)
    return false;
  const int crashes = own.Count;
  std::sort(together.Parts.begin(), together.Parts.end());
  declare(together, crashes, now);
  for (const QuarantineKey &it : apart)
    declare(it, crashes, now);
  return true;
}

/// Of the parts of a quarantine, those that may still be the cause: the one
/// with the most crashes by now, or those with which no call has survived.
std::vector<std::string>
PromptQuarantine::remainingParts(const QuarantineKey &key,
                                 const EvidenceByPart &all) const {
  std::vector<std::string> unproven;
  std::vector<std::pair<std::size_t, std::string>> ranked;
  for (const std::string &it : key.Parts) {
    const PromptPartKey part{key.Service, it};
    if (Survivals.count(part) != 0)
      continue;
    unproven.push_back(it);
    const auto found = all.find(part);
    const bool isDue =
        found != all.end() && found->second.Count >= Settings.Crashes;
    ranked.emplace_back(isDue ? found->second.Crashes.size() : 0, it);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  if (ranked.size() > 1 && ranked[0].first > ranked[1].first)
    return {ranked[0].second};
  return unproven;
}

/// Takes parts out of quarantines of several that are found to be sound.
void PromptQuarantine::narrow(Instant now) {
  const EvidenceByPart all = evidence(true, now);
  QuarantineMarks several;
  for (const auto &[key, mark] : Marks)
    if (mark.isInForce() && key.Parts.size() > 1)
      several[key] = mark;
  for (const auto &[key, mark] : several) {
    const std::vector<std::string> rest = remainingParts(key, all);
    if (rest.empty() || rest.size() == key.Parts.size())
      continue;
    declare({key.Service, rest}, mark.Crashes, now);
    release(key, QuarantineChange::Cleared, now);
  }
}

/// Releases quarantines all of whose crashes another part explains that has
/// more: the reports that show it arrived after they were declared.
void PromptQuarantine::retractExplained(Instant now) {
  const EvidenceByPart all = evidence(true, now);
  std::vector<QuarantineKey> retracted;
  for (const auto &[key, mark] : Marks) {
    if (!mark.isInForce() || key.Parts.size() != 1)
      continue;
    const auto own = all.find({key.Service, key.Parts.front()});
    if (own == all.end() || own->second.Count < mark.Crashes)
      continue;
    for (const PromptPartKey &other : rivals(own->first, all))
      if (all.at(other).Crashes.size() > own->second.Crashes.size())
        retracted.push_back(key);
  }
  for (const QuarantineKey &it : retracted)
    release(it, QuarantineChange::Cleared, now);
}

void PromptQuarantine::forgetOld(Instant now) {
  const auto isOld = [&](const StoredCrash &it) {
    return it.Crash.At < now - Settings.Retention;
  };
  Crashes.erase(std::remove_if(Crashes.begin(), Crashes.end(), isOld),
                Crashes.end());
  for (auto it = Survivals.begin(); it != Survivals.end();)
    it = it->second.At < now - Settings.Retention ? Survivals.erase(it)
                                                  : std::next(it);
}

/// Keeps the tables bounded. Crashes without suspects and old ones go first.
void PromptQuarantine::dropExcess() {
  if (Crashes.size() > Settings.MaxCrashes) {
    auto it = std::find_if(
        Crashes.begin(), Crashes.end(), [&](const StoredCrash &crash) {
          return crash.Crash.Suspects.empty() || isExplained(crash.Crash);
        });
    Crashes.erase(it == Crashes.end() ? Crashes.begin() : it);
  }
  while (Survivals.size() > Settings.MaxSurvivals)
    Survivals.erase(std::min_element(Survivals.begin(), Survivals.end(),
                                     [](const auto &a, const auto &b) {
                                       return a.second.At < b.second.At;
                                     }));
  while (Marks.size() > Settings.MaxQuarantines) {
    const auto oldest = std::min_element(
        Marks.begin(), Marks.end(), [](const auto &a, const auto &b) {
          if (a.second.isInForce() != b.second.isInForce())
            return b.second.isInForce();
          const bool isCall = isCallSuspect(a.first.Parts.front());
          if (isCall != isCallSuspect(b.first.Parts.front()))
            return isCall;
          return a.second.DeclaredAt < b.second.DeclaredAt;
        });
    Marks.erase(oldest);
    onMarksChanged();
  }
}

void PromptQuarantine::tick(Instant now) {
  forgetOld(now);
  if (Revision == JudgedRevision && !HasUnsettledCrash)
    return;
  retractExplained(now);
  narrow(now);
  while (declareNext(now)) {
  }
  JudgedRevision = Revision;
  HasUnsettledCrash =
      std::any_of(Crashes.begin(), Crashes.end(), [&](const StoredCrash &it) {
        return now - it.NotedAt < Settings.SettleTime;
      });
}

CrashKnowledge PromptQuarantine::durableKnowledge() const {
  CrashKnowledge out;
  out.Quarantines = Marks;
  std::map<PromptPartKey, int> crashesOf;
  for (const StoredCrash &it : Crashes)
    for (const auto &[part, send] : it.Crash.Suspects)
      ++crashesOf[{it.Crash.Service, part}];
  for (const StoredCrash &it : Crashes) {
    if (isExplainedByPart(it.Crash))
      continue;
    UpstreamCrash crash = it.Crash;
    crash.Suspects.clear();
    for (const auto &[part, send] : it.Crash.Suspects) {
      const PromptPartKey key{it.Crash.Service, part};
      if (crashesOf[key] > 1 && Survivals.count(key) == 0)
        crash.Suspects[part] = send;
    }
    if (!crash.Suspects.empty())
      out.Crashes.push_back(std::move(crash));
  }
  if (out.Crashes.size() > Settings.MaxDurableCrashes)
    out.Crashes.erase(out.Crashes.begin(),
                      out.Crashes.end() -
                          static_cast<long>(Settings.MaxDurableCrashes));
  return out;
}

int PromptQuarantine::inForce(const ServiceId &service) const {
  return static_cast<int>(
      std::count_if(Marks.begin(), Marks.end(), [&](const auto &it) {
        return it.first.Service == service && it.second.isInForce();
      }));
}

/// Leaves out the calls that are suspects of that crash only.
void PromptQuarantine::dropUnrepeatedCalls(UpstreamCrash &crash) const {
  for (auto it = crash.Suspects.begin(); it != crash.Suspects.end();) {
    const auto isSuspectOf = [&, &suspect = it->first](const StoredCrash &one) {
      return one.Crash.Service == crash.Service &&
             one.Crash.Suspects.count(suspect) != 0;
    };
    const bool isRepeated =
        std::count_if(Crashes.begin(), Crashes.end(), isSuspectOf) > 1;
    it = isCallSuspect(it->first) && !isRepeated ? crash.Suspects.erase(it)
                                                 : std::next(it);
  }
}

CrashKnowledge PromptQuarantine::knowledge(Instant now) const {
  CrashKnowledge out;
  const std::size_t old =
      Crashes.size() - std::min(Crashes.size(), Settings.MaxReportedCrashes);
  for (std::size_t n = old; n < Crashes.size(); ++n) {
    if (Crashes[n].Crash.At < now - Settings.ReportTime)
      continue;
    out.Crashes.push_back(Crashes[n].Crash);
    if (Crashes[n].Crash.At < now - Settings.CallReportTime)
      dropUnrepeatedCalls(out.Crashes.back());
  }
  for (const auto &[key, survival] : Survivals)
    if (survival.ReportUntil >= now)
      out.SurvivedAt[key] = survival.At;
  out.Quarantines = Marks;
  return out;
}

} // namespace sorrelbay
