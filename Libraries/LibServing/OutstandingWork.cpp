#include "LibServing/OutstandingWork.h"

namespace sorrelbay {

std::vector<WorkChange>
changesOfWork(const std::map<UpstreamId, OutstandingWork> &before,
              const std::map<UpstreamId, OutstandingWork> &now) {
  std::vector<WorkChange> out;
  auto old = before.begin();
  for (const auto &[id, work] : now) {
    for (; old != before.end() && old->first < id; ++old)
      out.push_back({old->first, old->second, {}});
    const bool isKnown = old != before.end() && old->first == id;
    if (!isKnown)
      out.push_back({id, {}, work});
    else if (!(old->second == work))
      out.push_back({id, old->second, work});
    if (isKnown)
      ++old;
  }
  for (; old != before.end(); ++old)
    out.push_back({old->first, old->second, {}});
  return out;
}

} // namespace sorrelbay
