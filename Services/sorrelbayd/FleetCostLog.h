#pragma once

#include "LibBase/Time.h"
#include "LibPeer/FleetCost.h"

namespace sorrelbay {

/// Logs what the messages between entry hosts cost this host, every ten
/// seconds.
class FleetCostLog {
public:
  /// To be called several times a second.
  void log(const FleetCost &cost, Instant now);

private:
  FleetCost Logged;
  Instant LoggedAt{};
};

} // namespace sorrelbay
