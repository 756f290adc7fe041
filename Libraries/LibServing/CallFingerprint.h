#pragma once

#include "LibServing/ServingCall.h"
#include <string>

namespace sorrelbay {

/// Identifies what a call asks for: all attempts of its caller for the same
/// request have it in common, also those that resume its stream, and no other
/// request has it. CallSuspectPrefix and 20 hexadecimal digits of SHA-256 over
/// the team, the method, the path, the prompt's parts and the body, the same on
/// every host. The attempt's id is no part of it, because each attempt has its
/// own and callers choose it.
std::string callFingerprint(const ServingCall &call, const TeamId &team,
                            const std::string &body);

} // namespace sorrelbay
