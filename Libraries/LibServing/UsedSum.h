#pragma once

#include "LibBase/Identifier.h"
#include "LibServing/TeamMeter.h"
#include <map>

namespace sorrelbay {

/// From where a source's counters are added when another process begins to
/// tell them.
enum class CountFrom {
  /// They began at zero with the process.
  Zero,
  /// They go on where the last teller's ended.
  Known,
  /// What they show was told by others before.
  Now,
};

/// Adds up what several sources let in, as one counter that only grows: a
/// source that goes, or begins anew, must not make the sum fall, because those
/// who hear the sum charge the teams with its growth.
class UsedSum {
public:
  /// A source has told its counters.
  void note(const SourceId &source, const IncarnationId &incarnation,
            const std::map<TeamId, UsedUnits> &used, CountFrom from);
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
