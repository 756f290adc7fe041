#include "LibObjectApi/ResourceStore.h"

namespace sorrelbay {

const char *toText(ResourceKind kind) {
  switch (kind) {
  case ResourceKind::Plan:
    return "plan";
  case ResourceKind::Replicas:
    return "replicas";
  case ResourceKind::Moves:
    return "moves";
  case ResourceKind::Hosts:
    return "hosts";
  case ResourceKind::Duties:
    return "duties";
  case ResourceKind::Usage:
    return "usage";
  case ResourceKind::Relays:
    return "relays";
  case ResourceKind::Quarantines:
    return "quarantines";
  case ResourceKind::Evacuations:
    return "evacuations";
  }
  return "";
}

const char *toText(StoreFailure failure) {
  switch (failure) {
  case StoreFailure::Unavailable:
    return "unavailable";
  case StoreFailure::Unknown:
    return "unknown";
  case StoreFailure::Conflict:
    return "conflict";
  case StoreFailure::Missing:
    return "missing";
  case StoreFailure::HistoryGone:
    return "history_gone";
  }
  return "";
}

} // namespace sorrelbay
