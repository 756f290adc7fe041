#include "DeskFleet.h"
#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace sorrelbay {

namespace {

constexpr int DeskCount = 4;
constexpr int SlotsOfDesk = 6;
constexpr int Slots = DeskCount * SlotsOfDesk;
/// Calls that a desk keeps waiting before it rejects others.
constexpr std::size_t DeskQueue = SlotsOfDesk;
constexpr Duration ServiceTime = milliseconds(15);
constexpr Duration RejectionTime = milliseconds(1);
constexpr Duration ReportInterval = milliseconds(250);
constexpr Duration RunTime = seconds(20);
constexpr CallQueueLimits QueueLimits{1024, std::size_t{1} << 24};
constexpr int SmallTeams = 15;
/// The part of its remaining time that a caller waits at most to return.
constexpr int ReturnDivisor = 3;

/// Divides the slots in proportion to the demand, by largest remainders.
std::vector<int> divide(const std::vector<double> &demand) {
  const double sum = std::accumulate(demand.begin(), demand.end(), 0.0);
  std::vector<int> out;
  std::vector<std::pair<double, std::size_t>> rests;
  for (std::size_t n = 0; n < demand.size(); ++n) {
    const double exact = Slots * demand[n] / sum;
    out.push_back(static_cast<int>(exact));
    rests.emplace_back(exact - out.back(), n);
  }
  std::sort(rests.rbegin(), rests.rend());
  const int left = Slots - std::accumulate(out.begin(), out.end(), 0);
  for (int n = 0; n < left; ++n)
    ++out[rests[static_cast<std::size_t>(n)].second];
  return out;
}

} // namespace

DeskFleet::Host::Host() : Queue(QueueLimits) {}

DeskFleet::DeskFleet(const DeskFleetPlan &plan)
    : Plan(plan), Random(plan.Seed),
      Hosts(static_cast<std::size_t>(plan.Hosts)), Desks(DeskCount) {
  std::vector<double> shares;
  shares.reserve(Hosts.size());
  for (int n = 0; n < plan.Hosts; ++n)
    shares.push_back(1.0 / (1 + n % 7));
  HostOfCall = {shares.begin(), shares.end()};
  std::vector<double> teams(SmallTeams, 1);
  teams.push_back(plan.LargeTeam);
  TeamOfCall = {teams.begin(), teams.end()};
  const double teamLoad = (SmallTeams + plan.LargeTeam) / (SmallTeams + 1);
  CallsPerSecond = plan.Load * teamLoad * Slots / toSeconds(ServiceTime);
}

DeskFleetResult DeskFleet::play() {
  report();
  scheduleArrival();
  Events.runUntil(Instant{} + RunTime);
  return Result;
}

double DeskFleet::fraction() {
  return std::uniform_real_distribution<double>(0, 1)(Random);
}

std::vector<DeskTally *> DeskFleet::talliesOf(const Call &call) {
  std::vector<DeskTally *> out{&Result.All, call.IsRepeat ? &Result.Repeats
                                                          : &Result.FirstTries};
  if (call.Team < SmallTeams)
    out.push_back(&Result.SmallTeams);
  return out;
}

void DeskFleet::scheduleArrival() {
  const double gap =
      std::exponential_distribution<double>(CallsPerSecond)(Random);
  Events.scheduleAt(Events.now() + fromSeconds(gap), [this] {
    scheduleArrival();
    arriveFirst();
  });
}

void DeskFleet::arriveFirst() {
  Call call;
  call.Team = TeamOfCall(Random);
  const double shortest = std::log(toSeconds(Plan.ShortestTime));
  const double longest = std::log(toSeconds(Plan.LongestTime));
  call.Deadline =
      Events.now() +
      fromSeconds(std::exp(shortest + (longest - shortest) * fraction()));
  arrive(call);
}

