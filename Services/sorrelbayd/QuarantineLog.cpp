#include "QuarantineLog.h"
#include "LibBase/BootClock.h"
#include "LibBase/LogLine.h"

namespace sorrelbay {

static const char *toText(QuarantineChange change) {
  switch (change) {
  case QuarantineChange::Declared:
    return "declared";
  case QuarantineChange::Cleared:
    return "cleared";
  case QuarantineChange::Released:
    break;
  }
  return "released";
}

static std::string joined(const std::vector<std::string> &parts) {
  std::string out;
  for (const std::string &it : parts)
    out += (out.empty() ? "" : "+") + it;
  return out;
}

void logQuarantineChange(GatewayState &state, QuarantineChange change,
                         const QuarantineKey &key, const QuarantineMark &mark) {
  state.Counts.countQuarantineChange(key.Service.text(), toText(change));
  const Instant now = state.Time.at(bootNow());
  LogLine(Severity::Warning, "prompt quarantine")
      .field("change", toText(change))
      .field("service", key.Service.text())
      .field("parts", joined(key.Parts))
      .field("crashes", static_cast<std::int64_t>(mark.Crashes))
      .field("declared_age_ms", toMilliseconds(now - mark.DeclaredAt));
}

const char *logQuarantinedCall(GatewayState &state, const ServingCall &call,
                               const ServiceId &service) {
  const Instant now = bootNow();
  const QuarantineKey *key = state.Quarantine.matchingCall(service, call);
  const char *cause = key && isCallSuspect(key->Parts.front())
                          ? CallQuarantined
                          : PromptQuarantined;
  if (!key || !state.FailureLogBudget.take(now))
    return cause;
  const QuarantineMark &mark = state.Quarantine.quarantines().at(*key);
  LogLine(Severity::Info, cause == CallQuarantined
                              ? "call is quarantined"
                              : "call has a quarantined prompt")
      .field("id", call.Id)
      .field("service", service.text())
      .field("parts", joined(key->Parts))
      .field("crashes", static_cast<std::int64_t>(mark.Crashes))
      .field("declared_age_ms",
             toMilliseconds(state.Time.at(now) - mark.DeclaredAt));
  return cause;
}

} // namespace sorrelbay
