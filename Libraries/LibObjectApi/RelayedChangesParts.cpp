#include "LibObjectApi/RelayedChangesParts.h"
#include <algorithm>

namespace sorrelbay {

static std::size_t sizeOf(const ResourceChange &change) {
  return change.Object.Name.size() + change.Object.Body.size() +
         change.Object.Status.size();
}

std::vector<RelayedChanges> splitIntoParts(const RelayedChanges &news,
                                           std::size_t mostBytes) {
  std::vector<ResourceChange> changes = news.Changes.Changes;
  std::stable_sort(changes.begin(), changes.end(),
                   [](const ResourceChange &a, const ResourceChange &b) {
                     return a.Object.Revision < b.Object.Revision;
                   });
  RelayedChanges part = news;
  part.Changes.Changes.clear();
  std::vector<RelayedChanges> out;
  std::size_t bytes = 0;
  std::uint64_t reached = news.From;
  for (const ResourceChange &it : changes) {
    const bool isFull = bytes + sizeOf(it) > mostBytes;
    if (isFull && !part.Changes.Changes.empty()) {
      part.Changes.AtRevision = reached;
      part.Echo = 0;
      out.push_back(part);
      part.From = reached;
      part.Changes.Changes.clear();
      bytes = 0;
    }
    // A list names what it no longer holds by revisions that are long past.
    reached = std::clamp(it.Object.Revision, reached, news.Changes.AtRevision);
    part.Changes.Changes.push_back(it);
    bytes += sizeOf(it);
  }
  part.Changes.AtRevision = news.Changes.AtRevision;
  part.Echo = news.Echo;
  out.push_back(part);
  return out;
}

} // namespace sorrelbay
