#pragma once

#include "LibObjectApi/ResourceStore.h"
#include "LibServing/FleetReport.h"
#include <string>
#include <variant>

namespace sorrelbay {

/// The messages that entry hosts send to each other.
using FleetMessage = std::variant<FleetReport, RelayedChanges>;

/// Encodes the message as CBOR.
std::string encodeFleetMessage(const FleetReport &report);
std::string encodeFleetMessage(const RelayedChanges &relayedChanges);
/// Decodes a message. Throws PeerMessageRefused if it is malformed or has
/// another format number.
FleetMessage decodeFleetMessage(const std::string &bytes);

} // namespace sorrelbay
