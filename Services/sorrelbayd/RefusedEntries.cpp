#include "RefusedEntries.h"
#include "LibBase/LogLine.h"

namespace sorrelbay {

/// Entries without a name that are remembered.
static constexpr std::size_t MaxUnnamed = 256;

void RefusedEntries::note(ResourceKind kind) {
  Counts.countRefusedEntry(toText(kind));
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
