#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include "LibServing/UpstreamLoad.h"
#include <map>

namespace sorrelbay {

struct GatewayState;

/// Shows operators which upstreams get fewer calls than others because of what
/// they state about their load.
class UpstreamLoadLog {
public:
  /// Records a statement that is used.
  void note(const UpstreamId &id, const LoadStatement &load);
  /// Logs the upstreams that stated that they are slow since the last time, at
  /// most once every ten seconds.
  void log(Instant now);

private:
  struct Slow {
    int Statements = 0;
    double Slowness = 0;
  };
  std::map<UpstreamId, Slow> SlowUpstreams;
  Instant LoggedAt{};
};

/// Sets the numbers of upstreams that count as slow or whose statements were
/// contradicted, by service.
void setUpstreamLoadMetrics(GatewayState &state, Instant now);

} // namespace sorrelbay
