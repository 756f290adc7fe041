#pragma once

#include "LibDecision/RolloutKnowledge.h"
#include <nlohmann/json_fwd.hpp>

namespace sorrelbay {

/// Converts the knowledge to a JSON value, for use within this library: as a
/// document in the object API, or as a part of a peer's CBOR message.
nlohmann::json rolloutToJson(const RolloutKnowledge &knowledge);
/// Converts it back. Throws RolloutKnowledgeMalformed if it is not valid.
RolloutKnowledge rolloutFromJson(const nlohmann::json &from);

} // namespace sorrelbay
