#include "LibPeer/FleetCost.h"

namespace sorrelbay {

const char *toText(FleetMessageKind kind) {
  switch (kind) {
  case FleetMessageKind::Report:
    return "report";
  case FleetMessageKind::RelayedChanges:
    return "relayed_changes";
  case FleetMessageKind::ReportUpdate:
    return "report_update";
  case FleetMessageKind::StateRequest:
    return "state_request";
  }
  return "unknown";
}

} // namespace sorrelbay
