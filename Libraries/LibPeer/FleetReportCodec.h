#pragma once

#include "LibObjectApi/KindStore.h"
#include "LibServing/FleetReport.h"
#include <string>
#include <variant>

namespace sorrelbay {

/// What entry hosts send each other.
using FleetMessage = std::variant<FleetReport, KindNews>;

/// Either as CBOR.
std::string encodeFleetMessage(const FleetReport &report);
std::string encodeFleetMessage(const KindNews &news);
/// The inverse. Throws PeerMessageRefused.
FleetMessage decodeFleetMessage(const std::string &bytes);

} // namespace sorrelbay
