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

CallAdmission::CallSlot::CallSlot(CallAdmission &owner, ServiceId service,
                                  std::uint64_t callId)
    : Owner(owner), Service(std::move(service)), CallId(callId) {}

CallAdmission::CallSlot::~CallSlot() {
  const std::lock_guard<std::mutex> lock(Owner.Mutex);
  Owner.recordDecisions(Owner.Services.at(Service).finish(CallId, now()));
}

void CallAdmission::CallSlot::begin() {
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

Admission &CallAdmission::serviceOf(const ServiceId &service, int callSlots) {
  const auto added = Services.try_emplace(service);
  Admission &admission = added.first->second;
  if (added.second) {
    admission.setTeams(Teams);
    recordDecisions(admission.setCallSlots(callSlots, now()));
  }
  return admission;
}

std::shared_ptr<CallAdmission::CallSlot>
CallAdmission::acquireSlot(const ServiceId &service, QueuedCall call) {
  const int callSlots = CountCallSlots(service);
  std::unique_lock<std::mutex> lock(Mutex);
  call.Id = ++LastId;
  recordDecisions(serviceOf(service, callSlots).arrive(call, now()));
  Decided.wait(lock, [&] { return Decisions.count(call.Id) != 0; });
  const AdmissionAction action = Decisions.at(call.Id);
  Decisions.erase(call.Id);
  if (action.Kind == AdmissionKind::Refuse)
    throw AdmissionRefused(action.Reason, action.RetryAfter);
  return std::make_shared<CallSlot>(*this, service, call.Id);
}

void CallAdmission::tick() {
  std::vector<ServiceId> services;
  {
    const std::lock_guard<std::mutex> lock(Mutex);
    for (const auto &it : Services)
      services.push_back(it.first);
  }
  for (const ServiceId &it : services) {
    const int callSlots = CountCallSlots(it);
    const std::lock_guard<std::mutex> lock(Mutex);
    Admission &admission = Services.at(it);
    recordDecisions(admission.setCallSlots(callSlots, now()));
    recordDecisions(admission.tick(now()));
  }
}

std::size_t CallAdmission::waiting() const {
  const std::lock_guard<std::mutex> lock(Mutex);
  std::size_t n = 0;
  for (const auto &it : Services)
    n += it.second.queued();
  return n;
}

void CallAdmission::recordDecisions(
    const std::vector<AdmissionAction> &actions) {
  for (const AdmissionAction &it : actions)
    Decisions[it.CallId] = it;
  if (!actions.empty())
    Decided.notify_all();
}

} // namespace sorrelbay
