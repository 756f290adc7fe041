#include "CallAdmission.h"
#include <string>
#include <utility>

namespace sorrelbay {

static std::string describe(AdmissionRefusalCause reason) {
  return reason == AdmissionRefusalCause::QueueFull
             ? "the team has as many calls waiting as it may"
             : "the answer could not begin before the call's deadline";
}

AdmissionRefused::AdmissionRefused(AdmissionRefusalCause reason,
                                   Duration retryAfter)
    : Error(describe(reason)), RetryAfterDelay(retryAfter) {}

CallAdmission::Place::Place(CallAdmission &owner, ServiceId service,
                            std::uint64_t callId)
    : Owner(owner), Service(std::move(service)), CallId(callId) {}

CallAdmission::Place::~Place() {
  const std::lock_guard<std::mutex> lock(Owner.Mutex);
  Owner.take(Owner.Services.at(Service).finish(CallId, now()));
}

void CallAdmission::Place::begin() {
  if (HasBegun.exchange(true))
    return;
  const std::lock_guard<std::mutex> lock(Owner.Mutex);
  Owner.Services.at(Service).begin(CallId, now());
}

void CallAdmission::setTeams(const std::vector<Team> &teams) {
  const std::lock_guard<std::mutex> lock(Mutex);
  Teams = teams;
  for (auto &it : Services)
    it.second.setTeams(teams);
}

Admission &CallAdmission::serviceOf(const ServiceId &service, int places) {
  const auto added = Services.try_emplace(service);
  Admission &admission = added.first->second;
  if (added.second) {
    admission.setTeams(Teams);
    take(admission.setCallSlots(places, now()));
  }
  return admission;
}

std::shared_ptr<CallAdmission::Place>
CallAdmission::enter(const ServiceId &service, QueuedCall call) {
  const int places = CountPlaces(service);
  std::unique_lock<std::mutex> lock(Mutex);
  call.Id = ++LastId;
  take(serviceOf(service, places).arrive(call, now()));
  Decided.wait(lock, [&] { return Decisions.count(call.Id) != 0; });
  const AdmissionAction action = Decisions.at(call.Id);
  Decisions.erase(call.Id);
  if (action.Kind == AdmissionKind::Refuse)
    throw AdmissionRefused(action.Reason, action.RetryAfter);
  return std::make_shared<Place>(*this, service, call.Id);
}

void CallAdmission::tick() {
  std::vector<ServiceId> services;
  {
    const std::lock_guard<std::mutex> lock(Mutex);
    for (const auto &it : Services)
      services.push_back(it.first);
  }
  for (const ServiceId &it : services) {
    const int places = CountPlaces(it);
    const std::lock_guard<std::mutex> lock(Mutex);
    Admission &admission = Services.at(it);
    take(admission.setCallSlots(places, now()));
    take(admission.tick(now()));
  }
}

std::size_t CallAdmission::waiting() const {
  const std::lock_guard<std::mutex> lock(Mutex);
  std::size_t n = 0;
  for (const auto &it : Services)
    n += it.second.queued();
  return n;
}

void CallAdmission::take(const std::vector<AdmissionAction> &actions) {
  for (const AdmissionAction &it : actions)
    Decisions[it.CallId] = it;
  if (!actions.empty())
    Decided.notify_all();
}

} // namespace sorrelbay
