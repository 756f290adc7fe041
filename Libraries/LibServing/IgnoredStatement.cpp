#include "LibServing/IgnoredStatement.h"

namespace sorrelbay {

const char *toText(StatementKind kind) {
  switch (kind) {
  case StatementKind::RateLimit:
    return "rate_limit";
  case StatementKind::RejectionLimit:
    return "rejection_limit";
  case StatementKind::Pause:
    return "pause";
  case StatementKind::Leaving:
    return "leaving";
  case StatementKind::Load:
    return "load";
  case StatementKind::Unknown:
    return "unknown";
  }
  return "";
}

const char *toText(IgnoredReason reason) {
  switch (reason) {
  case IgnoredReason::Malformed:
    return "malformed";
  case IgnoredReason::OtherUpstream:
    return "other_upstream";
  case IgnoredReason::OtherStatus:
    return "other_status";
  case IgnoredReason::OtherCall:
    return "other_call";
  case IgnoredReason::EarlierProcess:
    return "earlier_process";
  case IgnoredReason::Implausible:
    return "implausible";
  case IgnoredReason::Contradicted:
    return "contradicted";
  case IgnoredReason::Stale:
    return "stale";
  case IgnoredReason::UnknownKind:
    return "unknown_kind";
  }
  return "";
}

} // namespace sorrelbay