int DeskFleet::limitOf(const Host &host) const {
  switch (Plan.How) {
  case PlaceApproach::NoLimit:
    break;
  case PlaceApproach::AdaptiveLimit:
    return host.Limit.limit();
  case PlaceApproach::Leases:
    return host.Lease;
  }
  return std::numeric_limits<int>::max();
}

void DeskFleet::setPace(Host &host) const {
  const auto estimated = [this](Duration time) {
    return fromSeconds(toSeconds(time) * Plan.EstimateFactor);
  };
  const int limit = std::max(1, limitOf(host));
  QueuePace pace;
  pace.StartInterval = estimated(host.Limit.responseTime()) / limit;
  pace.StartDeviation =
      estimated(host.Limit.startDeviation()) * host.Limit.limit() / limit;
  pace.ResponseTime = estimated(host.Limit.longestResponseTime());
  host.Queue.setPace(pace);
}

void DeskFleet::arrive(Call call) {
  const Instant now = Events.now();
  call.Id = ++LastId;
  call.Host = static_cast<std::size_t>(HostOfCall(Random));
  call.ArrivedAt = now;
  Host &host = Hosts[call.Host];
  ++host.Arrived;
  for (DeskTally *tally : talliesOf(call))
    ++tally->Calls;
  Call &added = Calls.emplace(call.Id, call).first->second;
  Events.scheduleAt(call.Deadline, [this, id = call.Id] { leave(id); });
  if (host.Queue.size() == 0 && host.Open < limitOf(host))
    return send(added);
  setPace(host);
  refuse(host, host.Queue.add({call.Id, TeamId(std::to_string(call.Team)), 0,
                               now, call.Deadline, 0},
                              now));
  armTimer(host);
}

void DeskFleet::armTimer(Host &host) {
  const auto next = host.Queue.nextExpiry();
  const Instant now = Events.now();
  if (!next || (host.TimerAt > now && host.TimerAt <= *next + microseconds(1)))
    return;
  host.TimerAt = std::max(now, *next) + microseconds(1);
  Events.scheduleAt(host.TimerAt, [this, &host] { dispatch(host); });
}

/// The caller has no time left. A desk drops the call unless it runs already.
void DeskFleet::leave(std::uint64_t id) {
  const auto found = Calls.find(id);
  if (found == Calls.end())
    return;
  Call &call = found->second;
  call.HasCallerLeft = true;
  Host &host = Hosts[call.Host];
  if (host.Queue.remove(id)) {
    Result.Decisions.push_back({id, "left", Events.now(), {}});
    Calls.erase(found);
  }
}

void DeskFleet::refuse(Host &host, const std::vector<WaitRefusal> &refusals) {
  for (const WaitRefusal &it : refusals) {
    const Call call = Calls.at(it.Id);
    Calls.erase(it.Id);
    const Instant startBy = call.Deadline - host.Limit.responseTime();
    if (call.ArrivedAt < startBy)
      Result.RefusalDelays.push_back(
          std::max(0.0, toSeconds(Events.now() - startBy) * 1000));
    refuseCall(call, toText(it.Cause), it.ReturnAfter);
  }
}

void DeskFleet::refuseCall(const Call &call, const char *cause,
                           Duration returnAfter) {
  const Instant now = Events.now();
  Result.Decisions.push_back({call.Id, cause, now, returnAfter});
  if (!Plan.DoCallersReturn || call.IsRepeat || call.Deadline <= now)
    return;
  const Duration delay =
      std::min(returnAfter, (call.Deadline - now) / ReturnDivisor);
  Call repeat;
  repeat.Team = call.Team;
  repeat.Deadline = call.Deadline;
  repeat.IsRepeat = true;
  Events.scheduleAt(now + delay, [this, repeat] { arrive(repeat); });
}

void DeskFleet::dispatch(Host &host) {
  setPace(host);
  refuse(host, host.Queue.expire(Events.now()));
  while (host.Open < limitOf(host)) {
    const auto started = host.Queue.start(Events.now());
    if (!started)
      break;
    send(Calls.at(started->Id));
  }
  armTimer(host);
}

