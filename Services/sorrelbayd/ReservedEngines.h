#pragma once

#include "GatewayState.h"

namespace sorrelbay {

/// Updates the engines that are reserved for short prompts and logs changes of
/// their number.
class ReservedEngines {
public:
  explicit ReservedEngines(GatewayState &state) : State(state) {}

  /// To be called at each tick of the gateway.
  void tick(Instant now);

private:
  void update(const ServingService &service, Instant now);
  Duration oldestReportAge(Instant now) const;

  GatewayState &State;
};

} // namespace sorrelbay
