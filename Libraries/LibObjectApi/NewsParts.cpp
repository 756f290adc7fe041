#include "LibObjectApi/NewsParts.h"
#include <algorithm>

namespace sorrelbay {

static std::size_t sizeOf(const KindChange &change) {
  return change.Object.Name.size() + change.Object.Body.size() +
         change.Object.Status.size();
}

std::vector<KindNews> partsOf(const KindNews &news, std::size_t mostBytes) {
  std::vector<KindChange> changes = news.Changes.Changes;
  std::stable_sort(changes.begin(), changes.end(),
                   [](const KindChange &a, const KindChange &b) {
                     return a.Object.Revision < b.Object.Revision;
                   });
  KindNews part = news;
  part.Changes.Changes.clear();
  std::vector<KindNews> out;
  std::size_t bytes = 0;
  std::uint64_t reached = news.From;
  for (const KindChange &it : changes) {
    const bool isFull = bytes + sizeOf(it) > mostBytes;
    if (isFull && !part.Changes.Changes.empty()) {
      part.Changes.AsOf = reached;
      part.Echo = 0;
      out.push_back(part);
      part.From = reached;
      part.Changes.Changes.clear();
      bytes = 0;
    }
    // A list names what it no longer holds by revisions that are long past.
    reached = std::clamp(it.Object.Revision, reached, news.Changes.AsOf);
    part.Changes.Changes.push_back(it);
    bytes += sizeOf(it);
  }
  part.Changes.AsOf = news.Changes.AsOf;
  part.Echo = news.Echo;
  out.push_back(part);
  return out;
}

} // namespace sorrelbay
