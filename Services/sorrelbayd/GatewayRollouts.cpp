#include "GatewayRollouts.h"
#include "LibBase/BootClock.h"
#include "LibBase/LogLine.h"
#include "LibPeer/RolloutCodec.h"
#include <algorithm>

namespace sorrelbay {

/// The old replicas stop at once when a rollout is completed. The status is
/// therefore written when they have no open calls, or this long before the
/// deadline.
static constexpr Duration CompletionMargin = milliseconds(1200);
/// Shortest time between two attempts to write a status.
static constexpr Duration WritePause = milliseconds(500);
/// Peers' knowledge counts as up to date if a report arrived this recently.
static constexpr Duration HeardLately = milliseconds(800);

/// The name of a version among all services, since two services may use the
/// same version name.
static VersionId fullName(const ServiceId &service, const VersionId &version) {
  return VersionId(service.text() + "/" + version.text());
}

GatewayRollouts::GatewayRollouts(GatewayState &state, const DutyLease &duties)
    : State(state),
      Duties(duties), Self{state.Settings.Host, state.Incarnation} {}

void GatewayRollouts::take(const Resource &object) {
  try {
    const RolloutOrder order = State.Hooks.ReadRollout(object);
    Move &move = Moves[object.Name];
    const bool isNew = move.Order.Target != order.Target ||
                       move.Order.Service != order.Service;
    if (isNew)
      move = {};
    move.Order = order;
    move.Object = object;
    LogLine(Severity::Info, "move ordered")
        .field("service", order.Service.text())
        .field("version", order.Target.text())
        .field("within_ms", toMilliseconds(order.Within))
        .field("outcome", static_cast<std::int64_t>(order.Outcome))
        .field("revision", static_cast<std::int64_t>(object.Revision));
    if (isNew && order.Outcome != RolloutOutcome::Completed &&
        order.Outcome != RolloutOutcome::RolledBack)
      move.Deadline = State.Time.at(bootNow()) + order.Within;
    if (isNew)
      findOldVersion(move);
  } catch (const Error &error) {
    LogLine(Severity::Warning, "rollout order refused")
        .field("object", object.Name)
        .field("revision", static_cast<std::int64_t>(object.Revision))
        .field("why", error.what());
  }
}

void GatewayRollouts::remove(const std::string &name) { Moves.erase(name); }

/// Sets the old version to the one that most of the service's other replicas
/// have.
void GatewayRollouts::findOldVersion(Move &move) const {
  std::map<VersionId, int> counts;
  for (const ReplicaRecord &it : State.Replicas.records())
    if (it.OfService == move.Order.Service && !it.IsLeaving &&
        it.OfVersion != move.Order.Target)
      ++counts[it.OfVersion];
  if (counts.empty())
    return;
  move.Old = std::max_element(counts.begin(), counts.end(),
                              [](const auto &a, const auto &b) {
                                return a.second < b.second;
                              })
                 ->first;
}

void GatewayRollouts::begin(Move &move, Instant fleetNow) {
  findOldVersion(move);
  if (move.Old.empty())
    return;
  int replicas = 0;
  for (const ReplicaRecord &it : State.Replicas.records())
    if (it.OfService == move.Order.Service && !it.IsLeaving &&
        it.OfVersion == move.Order.Target)
      ++replicas;
  // The rollout begins once the new version has replicas.
  if (replicas == 0)
    return;
  RolloutPlan plan;
  plan.New = fullName(move.Order.Service, move.Order.Target);
  plan.Old = fullName(move.Order.Service, move.Old);
  plan.Deadline = move.Deadline;
  plan.ReplicaShare = 1.0 / std::max(1, replicas);
  for (const ServingRoute &it : State.Plan->plan().Routes) {
    const bool isServed =
        std::any_of(it.ServiceWeights.begin(), it.ServiceWeights.end(),
                    [&](const WeightedService &part) {
                      return part.Name == move.Order.Service;
                    });
    if (!isServed)
      continue;
    Route route;
    route.Id = it.Name;
    route.Service = move.Order.Service;
    // All routes are rolled out together: an order allows only seconds, and
    // routes that must not be retried would wait for evidence from the calls of
    // other routes, which may never come.
    route.Repeatable = true;
    route.LatencyTarget = it.LatencyTarget;
    plan.Routes.push_back(route);
  }
  move.Run.emplace(plan, State.Settings.Host);
  LogLine(Severity::Info, "move begun")
      .field("service", move.Order.Service.text())
      .field("from", move.Old.text())
      .field("to", move.Order.Target.text())
      .field("left_ms", toMilliseconds(move.Deadline - fleetNow));
}

static bool isOver(RolloutOutcome outcome) {
  return outcome == RolloutOutcome::Completed ||
         outcome == RolloutOutcome::RolledBack;
}

void GatewayRollouts::tick(Instant now) {
  if (!State.Plan || Moves.empty())
    return;
  const Instant fleetNow = State.Time.at(now);
  const bool hearsPeers = State.Fleet.members().empty() ||
                          State.Fleet.hasRecentContact(HeardLately, now);
  const bool hearsAll = State.Fleet.collects(State.Self(), now);
  for (auto &[name, move] : Moves) {
    if (isOver(move.Order.Outcome))
      continue;
    if (!move.Run)
      begin(move, fleetNow);
    if (!move.Run)
      continue;
    if (hearsPeers)
      move.Run->refreshed(fleetNow);
    const RolloutStatus before = move.Run->status();
    if (hearsAll)
      move.Run->update(Known, fleetNow);
    else
      move.Run->follow(Known, fleetNow);
    const RolloutStatus after = move.Run->status();
    if (before.State != after.State || before.Stage != after.Stage)
      LogLine(Severity::Info, "move step")
          .field("service", move.Order.Service.text())
          .field("state", toText(after.State))
          .field("stage", static_cast<std::int64_t>(after.Stage))
          .field("share", after.Share.Repeatable)
          .field("reason", after.Reason ? toText(after.Reason->Reason) : "");
    if (Duties.isHeld(now))
      writeStatus(move, now);
  }
}

int GatewayRollouts::openCallsAtOldVersion(const Move &move) const {
  int open = 0;
  for (const ReplicaRecord &it : State.Replicas.records())
    if (it.OfService == move.Order.Service && it.OfVersion == move.Old)
      open += State.Replicas.workAt(it.Id).Calls;
  return open;
}

RolloutOutcome GatewayRollouts::outcomeOf(const Move &move,
                                          Instant fleetNow) const {
  switch (move.Run->state()) {
  case RolloutState::TakenBack:
    return RolloutOutcome::RolledBack;
  case RolloutState::Done:
    return openCallsAtOldVersion(move) == 0 ||
                   fleetNow > move.Deadline - CompletionMargin
               ? RolloutOutcome::Completed
               : RolloutOutcome::InProgress;
  case RolloutState::Moving:
    break;
  }
  return RolloutOutcome::InProgress;
}

void GatewayRollouts::writeStatus(Move &move, Instant now) {
  const RolloutOutcome outcome = outcomeOf(move, State.Time.at(now));
  if (outcome == move.Order.Outcome || IsWriting ||
      now - move.WrittenAt < WritePause)
    return;
  move.WrittenAt = now;
  IsWriting = true;
  Resource object = move.Object;
  object.Status = State.Hooks.RolloutStatusBody(move.Order, outcome);
  State.Hooks.Store.ReplaceStatus(
      ResourceKind::Moves, object,
      [this, name = object.Name, outcome](const StoreResult<Resource> &result) {
        IsWriting = false;
        LogLine(Severity::Info, "move status written")
            .field("move", name)
            .field("outcome", static_cast<std::int64_t>(outcome))
            .field("done", static_cast<std::int64_t>(result.Got.has_value()));
      });
}

VersionPreference GatewayRollouts::versionFor(const ServiceId &service,
                                              const std::string &callId,
                                              Instant now) const {
  for (const auto &[name, move] : Moves) {
    if (move.Order.Service != service)
      continue;
    if (move.Order.Outcome == RolloutOutcome::Completed)
      return {move.Order.Target, VersionId()};
    const bool isBack =
        move.Order.Outcome == RolloutOutcome::RolledBack ||
        (move.Run && move.Run->state() == RolloutState::TakenBack);
    if (isBack || !move.Run)
      return {move.Old, move.Order.Target};
    const VersionId chosen =
        chooseVersion(move.Run->shares(), callId, true, State.Time.at(now));
    const bool isNew = chosen == move.Run->plan().New;
    return {isNew ? move.Order.Target : move.Old, VersionId()};
  }
  return {};
}

void GatewayRollouts::record(const ServiceId &service, const VersionId &version,
                             const RouteId &route, UpstreamOutcome outcome) {
  if (isRollingOut(service))
    Known.Evidence.record(Self, {fullName(service, version), route}, outcome);
}

bool GatewayRollouts::isRollingOut(const ServiceId &service) const {
  return std::any_of(Moves.begin(), Moves.end(), [&](const auto &it) {
    return it.second.Order.Service == service &&
           !isOver(it.second.Order.Outcome);
  });
}

std::string GatewayRollouts::news(ReportScope scope) const {
  const bool hasMove =
      std::any_of(Moves.begin(), Moves.end(), [](const auto &it) {
        return !isOver(it.second.Order.Outcome);
      });
  if (!hasMove)
    return "";
  switch (scope) {
  case ReportScope::Host:
    return encodeRolloutKnowledge(ownPart(Known, Self));
  case ReportScope::Zone:
    return encodeRolloutKnowledge(partOf(Known, [&](const EvidenceSource &it) {
      return State.Fleet.isOfOwnZone(it.Host);
    }));
  case ReportScope::OtherZones:
    return encodeRolloutKnowledge(Known);
  case ReportScope::OwnZone:
    break;
  }
  // Hosts that do not decide need no evidence.
  return encodeRolloutKnowledge(
      partOf(Known, [](const EvidenceSource &) { return false; }));
}

void GatewayRollouts::receive(const std::string &news, Instant /*now*/) {
  if (news.empty())
    return;
  try {
    merge(Known, decodeRolloutKnowledge(news));
  } catch (const RolloutKnowledgeMalformed &error) {
    LogLine(Severity::Warning, "malformed rollout knowledge of a peer ignored")
        .field("why", error.what());
  }
}

} // namespace sorrelbay
