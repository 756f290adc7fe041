#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"
#include "LibDecision/Admission.h"
#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace sorrelbay {

/// A call was rejected. The caller gets the delay before a retry at once.
class AdmissionRefused : public Error {
public:
  AdmissionRefused(AdmissionRefusalCause reason, Duration retryAfter);
  Duration retryAfter() const { return RetryAfterDelay; }

private:
  Duration RetryAfterDelay;
};

/// Admits calls according to the capacity of the upstreams. Wraps Admission for
/// use by several threads: the thread of a waiting call blocks in
/// acquireSlot(). Thread-safe; the lock is a leaf: nothing else is called while
/// it is held.
class CallAdmission {
public:
  /// The number of calls that this daemon may have open at a service's
  /// upstreams.
  using CallSlotsOf = std::function<int(const ServiceId &)>;

  /// The call slot of an admitted call; the destructor releases it.
  class CallSlot {
  public:
    CallSlot(CallAdmission &owner, ServiceId service, std::uint64_t callId);
    ~CallSlot();
    CallSlot(const CallSlot &) = delete;
    CallSlot &operator=(const CallSlot &) = delete;

    /// Records that the call has received its first token.
    void begin();

  private:
    CallAdmission &Owner;
    const ServiceId Service;
    const std::uint64_t CallId;
    std::atomic<bool> HasBegun{false};
  };

  explicit CallAdmission(CallSlotsOf callSlotsOf)
      : CountCallSlots(std::move(callSlotsOf)) {}

  void setTeams(const std::vector<Team> &teams);
  /// Assigns the call an id and waits until it may start. Throws
  /// AdmissionRefused.
  std::shared_ptr<CallSlot> acquireSlot(const ServiceId &service,
                                        QueuedCall call);
  /// Updates the number of call slots and refuses waiting calls that can no
  /// longer start before their deadlines. To be called several times a second.
  void tick();
  /// The number of calls that wait for a call slot.
  std::size_t waiting() const;

private:
  void recordDecisions(const std::vector<AdmissionAction> &actions);
  Admission &serviceOf(const ServiceId &service, int callSlots);

  const CallSlotsOf CountCallSlots;
  mutable std::mutex Mutex;
  std::condition_variable Decided;
  std::map<ServiceId, Admission> Services;
  std::vector<Team> Teams;
  /// The decisions for calls whose threads have not read them yet.
  std::map<std::uint64_t, AdmissionAction> Decisions;
  std::uint64_t LastId = 0;
};

} // namespace sorrelbay
