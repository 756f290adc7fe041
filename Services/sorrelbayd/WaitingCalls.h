#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include "LibServing/CallQueue.h"
#include "LibServing/PlaceLimit.h"
#include "LibServing/UpstreamHealth.h"
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace sorrelbay {

struct GatewayState;

/// A call that needs a place at a service's upstreams, and what is done with
/// it. Exactly one of the functions is called, on the event loop, unless the
/// call is withdrawn before.
struct PlaceRequest {
  ServiceId Service;
  /// The call's Id is assigned by WaitingCalls.
  WaitingCall Call;
  std::function<void(Duration waited)> OnStart;
  /// The time after which the caller may return is zero if it is not known.
  std::function<void(const char *cause, Duration returnAfter)> OnRefused;
};

/// What a call that has left its upstream shows of the room there.
struct EndedCall {
  SendResult Result = SendResult::Inconclusive;
  /// When it was sent.
  Instant SentAt{};
};

/// Limits the calls that this host has open at the upstreams of services
/// without engines, and keeps the calls beyond that waiting. Used on the event
/// loop's thread only.
class WaitingCalls {
public:
  explicit WaitingCalls(GatewayState &state) : State(state) {}

  /// Returns nothing if the call may be sent at once. Otherwise it waits, or is
  /// refused soon, and the result names it to `withdraw`.
  std::optional<std::uint64_t> enter(PlaceRequest request, Instant now);
  /// The caller has left, or the call has ended for another reason.
  void withdraw(const ServiceId &service, std::uint64_t id);
  /// A call was sent to an upstream, whether or not it had to wait.
  void noteOpened(const ServiceId &service);
  void noteEnded(const ServiceId &service, const EndedCall &ended, Instant now);
  /// Refuses all waiting calls and those that would have to wait from now on:
  /// the process is about to exit.
  void close();
  /// Weights of teams; 1 for the others.
  void setWeights(const std::map<TeamId, int> &weights);

  std::size_t waiting(const ServiceId &service) const;

private:
  struct Places {
    Places(const CallQueueLimits &limits, boost::asio::io_context &loop)
        : Queue(limits), Timer(loop) {}

    CallQueue Queue;
    PlaceLimit Limit;
    /// Calls of this host that are open at the service's upstreams.
    int Open = 0;
    /// The service meets the conditions for a limit.
    bool IsLimited = false;
    bool IsDispatchPosted = false;
    Instant UpdatedAt{};
    std::map<std::uint64_t, PlaceRequest> Requests;
    boost::asio::steady_timer Timer;
  };

  bool isOff() const;
  Places &placesOf(const ServiceId &service);
  void update(const ServiceId &service, Places &places, Instant now);
  static void updatePace(Places &places);
  void refuse(const ServiceId &service, Places &places,
              const std::vector<WaitRefusal> &refusals);
  void postDispatch(const ServiceId &service, Places &places);
  void dispatch(const ServiceId &service);
  void armTimer(const ServiceId &service, Places &places, Instant now);

  GatewayState &State;
  std::map<ServiceId, std::unique_ptr<Places>> Services;
  std::map<TeamId, int> Weights;
  std::uint64_t LastId = 0;
  bool IsClosed = false;
};

} // namespace sorrelbay
