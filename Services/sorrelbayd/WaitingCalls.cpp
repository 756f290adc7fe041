#include "WaitingCalls.h"
#include "GatewayState.h"
#include "LibBase/BootClock.h"
#include "LibBase/LogLine.h"
#include "LibHttp/TimerExpiry.h"
#include "LibServing/DeskPlacement.h"
#include <algorithm>
#include <boost/asio/post.hpp>

namespace sorrelbay {

/// The interval of reports from other hosts, on which the shares depend.
static constexpr Duration UpdateInterval = milliseconds(250);

/// The cause in logs of a refusal.
static const char *causeOf(WaitRefusalCause cause) {
  switch (cause) {
  case WaitRefusalCause::Full:
    return "waiting_full";
  case WaitRefusalCause::Hopeless:
    return "waiting_hopeless";
  case WaitRefusalCause::Displaced:
    return "waiting_displaced";
  case WaitRefusalCause::TimedOut:
    break;
  }
  return "waiting_timed_out";
}

bool WaitingCalls::isOff() const { return State.Settings.MaxWaitingCalls == 0; }

WaitingCalls::Places &WaitingCalls::placesOf(const ServiceId &service) {
  std::unique_ptr<Places> &places = Services[service];
  if (!places) {
    places = std::make_unique<Places>(
        CallQueueLimits{State.Settings.MaxWaitingCalls,
                        State.Settings.MaxWaitingBytes},
        State.Loop);
    places->Queue.setWeights(Weights);
  }
  return *places;
}

/// Updates whether the service's calls are limited, and this host's share.
void WaitingCalls::update(const ServiceId &service, Places &places,
                          Instant now) {
  if (now - places.UpdatedAt < UpdateInterval)
    return;
  places.UpdatedAt = now;
  const ServingService *known =
      State.Plan ? State.Plan->service(service) : nullptr;
  const ReplicaTable::ServiceWork work =
      State.Replicas.serviceWork(service, now);
  const int hosts = State.Fleet.hostCount();
  places.IsLimited = known && !known->Engine && work.Replicas > 0 &&
                     areSlotsScarce(work.Replicas, work.CallSlots, hosts);
  const int waiting = static_cast<int>(places.Queue.size());
  places.Limit.updateShare(
      {work.CallSlots, hosts, places.Open + waiting, work.Calls + waiting});
}

void WaitingCalls::updatePace(Places &places) {
  QueuePace pace;
  pace.StartInterval = places.Limit.startInterval();
  pace.StartDeviation = places.Limit.startDeviation();
  pace.ResponseTime = places.Limit.longestResponseTime();
  places.Queue.setPace(pace);
}

std::optional<std::uint64_t> WaitingCalls::enter(PlaceRequest request,
                                                 Instant now) {
  if (isOff())
    return std::nullopt;
  const ServiceId service = request.Service;
  Places &places = placesOf(service);
  update(service, places, now);
  const bool hasPlace =
      places.Queue.size() == 0 && places.Open < places.Limit.limit();
  if (!places.IsLimited || hasPlace)
    return std::nullopt;
  const std::uint64_t id = ++LastId;
  request.Call.Id = id;
  const WaitingCall call = request.Call;
  places.Requests.emplace(id, std::move(request));
  updatePace(places);
  if (IsClosed)
    refuse(service, places, {{id, WaitRefusalCause::Hopeless, {}}});
  else
    refuse(service, places, places.Queue.add(call, now));
  postDispatch(service, places);
  return id;
}

void WaitingCalls::withdraw(const ServiceId &service, std::uint64_t id) {
  Places &places = placesOf(service);
  places.Queue.remove(id);
  places.Requests.erase(id);
}

void WaitingCalls::noteOpened(const ServiceId &service) {
  if (!isOff())
    ++placesOf(service).Open;
}

void WaitingCalls::noteEnded(const ServiceId &service, const EndedCall &ended,
                             Instant now) {
  if (isOff())
    return;
  Places &places = placesOf(service);
  if (ended.Result == SendResult::Answered)
    places.Limit.noteResponse(now - ended.SentAt, places.Open);
  --places.Open;
  const bool isLowered = ended.Result == SendResult::Rejected &&
                         places.Limit.noteRejected(ended.SentAt, now);
  if (isLowered && places.IsLimited && State.StatementLogBudget.take(now))
    LogLine(Severity::Info, "place limit lowered")
        .field("service", service.text())
        .field("limit", static_cast<std::int64_t>(places.Limit.limit()))
        .field("open", static_cast<std::int64_t>(places.Open))
        .field("waiting", static_cast<std::int64_t>(places.Queue.size()));
  if (places.Queue.size() != 0)
    postDispatch(service, places);
}

/// Refusals are passed on in handlers of their own, so that a call is not ended
/// by another one's call to this object.
void WaitingCalls::refuse(const ServiceId &service, Places &places,
                          const std::vector<WaitRefusal> &refusals) {
  for (const WaitRefusal &it : refusals) {
    auto found = places.Requests.find(it.Id);
    State.Counts.countWaitRefusal(service.text(), toText(it.Cause));
    boost::asio::post(State.Loop,
                      [onRefused = std::move(found->second.OnRefused),
                       cause = IsClosed ? "stopping" : causeOf(it.Cause),
                       after = it.ReturnAfter] { onRefused(cause, after); });
    places.Requests.erase(found);
  }
}

/// Starts calls in a handler of its own, so that a call is not started while
/// another one is ending.
void WaitingCalls::postDispatch(const ServiceId &service, Places &places) {
  if (places.IsDispatchPosted)
    return;
  places.IsDispatchPosted = true;
  boost::asio::post(State.Loop, [this, service] { dispatch(service); });
}

void WaitingCalls::dispatch(const ServiceId &service) {
  Places &places = placesOf(service);
  places.IsDispatchPosted = false;
  const Instant now = bootNow();
  update(service, places, now);
  updatePace(places);
  // A host that was frozen has calls whose time is over although places are
  // free now.
  refuse(service, places, places.Queue.expire(now));
  while (!places.IsLimited || places.Open < places.Limit.limit()) {
    const auto started = places.Queue.start(now);
    if (!started)
      break;
    const auto found = places.Requests.find(started->Id);
    const PlaceRequest request = std::move(found->second);
    places.Requests.erase(found);
    State.Counts.observeWait(service.text(), started->Waited);
    request.OnStart(started->Waited);
  }
  armTimer(service, places, now);
}

void WaitingCalls::armTimer(const ServiceId &service, Places &places,
                            Instant now) {
  const auto next = places.Queue.nextExpiry();
  if (!next) {
    places.Timer.cancel();
    return;
  }
  // A call may still start at the very time of its expiry.
  places.Timer.expires_after(std::max<Duration>(*next - now, Duration::zero()) +
                             microseconds(1));
  places.Timer.async_wait(
      [this, service, &places](boost::system::error_code ec) {
        if (!ec && hasExpired(places.Timer))
          dispatch(service);
      });
}

void WaitingCalls::close() {
  IsClosed = true;
  for (auto &[service, places] : Services)
    refuse(service, *places, places->Queue.removeAll());
}

void WaitingCalls::setWeights(const std::map<TeamId, int> &weights) {
  Weights = weights;
  for (auto &[service, places] : Services)
    places->Queue.setWeights(weights);
}

std::size_t WaitingCalls::waiting(const ServiceId &service) const {
  const auto found = Services.find(service);
  return found == Services.end() ? 0 : found->second->Queue.size();
}

} // namespace sorrelbay
