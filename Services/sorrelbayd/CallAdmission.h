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

/// A call was not let in; its caller is answered at once when to come back.
class AdmissionRefused : public Error {
public:
  AdmissionRefused(AdmissionRefusalCause reason, Duration retryAfter);
  Duration retryAfter() const { return RetryAfterDelay; }

private:
  Duration RetryAfterDelay;
};

/// Lets calls in by what the upstreams can take: the threads' side of
/// Admission. A thread whose call waits sleeps here. Thread-safe; its lock is a
/// leaf: nothing else is called while it is held.
class CallAdmission {
public:
  /// How many calls this daemon may have open at a service's upstreams.
  using PlacesOf = std::function<int(const ServiceId &)>;

  /// A call's place, given back when this ends.
  class Place {
  public:
    Place(CallAdmission &owner, ServiceId service, std::uint64_t callId);
    ~Place();
    Place(const Place &) = delete;
    Place &operator=(const Place &) = delete;

    /// The call has its first token.
    void begin();

  private:
    CallAdmission &Owner;
    const ServiceId Service;
    const std::uint64_t CallId;
    std::atomic<bool> HasBegun{false};
  };

  explicit CallAdmission(PlacesOf placesOf)
      : CountPlaces(std::move(placesOf)) {}

  void setTeams(const std::vector<Team> &teams);
  /// Waits until the call may start. Its id is given here. Throws
  /// AdmissionRefused.
  std::shared_ptr<Place> enter(const ServiceId &service, QueuedCall call);
  /// Takes over the places that there are now and refuses what has become
  /// hopeless. To be called often.
  void tick();
  /// Calls that wait for their turn.
  std::size_t waiting() const;

private:
  void take(const std::vector<AdmissionAction> &actions);
  Admission &serviceOf(const ServiceId &service, int places);

  const PlacesOf CountPlaces;
  mutable std::mutex Mutex;
  std::condition_variable Decided;
  std::map<ServiceId, Admission> Services;
  std::vector<Team> Teams;
  /// What was decided for calls whose threads have not woken yet.
  std::map<std::uint64_t, AdmissionAction> Decisions;
  std::uint64_t LastId = 0;
};

} // namespace sorrelbay
