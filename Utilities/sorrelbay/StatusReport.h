#pragma once

#include "LibOperator/BundleRoll.h"
#include "LibOperator/RolloutStatusObject.h"
#include <optional>
#include <string>
#include <vector>

namespace sorrelbay {

/// The content of `sorrelbay status`.
struct StatusReport {
  std::optional<CurrentBundle> Current;
  std::vector<RolloutStatusObject> Rollouts;
};

/// Reads the report from the object API. Throws ObjectApiUnavailable or
/// RolloutStatusMalformed.
StatusReport readStatusReport(const ObjectApi &api);

/// Renders a table with a line for each rollout, followed by a line of evidence
/// for each route.
std::string renderTable(const StatusReport &report, bool isColoured);

/// Renders a JSON object on one line, for scripts.
std::string renderJson(const StatusReport &report);

} // namespace sorrelbay
