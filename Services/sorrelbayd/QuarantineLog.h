#pragma once

#include "GatewayState.h"
#include "LibServing/PromptQuarantine.h"

namespace sorrelbay {

/// The cause of calls that are rejected because upstreams crash under their
/// prompts.
constexpr const char *PromptQuarantined = "prompt_quarantined";

/// Logs and counts what becomes of a quarantine.
void logQuarantineChange(GatewayState &state, QuarantineChange change,
                         const QuarantineKey &key, const QuarantineMark &mark);
/// Logs the parts for which a call is rejected, within the limit of log lines a
/// second.
void logQuarantinedCall(GatewayState &state, const ServingCall &call,
                        const ServiceId &service);

} // namespace sorrelbay