/// Sends the call to the better of two random desks. Hosts do not know what
/// the others have sent there just now.
void DeskFleet::send(Call &call) {
  call.SentAt = Events.now();
  Result.Decisions.push_back({call.Id, "sent", call.SentAt, {}});
  ++Hosts[call.Host].Open;
  Desk &first = Desks[Random() % DeskCount];
  Desk &second = Desks[Random() % DeskCount];
  Desk &desk = first.Running <= second.Running ? first : second;
  if (desk.Running < SlotsOfDesk)
    return run(desk, call);
  if (desk.Waiting.size() < DeskQueue)
    return desk.Waiting.push_back(call.Id);
  reject(call);
}

void DeskFleet::reject(Call &call) {
  ++Result.RejectedByDesks;
  Events.scheduleAt(Events.now() + RejectionTime, [this, id = call.Id] {
    const Call rejected = Calls.at(id);
    Calls.erase(id);
    Host &host = Hosts[rejected.Host];
    --host.Open;
    host.Limit.noteRejected(rejected.SentAt, Events.now());
    refuseCall(rejected, "rejected", RejectionTime);
    dispatch(host);
  });
}

void DeskFleet::run(Desk &desk, Call &call) {
  ++desk.Running;
  const Duration took =
      fromSeconds(toSeconds(ServiceTime) * (0.5 + fraction()));
  Events.scheduleAt(Events.now() + took,
                    [this, &desk, id = call.Id, took] { end(desk, id, took); });
}

void DeskFleet::end(Desk &desk, std::uint64_t id, Duration took) {
  --desk.Running;
  Result.Work += took;
  const Call call = Calls.at(id);
  Calls.erase(id);
  while (!desk.Waiting.empty() && desk.Running < SlotsOfDesk) {
    const std::uint64_t next = desk.Waiting.front();
    desk.Waiting.pop_front();
    Call &waiting = Calls.at(next);
    if (!waiting.HasCallerLeft) {
      run(desk, waiting);
      continue;
    }
    --Hosts[waiting.Host].Open;
    Calls.erase(next);
  }
  Host &host = Hosts[call.Host];
  if (call.HasCallerLeft) {
    Result.WorkInVain += took;
  } else {
    host.Limit.noteResponse(Events.now() - call.SentAt, host.Open);
    for (DeskTally *tally : talliesOf(call))
      ++tally->Answered;
  }
  --host.Open;
  dispatch(host);
}

/// Reports what each host has open and what arrived there. Reports apply with
/// a delay, as they do between hosts.
void DeskFleet::report() {
  int all = 0;
  std::vector<double> demand;
  for (Host &it : Hosts) {
    all += it.Open + static_cast<int>(it.Queue.size());
    demand.push_back(it.Arrived + 0.01);
    it.Arrived = 0;
  }
  const std::vector<int> leases = divide(demand);
  for (std::size_t n = 0; n < Hosts.size(); ++n) {
    if (Plan.HasBadReports && fraction() < 1.0 / 3)
      continue;
    const bool isContradicting = Plan.HasBadReports && fraction() < 0.1;
    const int reported =
        isContradicting ? static_cast<int>(all * 3 * fraction()) : all;
    const int lease =
        isContradicting ? leases[Random() % leases.size()] : leases[n];
    const double latest = Plan.HasBadReports ? 2 : 0.25;
    Events.scheduleAt(
        Events.now() + fromSeconds(latest * fraction()),
        [this, n, reported, lease] {
          Host &host = Hosts[n];
          const int own = host.Open + static_cast<int>(host.Queue.size());
          host.Limit.updateShare({Slots, Plan.Hosts, own, reported});
          host.Lease = lease;
          dispatch(host);
        });
  }
  Events.scheduleAt(Events.now() + ReportInterval, [this] { report(); });
}

} // namespace sorrelbay
