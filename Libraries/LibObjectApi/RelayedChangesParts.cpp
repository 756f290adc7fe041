#include "LibObjectApi/RelayedChangesParts.h"
#include <algorithm>

namespace sorrelbay {

static std::size_t sizeOf(const ResourceChange &change) {
  return change.Object.Name.size() + change.Object.Body.size() +
         change.Object.Status.size();
}

std::vector<RelayedChanges> splitIntoParts(const RelayedChanges &relayed,
                                           std::size_t maxBytes) {
  std::vector<ResourceChange> changes = relayed.Changes.Changes;
  std::stable_sort(changes.begin(), changes.end(),
                   [](const ResourceChange &a, const ResourceChange &b) {
                     return a.Object.Revision < b.Object.Revision;
                   });
  RelayedChanges part = relayed;
  part.Changes.Changes.clear();
  std::vector<RelayedChanges> out;
  std::size_t bytes = 0;
  std::uint64_t lastRevision = relayed.From;
  for (const ResourceChange &it : changes) {
    const bool isFull = bytes + sizeOf(it) > maxBytes;
    if (isFull && !part.Changes.Changes.empty()) {
      part.Changes.AtRevision = lastRevision;
      part.Echo = 0;
      out.push_back(part);
      part.From = lastRevision;
      part.Changes.Changes.clear();
      bytes = 0;
    }
    // Removals derived from a new list carry revisions older than `From`.
    lastRevision = std::clamp(it.Object.Revision, lastRevision,
                              relayed.Changes.AtRevision);
    part.Changes.Changes.push_back(it);
    bytes += sizeOf(it);
  }
  part.Changes.AtRevision = relayed.Changes.AtRevision;
  part.Echo = relayed.Echo;
  out.push_back(part);
  return out;
}

} // namespace sorrelbay
