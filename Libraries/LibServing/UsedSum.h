#pragma once

#include "LibBase/Identifier.h"
#include "LibServing/TeamMeter.h"
#include <map>

namespace sorrelbay {

/// Adds up what several sources let in, as one counter that only grows: a
/// source that goes, or begins anew, must not make the sum fall, because those
/// who hear the sum charge the teams with its growth.
class UsedSum {
public:
  /// A source has told its counters. What an older process counted before it
  /// was first heard of is left out.
  void note(const SourceId &source, const IncarnationId &incarnation,
            const std::map<TeamId, UsedUnits> &used, bool isOlder);
  const std::map<TeamId, UsedUnits> &total() const { return Total; }

private:
  struct Known {
    IncarnationId Incarnation;
    std::map<TeamId, UsedUnits> Used;
  };

  std::map<SourceId, Known> Sources;
  std::map<TeamId, UsedUnits> Total;
};

} // namespace sorrelbay
