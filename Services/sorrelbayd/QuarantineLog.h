#pragma once

#include "GatewayState.h"
#include "LibServing/PromptQuarantine.h"

namespace sorrelbay {

/// The cause of calls that are rejected because upstreams crash under their
/// prompts.
constexpr const char *PromptQuarantined = "prompt_quarantined";
/// The same under the calls themselves.
constexpr const char *CallQuarantined = "call_quarantined";

/// Logs and counts what becomes of a quarantine.
void logQuarantineChange(GatewayState &state, QuarantineChange change,
                         const QuarantineKey &key, const QuarantineMark &mark);
/// Logs the parts, or the call, for which a call is rejected, within the limit
/// of log lines a second. Returns the cause.
const char *logQuarantinedCall(GatewayState &state, const ServingCall &call,
                               const ServiceId &service);

} // namespace sorrelbay
