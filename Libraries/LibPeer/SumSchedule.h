#pragma once

#include "LibPeer/RepeatFilter.h"
#include "LibPeer/ReportPacer.h"
#include "LibPeer/ReportStream.h"
#include <map>
#include <vector>

namespace sorrelbay {

/// Decides when an aggregator sends the next sum of each stream, and which sums
/// renew the slow parts: members, usage, rollout knowledge and the paces of
/// teams, which are large and of which a second's age does no harm. Not
/// thread-safe.
class SumSchedule {
public:
  SumSchedule();

  /// Whether the stream's next report is to be sent now. It then counts as
  /// sent. What is known of crashes is sent at once.
  bool takeTurn(ReportStream stream, const FleetReport &sum, Instant now);
  /// Whether the report renews the slow parts: once a second, or when a member
  /// has changed. Otherwise its members and usage are taken out, and its paces
  /// are replaced by those that were last sent.
  bool renewsSlowParts(ReportStream stream, FleetReport &sum, Instant now);
  /// Records that a report was sent that takes that many bytes at each
  /// receiver.
  void noteSent(ReportStream stream, std::size_t bytes, Instant now);

private:
  /// The slow parts as they were last sent.
  struct SlowParts {
    Instant SentAt{};
    std::vector<FleetMember> Members;
    std::map<TeamId, double> Pace;
  };

  std::map<ReportStream, ReportPacer> Pacers;
  std::map<ReportStream, RepeatFilter> Repeats;
  std::map<ReportStream, SlowParts> Sent;
};

} // namespace sorrelbay
