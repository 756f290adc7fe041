#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include "LibLoad/RunningEstimate.h"
#include <map>
#include <utility>
#include <vector>

namespace sorrelbay {

/// A route whose calls have prompts, and a service that it leads to.
struct PromptRoute {
  ServiceId OfService;
  RouteId Route;
  /// The longest time that its calls may take; zero for no limit.
  Duration Timeout{};
};

/// The longest wait for other prompts that a service's engines are given. An
/// engine prefills prompts in the order of their arrival, and one that is kept
/// busy does no more work if more calls wait for it. If calls were admitted as
/// long as they themselves could end in time, those with the most time would
/// lengthen the wait until calls with less time could no longer be served at
/// all. The limit is therefore what the calls of each of the service's routes
/// can wait and still end in time. Not thread-safe.
class PromptWaitLimits {
public:
  /// Sets the routes of the plan in force.
  void setRoutes(const std::vector<PromptRoute> &routes);
  /// A call of the route was sent whose prefill and output take that long.
  void noteSent(const ServiceId &service, const RouteId &route, Duration work);
  /// The longest wait for other prompts; Duration::max() for no limit.
  Duration maxWait(const ServiceId &service) const;

private:
  struct RouteWork {
    Duration Timeout{};
    /// In seconds.
    RunningEstimate Work;
  };

  std::map<ServiceId, std::map<RouteId, RouteWork>> Routes;
};

} // namespace sorrelbay
