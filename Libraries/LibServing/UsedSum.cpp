#include "LibServing/UsedSum.h"
#include <algorithm>

namespace sorrelbay {

void UsedSum::note(const SourceId &source, const IncarnationId &incarnation,
                   const std::map<TeamId, UsedUnits> &used, CountFrom from) {
  Known &known = Sources[source];
  if (known.Incarnation != incarnation) {
    known.Incarnation = incarnation;
    if (from == CountFrom::Zero)
      known.Used.clear();
    if (from == CountFrom::Now)
      known.Used = used;
  }
  for (const auto &[team, units] : used) {
    UsedUnits &before = known.Used[team];
    Total[team] += std::max<UsedUnits>(0, units - before);
    before = units;
  }
}

} // namespace sorrelbay
