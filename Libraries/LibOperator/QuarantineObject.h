#pragma once

#include "LibBase/Error.h"
#include "LibServing/UpstreamCrash.h"
#include <string>
#include <vector>

namespace sorrelbay {

/// The stored quarantines can't be read.
class QuarantineObjectMalformed : public Error {
public:
  using Error::Error;
};

/// The name of the object in the store that holds all quarantines, and the
/// crashes that may lead to others.
constexpr const char *QuarantineObjectName = "prompts";

/// The id of a prompt's part as operators and the store see it. Callers choose
/// the ids, which need not be text: other bytes than letters, digits and "-_.:"
/// are written as "%" and two hexadecimal digits.
std::string readablePart(const std::string &part);

/// Renders quarantines and crashes as the JSON text of the object's body.
std::string renderQuarantineObject(const CrashKnowledge &knowledge);
/// The inverse. Throws QuarantineObjectMalformed.
CrashKnowledge parseQuarantineObject(const std::string &body);
/// The same, but leaves out malformed entries, and adds why to `refused`: the
/// other quarantines stay in force.
CrashKnowledge readQuarantineObject(const std::string &body,
                                    std::vector<std::string> &refused);

/// Releases all quarantines in force that name the part, also those of several
/// parts, at `now`. The part's id is readable or as callers name it. Returns
/// how many there were.
int releaseQuarantines(QuarantineMarks &marks, const std::string &part,
                       Instant now);

/// The quarantines as a table for operators, those in force first; the times
/// are ages at `now`.
std::string renderQuarantineTable(const QuarantineMarks &marks, Instant now);

} // namespace sorrelbay
