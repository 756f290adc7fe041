#include "RefusedEntries.h"
#include "LibBase/LogLine.h"

namespace sorrelbay {

/// Entries without a name that are remembered.
static constexpr std::size_t MaxUnnamed = 256;
/// Refused entries of one object that are logged.
static constexpr std::size_t MaxLoggedParts = 20;

void RefusedEntries::note(ResourceKind kind) {
  Counts.countRefusedEntry(toText(kind));
}

void RefusedEntries::noteParts(ResourceKind kind, const Resource &object,
                               const std::vector<std::string> &reasons) {
  for (std::size_t n = 0; n < reasons.size(); ++n) {
    note(kind);
    if (n < MaxLoggedParts)
      LogLine(Severity::Error, "entry of an object refused")
          .field("kind", toText(kind))
          .field("object", object.Name)
          .field("revision", static_cast<std::int64_t>(object.Revision))
          .field("why", reasons[n]);
  }
}

void RefusedEntries::noteUnnamed(ResourceKind kind,
                                 const std::vector<std::string> &begins) {
  for (const std::string &it : begins) {
    if (Unnamed.size() >= MaxUnnamed || !Unnamed.insert({kind, it}).second)
      continue;
    Counts.countRefusedEntry(toText(kind));
    LogLine(Severity::Warning, "entry without a readable name ignored")
        .field("kind", toText(kind))
        .field("begin", it);
  }
}

} // namespace sorrelbay
