#include "LibDecision/Admission.h"
#include "LibBase/Hash.h"
#include "LibBase/Invariant.h"
#include <algorithm>
#include <string>

namespace sorrelbay {

Admission::Admission(AdmissionSettings settings)
    : Settings(settings), Queue(settings.Quantum),
      Rate(settings.InitialDrainRate, settings.InitialResponseTime) {}

void Admission::setTeams(const std::vector<Team> &teams) {
  std::map<TeamId, int> weights;
  for (const Team &it : teams)
    weights[it.Id] = it.Weight;
  Queue.setWeights(std::move(weights));
}

std::vector<AdmissionAction> Admission::setCallSlots(int slotCount,
                                                     Instant now) {
  advance(now);
  Settings.CallSlots = std::max(1, slotCount);
  std::vector<AdmissionAction> actions;
  startWaiting(now, actions);
  return actions;
}

bool Admission::hasFreeCallSlot() const {
  return Started.size() < static_cast<std::size_t>(Settings.CallSlots);
}

void Admission::advance(Instant now) {
  if (now <= Now)
    return;
  if (!hasFreeCallSlot() && Now != Instant{})
    Rate.noteBusyTime(now - Now);
  Now = now;
}

bool Admission::canMeetDeadline(const QueuedCall &call, Duration wait,
                                Instant now) const {
  return now + wait + Rate.responseTime(Settings.ResponseTimeDeviations) <=
         call.Deadline;
}

Duration Admission::expectedWait(const QueuedCall &call,
                                 double safetyFactor) const {
  return fromSeconds(safetyFactor * Queue.costAhead(call) / Rate.rate());
}

std::vector<AdmissionAction> Admission::arrive(const QueuedCall &call,
                                               Instant now) {
  advance(now);
  std::vector<AdmissionAction> actions;
  if (call.Deadline <= now) {
    actions.push_back(
        refuse(call, AdmissionRefusalCause::DeadlineUnreachable, now));
    return actions;
  }
  // Starts the call without an estimate: an estimate that is too high would
  // otherwise refuse every call, and no call would run to correct it.
  if (hasFreeCallSlot() && Queue.size() == 0) {
    start(call, now, actions);
    return actions;
  }
  if (Queue.queuedOf(call.OfTeam) >= Settings.MaxQueuedPerTeam)
    actions.push_back(refuse(call, AdmissionRefusalCause::QueueFull, now));
  else if (!canMeetDeadline(call, expectedWait(call, Settings.WaitSafetyFactor),
                            now))
    actions.push_back(
        refuse(call, AdmissionRefusalCause::DeadlineUnreachable, now));
  else
    Queue.push(call);
  return actions;
}

double Admission::teamRate(const TeamId &team) const {
  return Rate.rate() * Queue.shareOf(team);
}

// Spaces the retries of refused callers at the rate at which the service drains
// for their team, after the waiting calls and the callers refused before. With
// equal delays they would all return at once and be refused again.
Duration Admission::retryAfter(const QueuedCall &call, Instant now) {
  Instant &reservedUntil = ReservedUntil[call.OfTeam];
  const Instant availableAt = std::max(
      now + expectedWait(call, 1) + Settings.MinRetryAfter, reservedUntil);
  if (availableAt < now + Settings.MaxRetryAfter) {
    reservedUntil =
        availableAt + fromSeconds(call.Cost / teamRate(call.OfTeam));
    return availableAt - now;
  }
  // The reservations already reach beyond the largest delay. Spreads the
  // remaining callers over its second half.
  const double share = hashFraction(stableHash(std::to_string(call.Id)));
  return Settings.MaxRetryAfter / 2 +
         fromSeconds(share * toSeconds(Settings.MaxRetryAfter) / 2);
}

AdmissionAction Admission::refuse(const QueuedCall &call,
                                  AdmissionRefusalCause reason, Instant now) {
  return {AdmissionKind::Refuse, call.Id, reason, retryAfter(call, now)};
}

void Admission::start(const QueuedCall &call, Instant now,
                      std::vector<AdmissionAction> &actions) {
  const bool isNew =
      Started.emplace(call.Id, StartedCall{now, call.Cost, false}).second;
  verifyInvariant(isNew, "a call starts once", "the call was already started");
  verifyInvariant(Started.size() <=
                      static_cast<std::size_t>(Settings.CallSlots),
                  "no more calls start than there are places",
                  "a call was started without a free slot");
  verifyInvariant(call.Deadline > now, "no call starts after its deadline",
                  "a call was started after its deadline");
  actions.push_back(
      {AdmissionKind::Start, call.Id, AdmissionRefusalCause::None, Duration{}});
}

void Admission::startWaiting(Instant now,
                             std::vector<AdmissionAction> &actions) {
  const auto missesDeadline = [&](const QueuedCall &it) {
    return !canMeetDeadline(it, Duration{}, now);
  };
  while (hasFreeCallSlot() && Queue.size() > 0) {
    std::vector<QueuedCall> expired;
    const std::optional<QueuedCall> call = Queue.pop(missesDeadline, expired);
    for (const QueuedCall &it : expired)
      actions.push_back(
          refuse(it, AdmissionRefusalCause::DeadlineUnreachable, now));
    if (call)
      start(*call, now, actions);
  }
}

void Admission::begin(std::uint64_t callId, Instant now) {
  const auto found = Started.find(callId);
  if (found == Started.end() || found->second.HasFirstToken)
    return;
  found->second.HasFirstToken = true;
  Rate.noteResponseTime(now - found->second.At);
}

std::vector<AdmissionAction> Admission::finish(std::uint64_t callId,
                                               Instant now) {
  const bool wasBusy = !hasFreeCallSlot();
  advance(now);
  std::vector<AdmissionAction> actions;
  const auto found = Started.find(callId);
  if (found == Started.end())
    return actions;
  if (!found->second.HasFirstToken)
    Rate.noteResponseTime(now - found->second.At);
  if (wasBusy)
    Rate.noteCompletedCost(found->second.Cost);
  Started.erase(found);
  startWaiting(now, actions);
  return actions;
}

std::vector<AdmissionAction> Admission::cancel(std::uint64_t callId,
                                               Instant now) {
  advance(now);
  std::vector<AdmissionAction> actions;
  if (Queue.remove(callId))
    return actions;
  Started.erase(callId);
  startWaiting(now, actions);
  return actions;
}

std::vector<AdmissionAction> Admission::tick(Instant now) {
  advance(now);
  const std::vector<QueuedCall> expired =
      Queue.removeIf([&](const QueuedCall &it) {
        return !canMeetDeadline(it, Duration{}, now);
      });
  std::vector<AdmissionAction> actions;
  actions.reserve(expired.size());
  for (const QueuedCall &it : expired)
    actions.push_back(
        refuse(it, AdmissionRefusalCause::DeadlineUnreachable, now));
  startWaiting(now, actions);
  return actions;
}

} // namespace sorrelbay
