#include "LibServing/UsedSum.h"
#include <algorithm>

namespace sorrelbay {

void UsedSum::note(const SourceId &source, const IncarnationId &incarnation,
                   const std::map<TeamId, UsedUnits> &used, bool isOlder) {
  Known &known = Sources[source];
  if (known.Incarnation != incarnation) {
    known.Incarnation = incarnation;
    known.Used = isOlder ? used : std::map<TeamId, UsedUnits>{};
  }
  for (const auto &[team, units] : used) {
    UsedUnits &before = known.Used[team];
    Total[team] += std::max<UsedUnits>(0, units - before);
    before = units;
  }
}

} // namespace sorrelbay
