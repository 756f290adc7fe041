#include "RolloutExchange.h"
#include "LibPeer/RolloutCodec.h"
#include <utility>

namespace sorrelbay {

/// The common prefix of the objects' names; the host's id follows.
static constexpr const char *RolloutPrefix = "rollout/";

RolloutExchange::RolloutExchange(ObjectApi objects, HostId self,
                                 RolloutTracker &tracker)
    : Objects(std::move(objects)), Self(std::move(self)), Tracker(tracker) {}

void RolloutExchange::writeOwn() {
  const std::string text = encodeRolloutKnowledge(Tracker.ownKnowledge());
  if (text == LastWritten)
    return;
  const std::string name = RolloutPrefix + Self.text();
  const auto stored = Objects.Read(name);
  // Evidence from this host's earlier processes stays in the object.
  RolloutKnowledge all;
  if (stored)
    all = decodeRolloutKnowledge(stored->Body);
  merge(all, Tracker.ownKnowledge());
  Objects.Write(name, encodeRolloutKnowledge(all),
                stored ? stored->Version : AbsentVersion);
  LastWritten = text;
}

void RolloutExchange::readOthers() {
  const Instant askedAt = now();
  for (const std::string &name : Objects.List(RolloutPrefix))
    if (const auto object = Objects.Read(name))
      Tracker.receive(decodeRolloutKnowledge(object->Body));
  Tracker.confirmKnowledgeUntil(askedAt);
}

void RolloutExchange::exchange() {
  readOthers();
  writeOwn();
}

static PublishedRolloutState stateOf(RolloutState state) {
  switch (state) {
  case RolloutState::Moving:
    return PublishedRolloutState::Moving;
  case RolloutState::Done:
    return PublishedRolloutState::Done;
  case RolloutState::TakenBack:
    return PublishedRolloutState::TakenBack;
  }
  return PublishedRolloutState::Moving;
}

static std::string describeVeto(const Veto &veto) {
  std::string out = toText(veto.Reason);
  if (veto.Reason == RollbackReason::Deadline)
    return out;
  out += veto.OnRoute.empty() ? " on all routes together"
                              : " on route " + veto.OnRoute.text();
  const auto countText = [](const EvidenceCount &count) {
    return std::to_string(count.Failures) + " failed and " +
           std::to_string(count.Late) + " late of " +
           std::to_string(count.Calls);
  };
  return out + ": " + countText(veto.New) + ", the old version " +
         countText(veto.Old) + "; found by " + veto.By.text();
}

RolloutStatusObject statusOf(const RolloutView &rolloutView,
                             std::uint64_t generation) {
  const RolloutStatus &from = rolloutView.Status;
  RolloutStatusObject out;
  out.Version = rolloutView.Version.Id;
  out.Service = rolloutView.Version.Service;
  out.Generation = generation;
  out.State = stateOf(from.State);
  out.Stage = static_cast<int>(from.Stage);
  out.Share = from.State == RolloutState::TakenBack ? 0 : from.Share.Repeatable;
  out.Deadline = rolloutView.Version.Deadline;
  out.Since = from.EndedAt;
  for (const auto &[route, count] : rolloutView.Evidence)
    out.Evidence.push_back({route, count});
  if (from.Reason)
    out.Reason = describeVeto(*from.Reason);
  else if (from.ForcedSteps > 0)
    out.Reason = std::to_string(from.ForcedSteps) +
                 " steps without full evidence, for the deadline";
  return out;
}

static std::uint64_t callsOf(const RolloutStatusObject &status) {
  std::uint64_t sum = 0;
  for (const RouteEvidence &it : status.Evidence)
    sum += it.Count.Calls;
  return sum;
}

/// Whether the status is more advanced than the stored one. Daemons may have
/// different knowledge at the same time, and a less advanced status must not
/// overwrite a more advanced one.
static bool isMoreAdvanced(const RolloutStatusObject &status,
                           const RolloutStatusObject &known) {
  if (known.State == PublishedRolloutState::TakenBack ||
      status.State != known.State)
    return known.State != PublishedRolloutState::TakenBack &&
           status.State > known.State;
  return status.Stage > known.Stage || callsOf(status) > callsOf(known);
}

void RolloutExchange::writeStatus(const RolloutView &rolloutView,
                                  std::uint64_t generation) {
  const RolloutStatusObject status = statusOf(rolloutView, generation);
  const std::string name = RolloutStatusPrefix + status.Version.text();
  const auto stored = Objects.Read(name);
  if (stored) {
    const RolloutStatusObject known = decodeRolloutStatus(stored->Body);
    const bool isSame = known.Generation == generation;
    if (known.Generation > generation ||
        (isSame && !isMoreAdvanced(status, known)))
      return;
  }
  Objects.Write(name, encodeRolloutStatus(status),
                stored ? stored->Version : AbsentVersion);
}

} // namespace sorrelbay
