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

std::vector<AdmissionAction> Admission::setCallSlots(int places, Instant now) {
  advance(now);
  Settings.CallSlots = std::max(1, places);
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
  return now + wait + Rate.hold(Settings.ResponseTimeDeviations) <=
         call.Deadline;
}

Duration Admission::waitFor(const QueuedCall &call, double caution) const {
  return fromSeconds(caution * Queue.costAhead(call) / Rate.rate());
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
  // Without this an estimate that has become too high would refuse everything
  // for good, since nothing would run to correct it.
  if (hasFreeCallSlot() && Queue.size() == 0) {
    start(call, now, actions);
    return actions;
  }
  if (Queue.queuedOf(call.OfTeam) >= Settings.MaxQueuedPerTeam)
    actions.push_back(refuse(call, AdmissionRefusalCause::QueueFull, now));
  else if (!canMeetDeadline(call, waitFor(call, Settings.WaitSafetyFactor),
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

// Refused callers are given room one after the other at the rate at which the
// service drains for their team, behind the calls that wait and the callers
// that were refused before. Told one and the same time, they would all be back
// at once and be refused again.
Duration Admission::retryAfter(const QueuedCall &call, Instant now) {
  Instant &promised = ReservedUntil[call.OfTeam];
  const Instant room =
      std::max(now + waitFor(call, 1) + Settings.MinRetryAfter, promised);
  if (room < now + Settings.MaxRetryAfter) {
    promised = room + fromSeconds(call.Cost / teamRate(call.OfTeam));
    return room - now;
  }
  // More have been promised room than can be for a long while. The rest is
  // spread over the later half.
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
  verifyInvariant(isNew, "a call starts once", "it was started before");
  verifyInvariant(Started.size() <=
                      static_cast<std::size_t>(Settings.CallSlots),
                  "no more calls start than there are places",
                  "a call was started without one");
  verifyInvariant(call.Deadline > now, "no call starts after its deadline",
                  "the deadline had passed");
  actions.push_back(
      {AdmissionKind::Start, call.Id, AdmissionRefusalCause::None, Duration{}});
}

void Admission::startWaiting(Instant now,
                             std::vector<AdmissionAction> &actions) {
  const auto isHopeless = [&](const QueuedCall &it) {
    return !canMeetDeadline(it, Duration{}, now);
  };
  while (hasFreeCallSlot() && Queue.size() > 0) {
    std::vector<QueuedCall> hopeless;
    const std::optional<QueuedCall> call = Queue.pop(isHopeless, hopeless);
    for (const QueuedCall &it : hopeless)
      actions.push_back(
          refuse(it, AdmissionRefusalCause::DeadlineUnreachable, now));
    if (call)
      start(*call, now, actions);
  }
}

void Admission::begin(std::uint64_t callId, Instant now) {
  const auto found = Started.find(callId);
  if (found == Started.end() || found->second.HasBegun)
    return;
  found->second.HasBegun = true;
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
  if (!found->second.HasBegun)
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
  const std::vector<QueuedCall> hopeless =
      Queue.removeIf([&](const QueuedCall &it) {
        return !canMeetDeadline(it, Duration{}, now);
      });
  std::vector<AdmissionAction> actions;
  actions.reserve(hopeless.size());
  for (const QueuedCall &it : hopeless)
    actions.push_back(
        refuse(it, AdmissionRefusalCause::DeadlineUnreachable, now));
  startWaiting(now, actions);
  return actions;
}

} // namespace sorrelbay
