#include "GatewayRollouts.h"
#include "LibBase/BootClock.h"
#include "LibBase/LogLine.h"
#include "LibPeer/RolloutCodec.h"
#include <algorithm>
#include <sstream>

namespace sorrelbay {

/// The old replicas stop at once when a rollout is completed. The status is
/// therefore written when they have no open calls, or this long before the
/// deadline.
static constexpr Duration CompletionMargin = milliseconds(1200);
/// Faults of peers' knowledge that are remembered, so that each is logged once.
static constexpr std::size_t MaxRefusedKnowledge = 64;
/// The share of calls in the probe, which the next stages double. It must not
/// depend on the replicas that a host knows of: the hosts of a rollout must
/// have the same stages, and the replicas of the new version register one after
/// the other. Rollouts last seconds, so that a smaller one gets too few calls.
static constexpr double ProbeShare = 0.08;
/// Shortest time between two attempts to write a status.
static constexpr Duration MinStatusInterval = milliseconds(500);
/// Interval of the log lines about what a rollout's judge knows, and characters
/// of the routes in such a line.
static constexpr Duration JudgementLogInterval = seconds(1);
static constexpr std::size_t MaxLoggedRoutes = 1000;
/// Peers' knowledge counts as up to date if a report arrived this recently.
static constexpr Duration RecentReportAge = milliseconds(800);

/// The name of a version among all services, since two services may use the
/// same version name.
static VersionId qualifiedName(const ServiceId &service,
                               const VersionId &version) {
  return VersionId(service.text() + "/" + version.text());
}

GatewayRollouts::GatewayRollouts(GatewayState &state, const DutyLease &duties)
    : State(state),
      Duties(duties), Self{state.Settings.Host, state.Incarnation} {}

void GatewayRollouts::applyOrder(const Resource &object) {
  try {
    const RolloutOrder order = State.Hooks.ReadRollout(object);
    ServiceRollout &serviceRollout = RolloutsByName[object.Name];
    const bool isNew = serviceRollout.Order.Target != order.Target ||
                       serviceRollout.Order.Service != order.Service;
    if (isNew)
      serviceRollout = {};
    serviceRollout.Order = order;
    serviceRollout.Object = object;
    LogLine(Severity::Info, "move ordered")
        .field("service", order.Service.text())
        .field("version", order.Target.text())
        .field("within_ms", toMilliseconds(order.Within))
        .field("outcome", static_cast<std::int64_t>(order.Outcome))
        .field("revision", static_cast<std::int64_t>(object.Revision));
    if (isNew && order.Outcome != RolloutOutcome::Completed &&
        order.Outcome != RolloutOutcome::RolledBack)
      serviceRollout.Deadline = State.Time.at(bootNow()) + order.Within;
    if (isNew)
      findOldVersion(serviceRollout);
  } catch (const Error &error) {
    State.Refused.note(ResourceKind::Moves);
    LogLine(Severity::Warning, "rollout order refused")
        .field("object", object.Name)
        .field("revision", static_cast<std::int64_t>(object.Revision))
        .field("why", error.what());
  }
}

void GatewayRollouts::remove(const std::string &name) {
  RolloutsByName.erase(name);
}

/// Sets the old version to the one that most of the service's other replicas
/// have.
void GatewayRollouts::findOldVersion(ServiceRollout &serviceRollout) const {
  std::map<VersionId, int> counts;
  for (const ReplicaRecord &it : State.Replicas.records())
    if (it.OfService == serviceRollout.Order.Service && !it.IsLeaving &&
        it.OfVersion != serviceRollout.Order.Target)
      ++counts[it.OfVersion];
  if (counts.empty())
    return;
  serviceRollout.Old = std::max_element(counts.begin(), counts.end(),
                                        [](const auto &a, const auto &b) {
                                          return a.second < b.second;
                                        })
                           ->first;
}

void GatewayRollouts::begin(ServiceRollout &serviceRollout, Instant fleetNow) {
  findOldVersion(serviceRollout);
  if (serviceRollout.Old.empty())
    return;
  const std::vector<ReplicaRecord> replicas = State.Replicas.records();
  const bool hasNew = std::any_of(
      replicas.begin(), replicas.end(), [&](const ReplicaRecord &it) {
        return it.OfService == serviceRollout.Order.Service && !it.IsLeaving &&
               it.OfVersion == serviceRollout.Order.Target;
      });
  // The rollout begins once the new version has replicas.
  if (!hasNew)
    return;
  RolloutPlan plan;
  plan.New =
      qualifiedName(serviceRollout.Order.Service, serviceRollout.Order.Target);
  plan.Old = qualifiedName(serviceRollout.Order.Service, serviceRollout.Old);
  plan.Deadline = serviceRollout.Deadline;
  plan.ProbeShare = ProbeShare;
  plan.ReplicaShare = 0;
  for (const ServingRoute &it : State.Plan->plan().Routes) {
    const bool isServed =
        std::any_of(it.ServiceWeights.begin(), it.ServiceWeights.end(),
                    [&](const WeightedService &part) {
                      return part.Name == serviceRollout.Order.Service;
                    });
    if (!isServed)
      continue;
    Route route;
    route.Id = it.Name;
    route.Service = serviceRollout.Order.Service;
    // All routes are rolled out together: an order allows only seconds, and
    // routes that must not be retried would wait for evidence from the calls of
    // other routes, which may never come.
    route.Repeatable = true;
    route.LatencyTarget = it.LatencyTarget;
    plan.Routes.push_back(route);
  }
  RolloutSettings settings;
  settings.PoolsRoutes = true;
  settings.EndsOldVersion = true;
  serviceRollout.Run.emplace(plan, State.Settings.Host, settings);
  LogLine(Severity::Info, "move begun")
      .field("service", serviceRollout.Order.Service.text())
      .field("from", serviceRollout.Old.text())
      .field("to", serviceRollout.Order.Target.text())
      .field("left_ms", toMilliseconds(serviceRollout.Deadline - fleetNow));
}

static std::string toText(const EvidenceCount &count) {
  return std::to_string(count.Calls) + "/" + std::to_string(count.Failures) +
         "/" + std::to_string(count.Late);
}

/// The routes' calls of the new and the old version in the stage, each with
/// those that failed and those that were late, and the evidence that a step
/// needs.
static std::string toText(const std::vector<RouteProgress> &routes) {
  std::ostringstream out;
  for (const RouteProgress &it : routes)
    out << (out.tellp() == 0 ? "" : " ") << it.Id.text()
        << " new=" << toText(it.Calls.New) << " old=" << toText(it.Calls.Old)
        << " evidence=" << it.Evidence << " needed=" << it.Needed;
  return out.str().substr(0, MaxLoggedRoutes);
}

/// Logs what this host knows of a rollout that it decides on.
static void logJudgement(const ServiceId &service, const RolloutStatus &status,
                         Duration left) {
  LogLine(Severity::Info, "move judged")
      .field("service", service.text())
      .field("state", toText(status.State))
      .field("stage", static_cast<std::int64_t>(status.Stage))
      .field("share", status.Share.Repeatable)
      .field("left_ms", toMilliseconds(left))
      .field("statistic", status.Statistic)
      .field("routes", toText(status.Routes));
}

static bool isOver(RolloutOutcome outcome) {
  return outcome == RolloutOutcome::Completed ||
         outcome == RolloutOutcome::RolledBack;
}

void GatewayRollouts::tick(Instant now) {
  if (!State.Plan || RolloutsByName.empty())
    return;
  const Instant fleetNow = State.Time.at(now);
  const bool hasRecentReports =
      State.Fleet.members().empty() ||
      State.Fleet.hasRecentContact(RecentReportAge, now);
  const bool mayDecide = State.Fleet.collects(State.Self(), now);
  for (auto &[name, serviceRollout] : RolloutsByName) {
    if (isOver(serviceRollout.Order.Outcome))
      continue;
    if (!serviceRollout.Run)
      begin(serviceRollout, fleetNow);
    if (!serviceRollout.Run)
      continue;
    if (hasRecentReports)
      serviceRollout.Run->confirmKnowledgeUntil(fleetNow);
    const RolloutStatus before = serviceRollout.Run->status();
    if (mayDecide)
      serviceRollout.Run->update(MergedKnowledge, fleetNow);
    else
      serviceRollout.Run->follow(MergedKnowledge, fleetNow);
    const RolloutStatus after = serviceRollout.Run->status();
    if (before.State != after.State || before.Stage != after.Stage)
      LogLine(Severity::Info, "move step")
          .field("service", serviceRollout.Order.Service.text())
          .field("state", toText(after.State))
          .field("stage", static_cast<std::int64_t>(after.Stage))
          .field("share", after.Share.Repeatable)
          .field("reason", after.Reason ? toText(after.Reason->Reason) : "");
    if (mayDecide &&
        (before.Stage != after.Stage ||
         now - serviceRollout.JudgementLoggedAt >= JudgementLogInterval)) {
      serviceRollout.JudgementLoggedAt = now;
      logJudgement(serviceRollout.Order.Service, after,
                   serviceRollout.Deadline - fleetNow);
    }
    if (Duties.isHeld(now))
      writeStatus(serviceRollout, now);
  }
}

int GatewayRollouts::openCallsAtOldVersion(
    const ServiceRollout &serviceRollout) const {
  int open = 0;
  for (const ReplicaRecord &it : State.Replicas.records())
    if (it.OfService == serviceRollout.Order.Service &&
        it.OfVersion == serviceRollout.Old)
      open += State.Replicas.workAt(it.Id).Calls;
  return open;
}

RolloutOutcome GatewayRollouts::outcomeOf(const ServiceRollout &serviceRollout,
                                          Instant fleetNow) const {
  switch (serviceRollout.Run->state()) {
  case RolloutState::TakenBack:
    return RolloutOutcome::RolledBack;
  case RolloutState::Done:
    return openCallsAtOldVersion(serviceRollout) == 0 ||
                   fleetNow > serviceRollout.Deadline - CompletionMargin
               ? RolloutOutcome::Completed
               : RolloutOutcome::InProgress;
  case RolloutState::Moving:
    break;
  }
  return RolloutOutcome::InProgress;
}

void GatewayRollouts::writeStatus(ServiceRollout &serviceRollout, Instant now) {
  const RolloutOutcome outcome = outcomeOf(serviceRollout, State.Time.at(now));
  if (outcome == serviceRollout.Order.Outcome || IsWriting ||
      now - serviceRollout.WrittenAt < MinStatusInterval)
    return;
  serviceRollout.WrittenAt = now;
  IsWriting = true;
  Resource object = serviceRollout.Object;
  object.Status = State.Hooks.RolloutStatusBody(serviceRollout.Order, outcome);
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
  for (const auto &[name, serviceRollout] : RolloutsByName) {
    if (serviceRollout.Order.Service != service)
      continue;
    if (serviceRollout.Order.Outcome == RolloutOutcome::Completed)
      return {serviceRollout.Order.Target, VersionId()};
    const bool mustUseOld =
        serviceRollout.Order.Outcome == RolloutOutcome::RolledBack ||
        (serviceRollout.Run &&
         serviceRollout.Run->state() == RolloutState::TakenBack);
    if (mustUseOld || !serviceRollout.Run)
      return {serviceRollout.Old, serviceRollout.Order.Target};
    const VersionId chosen = chooseVersion(serviceRollout.Run->shares(), callId,
                                           true, State.Time.at(now));
    const bool isNew = chosen == serviceRollout.Run->plan().New;
    return {isNew ? serviceRollout.Order.Target : serviceRollout.Old,
            VersionId()};
  }
  return {};
}

void GatewayRollouts::record(const ServiceId &service, const VersionId &version,
                             const RouteId &route, UpstreamOutcome outcome) {
  if (isRollingOut(service))
    MergedKnowledge.Evidence.record(
        Self, {qualifiedName(service, version), route}, outcome);
}

bool GatewayRollouts::isTarget(const ServiceId &service,
                               const VersionId &version) const {
  return std::any_of(
      RolloutsByName.begin(), RolloutsByName.end(), [&](const auto &it) {
        const RolloutOrder &order = it.second.Order;
        return order.Service == service && order.Target == version &&
               order.Outcome != RolloutOutcome::Completed;
      });
}

bool GatewayRollouts::isRollingOut(const ServiceId &service) const {
  return std::any_of(RolloutsByName.begin(), RolloutsByName.end(),
                     [&](const auto &it) {
                       return it.second.Order.Service == service &&
                              !isOver(it.second.Order.Outcome);
                     });
}

std::string GatewayRollouts::encodedKnowledge(ReportScope scope) const {
  const bool hasOpenRollout = std::any_of(
      RolloutsByName.begin(), RolloutsByName.end(),
      [](const auto &it) { return !isOver(it.second.Order.Outcome); });
  if (!hasOpenRollout)
    return "";
  switch (scope) {
  case ReportScope::Host:
    return encodeRolloutKnowledge(ownPart(MergedKnowledge, Self));
  case ReportScope::Zone:
    return encodeRolloutKnowledge(
        partOf(MergedKnowledge, [&](const EvidenceSource &it) {
          return State.Fleet.isOfOwnZone(it.Host);
        }));
  case ReportScope::OtherZones:
    return encodeRolloutKnowledge(MergedKnowledge);
  case ReportScope::OwnZone:
    break;
  }
  // Hosts that do not decide need no evidence.
  return encodeRolloutKnowledge(
      partOf(MergedKnowledge, [](const EvidenceSource &) { return false; }));
}

void GatewayRollouts::mergePeerKnowledge(const std::string &encoded,
                                         Instant /*now*/) {
  if (encoded.empty())
    return;
  std::vector<std::string> refused;
  try {
    merge(MergedKnowledge, decodeReadableRolloutKnowledge(encoded, refused));
  } catch (const RolloutKnowledgeMalformed &error) {
    refused.emplace_back(error.what());
  }
  // Peers repeat what they know in each report.
  for (const std::string &it : refused) {
    if (RefusedKnowledge.size() >= MaxRefusedKnowledge ||
        !RefusedKnowledge.insert(it).second)
      continue;
    State.Counts.countRefusedEntry("rollout_knowledge");
    LogLine(Severity::Warning, "malformed rollout knowledge of a peer ignored")
        .field("why", it);
  }
}

} // namespace sorrelbay
