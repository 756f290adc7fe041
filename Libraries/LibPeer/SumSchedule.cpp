#include "LibPeer/SumSchedule.h"

namespace sorrelbay {

/// Interval of the reports that include the slow parts.
static constexpr Duration SlowPartsInterval = seconds(1);
/// Bytes a second that the sums may take at a host: a hundredth of an ordinary
/// host's link of 20 Mbit/s for the sum over the other zones, less for that
/// over its own.
static constexpr double OtherZonesBytesPerSecond = 25'000;
static constexpr double OwnZoneBytesPerSecond = 15'000;
/// The same for a zone's sum at the aggregators of other zones.
static constexpr double ZoneBytesPerSecond = 40'000;
/// The longest time between two sums, up to the next tick. Receivers accept
/// another aggregator's after FleetViewSettings::AggregatorTimeout.
static constexpr Duration LongestSumPause = milliseconds(450);

SumSchedule::SumSchedule()
    : Pacers{
          {ReportStream::Zone, {ZoneBytesPerSecond, LongestSumPause}},
          {ReportStream::OtherZones,
           {OtherZonesBytesPerSecond, LongestSumPause}},
          {ReportStream::OtherZonesWithMoves,
           {OtherZonesBytesPerSecond, LongestSumPause}},
          {ReportStream::OwnZone, {OwnZoneBytesPerSecond, LongestSumPause}}} {}

bool SumSchedule::takeTurn(ReportStream stream, const FleetReport &sum,
                           Instant now) {
  const bool isPaidFor = Pacers.at(stream).isDue(now) || !sum.Crashes.empty();
  return isPaidFor && Repeats[stream].isNeeded(sum, now);
}

bool SumSchedule::renewsSlowParts(ReportStream stream, FleetReport &sum,
                                  Instant now) {
  SlowParts &sent = Sent[stream];
  const bool isDue =
      now - sent.SentAt >= SlowPartsInterval || sent.Members != sum.Members;
  if (isDue) {
    sent = {now, sum.Members, sum.Pace};
    return true;
  }
  sum.Members.clear();
  sum.Usage.clear();
  sum.Pace = sent.Pace;
  return false;
}

void SumSchedule::noteSent(ReportStream stream, std::size_t bytes,
                           Instant now) {
  Pacers.at(stream).noteSent(bytes, now);
}

} // namespace sorrelbay
