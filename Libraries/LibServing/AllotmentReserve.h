#pragma once

#include <cstdint>

namespace sorrelbay {

/// A call's rank among the priorities of the routes that teams are charged for.
struct CallClass {
  /// 0 is the most urgent class.
  int Rank = 0;
  /// The number of classes; with one, calls are admitted in order of arrival.
  int Count = 1;
};

/// A team's token bucket as one host sees it.
struct BucketState {
  /// In units.
  double Level = 0;
  /// What other hosts admit, in units per second, as far as they have reported.
  double Pace = 0;
  /// The allotment in force.
  std::int64_t Rate = 0;
  std::int64_t Burst = 0;
};

/// The part of a team's token bucket that is reserved for its more urgent
/// calls. Hosts learn of each other's admissions late, so that the bucket of a
/// team that requests several times its allotment stands near the level at
/// which most of its calls are refused. If this level were the same for all
/// classes, urgent calls would be refused along with the rest.
class AllotmentReserve {
public:
  /// Reserves nothing.
  AllotmentReserve() = default;
  /// Reserves the given seconds of the team's rate, at most half of its burst.
  AllotmentReserve(double seconds, CallClass of) : Seconds(seconds), Of(of) {}

  /// The class of the call; the only one if nothing is reserved.
  CallClass callClass() const { return Seconds > 0 ? Of : CallClass{}; }
  /// Whether classes of calls differ.
  bool isInForce() const { return callClass().Count > 1; }
  /// The level that the bucket must exceed for a call of that rank: 0 for the
  /// first class, the whole reserve for the last one, and evenly spaced levels
  /// for the classes between.
  double requiredLevel(int rank, std::int64_t rate, std::int64_t burst) const;
  /// The fraction of a class's calls that is admitted after `steps` time steps
  /// more. It follows the ratio between the pace that would bring the bucket to
  /// the class's level and the pace of the other hosts.
  double nextFraction(double fraction, int rank, const BucketState &bucket,
                      double steps) const;

private:
  double Seconds = 0;
  CallClass Of;
};

} // namespace sorrelbay
