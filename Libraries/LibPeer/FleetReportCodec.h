#pragma once

#include "LibServing/FleetReport.h"
#include <string>

namespace sorrelbay {

/// A report as one CBOR message.
std::string encodeFleetReport(const FleetReport &report);

/// The inverse. Throws PeerMessageRefused when the bytes are none.
FleetReport decodeFleetReport(const std::string &bytes);

} // namespace sorrelbay
