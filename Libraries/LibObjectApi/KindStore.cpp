#include "LibObjectApi/KindStore.h"

namespace sorrelbay {

const char *toText(StoreKind kind) {
  switch (kind) {
  case StoreKind::Plan:
    return "plan";
  case StoreKind::Replicas:
    return "replicas";
  case StoreKind::Moves:
    return "moves";
  case StoreKind::Hosts:
    return "hosts";
  case StoreKind::Duties:
    return "duties";
  case StoreKind::Usage:
    return "usage";
  case StoreKind::Evacuations:
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
