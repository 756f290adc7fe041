#pragma once

#include "LibBase/Error.h"
#include "LibDecision/RolloutKnowledge.h"
#include <string>
#include <vector>

namespace sorrelbay {

/// The rollout knowledge received from another daemon is malformed.
class RolloutKnowledgeMalformed : public Error {
public:
  using Error::Error;
};

/// Encodes the knowledge as a JSON document, as daemons exchange it.
std::string encodeRolloutKnowledge(const RolloutKnowledge &knowledge);
/// Decodes such a document. Throws RolloutKnowledgeMalformed if it is not
/// valid.
RolloutKnowledge decodeRolloutKnowledge(const std::string &text);
/// The same, but passes over malformed entries, and adds why to `refused`.
RolloutKnowledge
decodeReadableRolloutKnowledge(const std::string &text,
                               std::vector<std::string> &refused);

} // namespace sorrelbay
