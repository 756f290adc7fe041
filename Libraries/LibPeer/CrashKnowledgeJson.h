#pragma once

#include "LibServing/UpstreamCrash.h"
#include <nlohmann/json_fwd.hpp>

namespace sorrelbay {

/// Converts the knowledge to a JSON value, for a peer's CBOR message.
nlohmann::json crashKnowledgeToJson(const CrashKnowledge &knowledge);
/// Converts it back. Throws nlohmann::json::exception if it is not valid.
CrashKnowledge crashKnowledgeFromJson(const nlohmann::json &from);

} // namespace sorrelbay
