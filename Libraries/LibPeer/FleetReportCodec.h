#pragma once

#include "LibObjectApi/ResourceStore.h"
#include "LibServing/FleetReport.h"
#include <string>
#include <variant>

namespace sorrelbay {

/// What entry hosts send each other.
using FleetMessage = std::variant<FleetReport, RelayedChanges>;

/// Either as CBOR.
std::string encodeFleetMessage(const FleetReport &report);
std::string encodeFleetMessage(const RelayedChanges &news);
/// The inverse. Throws PeerMessageRefused.
FleetMessage decodeFleetMessage(const std::string &bytes);

} // namespace sorrelbay
