#include "OperatorRequestWatch.h"
#include "LibBase/BootClock.h"
#include "LibBase/LogLine.h"
#include "LibOperator/OperatorRequestsObject.h"
#include "LibServing/AddressLookup.h"
#include <algorithm>

namespace sorrelbay {

namespace {

constexpr const char *UpstreamKind = "upstream";
constexpr const char *HostKind = "host";
constexpr const char *TeamKind = "team";
constexpr const char *UnknownName = "unknown_name";

} // namespace

void OperatorRequestWatch::apply(const Resource &object) {
  if (object.Name != OperatorRequestsName)
    return;
  try {
    std::vector<std::string> refused;
    State.Requests = readOperatorRequests(object.Body, refused);
    State.Refused.noteParts(ResourceKind::Quarantines, object, refused);
    State.Waiting.setWeights(State.Requests.TeamWeights);
    holdUpstreams();
  } catch (const OperatorRequestsMalformed &error) {
    State.Refused.note(ResourceKind::Quarantines);
    LogLine(Severity::Error, "operator requests refused")
        .field("revision", static_cast<std::int64_t>(object.Revision))
        .field("why", error.what());
  }
}

void OperatorRequestWatch::remove(const std::string &name) {
  if (name != OperatorRequestsName)
    return;
  State.Requests = {};
  State.Waiting.setWeights({});
  holdUpstreams();
}

void OperatorRequestWatch::holdUpstreams() {
  State.Replicas.setHeld(
      State.Requests.heldUpstreams(State.Time.at(bootNow())));
}

void OperatorRequestWatch::tick(Instant now) {
  holdUpstreams();
  // Before, all names would count as unknown.
  if (!State.knowsUpstreams() || !State.Plan)
    return;
  const Effects current = effects(now);
  logChanges(current, now);
  count(current);
}

OperatorRequestWatch::Effects OperatorRequestWatch::effects(Instant now) const {
  Effects out;
  addUpstreams(out, State.Time.at(now));
  addHosts(out, now);
  addTeams(out);
  return out;
}

OperatorRequestWatch::Effect
OperatorRequestWatch::effectOf(const OperatorHold &hold, Instant fleetTime) {
  Effect out;
  out.By = hold.By;
  if (hold.Until)
    out.Left = *hold.Until - fleetTime;
  return out;
}

void OperatorRequestWatch::addUpstreams(Effects &to, Instant fleetTime) const {
  for (const auto &[id, hold] : State.Requests.Upstreams) {
    if (!hold.isInForce(fleetTime))
      continue;
    Effect effect = effectOf(hold, fleetTime);
    const ReplicaRecord *record = State.Replicas.find(id);
    if (!record)
      effect.WhyIgnored = UnknownName;
    else if (State.Replicas.areAllHeld(record->OfService))
      effect.WhyIgnored = "all_upstreams_held";
    to[{UpstreamKind, id.text()}] = std::move(effect);
  }
}

void OperatorRequestWatch::addHosts(Effects &to, Instant now) const {
  const Instant fleetTime = State.Time.at(now);
  const std::set<HostId> held = State.Requests.heldHosts(fleetTime);
  if (held.empty())
    return;
  const AddressLookup lookup =
      lookUpAddresses(State.Self(), State.Fleet, now, held);
  const std::vector<HostId> &known = State.Fleet.allHosts();
  const auto contains = [](const std::vector<HostId> &all, const HostId &host) {
    return std::find(all.begin(), all.end(), host) != all.end();
  };
  for (const HostId &host : held) {
    Effect effect = effectOf(State.Requests.Hosts.at(host), fleetTime);
    if (contains(lookup.HoldsIgnored, host))
      effect.WhyIgnored = "over_half_of_hosts";
    else if (!known.empty() && !contains(known, host))
      effect.WhyIgnored = UnknownName;
    to[{HostKind, host.text()}] = std::move(effect);
  }
}

void OperatorRequestWatch::addTeams(Effects &to) const {
  const std::vector<ServingTeam> &teams = State.Plan->plan().Teams;
  for (const auto &[team, weight] : State.Requests.TeamWeights) {
    Effect effect;
    effect.Weight = weight;
    if (std::none_of(
            teams.begin(), teams.end(),
            [&name = team](const ServingTeam &it) { return it.Name == name; }))
      effect.WhyIgnored = UnknownName;
    to[{TeamKind, team.text()}] = std::move(effect);
  }
}

static void logRequest(const char *change, const std::string &kind,
                       const std::string &name, const std::string &why,
                       const std::string &by, Duration left, int weight) {
  LogLine(Severity::Info, "operator request")
      .field("change", change)
      .field("kind", kind)
      .field("name", name)
      .field("why", why)
      .field("by", by)
      .field("left_ms", toMilliseconds(left))
      .field("weight", static_cast<std::int64_t>(weight));
}

void OperatorRequestWatch::logChanges(const Effects &current, Instant now) {
  for (auto it = Logged.begin(); it != Logged.end();) {
    const auto &[key, effect] = *it;
    if (current.count(key) != 0 || !LogBudget.take(now)) {
      ++it;
      continue;
    }
    logRequest("ended", key.first, key.second, "", effect.By, Duration::zero(),
               effect.Weight);
    it = Logged.erase(it);
  }
  for (const auto &[key, effect] : current) {
    const auto logged = Logged.find(key);
    const bool isLogged = logged != Logged.end() &&
                          logged->second.WhyIgnored == effect.WhyIgnored &&
                          logged->second.By == effect.By &&
                          logged->second.Weight == effect.Weight;
    if (isLogged || !LogBudget.take(now))
      continue;
    logRequest(effect.WhyIgnored.empty() ? "in_force" : "ignored", key.first,
               key.second, effect.WhyIgnored, effect.By, effect.Left,
               effect.Weight);
    Logged[key] = effect;
  }
}

void OperatorRequestWatch::count(const Effects &current) {
  std::map<std::pair<std::string, bool>, int> counts;
  for (const auto &[key, effect] : current)
    ++counts[{key.first, effect.WhyIgnored.empty()}];
  for (const char *kind : {UpstreamKind, HostKind, TeamKind})
    for (const bool isInForce : {true, false})
      State.Counts.setOperatorRequests(kind, isInForce ? "in_force" : "ignored",
                                       counts[{kind, isInForce}]);
}

} // namespace sorrelbay
