#include "RolloutExchange.h"
#include "LibPeer/RolloutCodec.h"
#include <utility>

namespace sorrelbay {

/// The objects' common prefix; the host's id follows.
static constexpr const char *RolloutPrefix = "rollout/";

RolloutExchange::RolloutExchange(ObjectApi objects, HostId self,
                                 RolloutTracker &moves)
    : Objects(std::move(objects)), Self(std::move(self)), Moves(moves) {}

void RolloutExchange::tell() {
  const std::string text = encodeRolloutKnowledge(Moves.news());
  if (text == Told)
    return;
  const std::string name = RolloutPrefix + Self.text();
  const auto stored = Objects.Read(name);
  // Evidence of this host's earlier life stays in the pool.
  RolloutKnowledge all;
  if (stored)
    all = decodeRolloutKnowledge(stored->Body);
  merge(all, Moves.news());
  Objects.Write(name, encodeRolloutKnowledge(all),
                stored ? stored->Version : AbsentVersion);
  Told = text;
}

void RolloutExchange::ask() {
  const Instant askedAt = now();
  for (const std::string &name : Objects.List(RolloutPrefix))
    if (const auto object = Objects.Read(name))
      Moves.receive(decodeRolloutKnowledge(object->Body));
  Moves.refreshed(askedAt);
}

void RolloutExchange::exchange() {
  ask();
  tell();
}

static MoveState stateOf(RolloutState state) {
  switch (state) {
  case RolloutState::Moving:
    return MoveState::Moving;
  case RolloutState::Done:
    return MoveState::Done;
  case RolloutState::TakenBack:
    return MoveState::TakenBack;
  }
  return MoveState::Moving;
}

static std::string sentence(const Veto &veto) {
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

MoveStatus statusOf(const RolloutView &move, std::uint64_t generation) {
  const RolloutStatus &from = move.Status;
  MoveStatus out;
  out.Version = move.Version.Id;
  out.Service = move.Version.Service;
  out.Generation = generation;
  out.State = stateOf(from.State);
  out.Stage = static_cast<int>(from.Stage);
  out.Share = from.State == RolloutState::TakenBack ? 0 : from.Share.Repeatable;
  out.Deadline = move.Version.Deadline;
  out.Since = from.EndedAt;
  for (const auto &[route, count] : move.Evidence)
    out.Evidence.push_back({route, count});
  if (from.Reason)
    out.Reason = sentence(*from.Reason);
  else if (from.ForcedSteps > 0)
    out.Reason = std::to_string(from.ForcedSteps) +
                 " steps without full evidence, for the deadline";
  return out;
}

static std::uint64_t callsOf(const MoveStatus &status) {
  std::uint64_t sum = 0;
  for (const RouteEvidence &it : status.Evidence)
    sum += it.Count.Calls;
  return sum;
}

/// Daemons know a little less or more than each other; what says less is not
/// written over what says more.
static bool saysMore(const MoveStatus &status, const MoveStatus &known) {
  if (known.State == MoveState::TakenBack || status.State != known.State)
    return known.State != MoveState::TakenBack && status.State > known.State;
  return status.Stage > known.Stage || callsOf(status) > callsOf(known);
}

void RolloutExchange::writeStatus(const RolloutView &move,
                                  std::uint64_t generation) {
  const MoveStatus status = statusOf(move, generation);
  const std::string name = MoveStatusPrefix + status.Version.text();
  const auto stored = Objects.Read(name);
  if (stored) {
    const MoveStatus known = decodeMoveStatus(stored->Body);
    const bool isSame = known.Generation == generation;
    if (known.Generation > generation || (isSame && !saysMore(status, known)))
      return;
  }
  Objects.Write(name, encodeMoveStatus(status),
                stored ? stored->Version : AbsentVersion);
}

} // namespace sorrelbay
