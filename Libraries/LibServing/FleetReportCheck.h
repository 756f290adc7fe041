#pragma once

#include "LibServing/FleetReport.h"
#include <cstddef>

namespace sorrelbay {

/// The number of a report's figures that no host can have, such as negative
/// ones and those that are not finite.
std::size_t countImplausible(const FleetReport &report);

/// Removes the entries with such figures from the report, and sets the figures
/// to zero where they can't be removed. The rest of it counts.
void removeImplausible(FleetReport &report);

} // namespace sorrelbay
