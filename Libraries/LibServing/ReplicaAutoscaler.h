#pragma once

#include "LibBase/Time.h"
#include "LibServing/CloudHooks.h"
#include "LibServing/ServingPlan.h"
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace sorrelbay {

/// Replicas of one service in one zone, as their entries show them.
struct ZoneReplicas {
  /// Serving, not leaving.
  int OnDemand = 0;
  int Reclaimable = 0;
  /// Reclaimable ones have been given notice here and are not yet gone.
  bool HasReclaimNotice = false;
  /// Its replicas get no calls for as long as operators say so.
  bool IsEvacuated = false;
};

/// The load that a service carries now, over all hosts.
struct ServiceLoad {
  /// Calls that are open at its replicas.
  int OpenCalls = 0;
  /// Tokens of their prompts and of the longest answers they may get.
  std::int64_t OpenTokens = 0;
  /// Engine time that callers ask for, in seconds a second.
  double EngineSeconds = 0;
};

struct ReplicaAutoscalerSettings {
  /// The part of its places, and of its memory, that a replica should have in
  /// use; above it first tokens get late.
  double CallShare = 0.28;
  double TokenShare = 0.36;
  /// The part of its time that a replica should spend on reading prompts. The
  /// rest is for the steps between and for arrivals that come in clumps.
  double TargetPrefillShare = 0.4;
  /// On-demand replicas stand in for reclaimable ones up to this part of what
  /// is provided for: they cost several times as much, and a fuller replica is
  /// late for few.
  double OnDemandShare = 0.65;
  /// The load is taken as the highest of this time, so that a short lull
  /// doesn't send replicas away that take seconds to come back.
  Duration PeakMemory = seconds(12);
  /// While replicas are missing the load counts for this much more than is
  /// provided for, at the most.
  double GrowthWhileShort = 1.34;
  /// A zone whose reclaimable replicas were reclaimed, or that had none to
  /// give, isn't asked again before that.
  Duration RefusedPause = milliseconds(1500);
  /// Until the load has been seen for as long as its peaks are remembered,
  /// on-demand replicas are provided for so many times what it needs.
  double UnseenGrowth = 2;
  /// Where reclaimable replicas were refused or reclaimed within that time they
  /// are scarce: on-demand ones then cover the loss of as many further zones as
  /// were reclaimed in it, and of one at least.
  Duration ScarceMemory = seconds(15);
  /// More replicas than needed are sent away only after so long.
  Duration ShrinkPause = seconds(8);
};

/// Decides how many replicas of each kind a service has in each zone: as few as
/// carry the load when zones lose their reclaimable ones, reclaimable ones
/// where they are cheaper, on-demand ones only until those have come. Belongs
/// to the holder of the duty; a new holder begins with what it sees.
class ReplicaAutoscaler {
public:
  explicit ReplicaAutoscaler(ScalingBounds bounds, EngineShape engine,
                             ReplicaAutoscalerSettings settings = {});

  /// The orders that are due, by what is seen now. An order that was accepted
  /// is not given again until another is needed.
  std::vector<ReplicaOrder> orders(const ServiceId &service,
                                   const std::map<ZoneId, ZoneReplicas> &seen,
                                   const ServiceLoad &load, Instant now);
  void noteResult(const ReplicaOrder &order, CloudResult result, Instant now);
  /// Replicas that the load needs.
  int needed() const { return Needed; }
  /// Replicas that are made sure of with on-demand ones.
  int assured() const;

private:
  using Place = std::pair<ZoneId, bool>;
  struct Ordered {
    int Count = -1;
    Instant At{};
    Instant RefusedAt{};
  };

  /// What the next orders aim at.
  struct Aim {
    int ReclaimablePerZone = 0;
    int OnDemand = 0;
  };

  int replicasFor(const ServiceLoad &load) const;
  bool isScarce(Instant now) const;
  bool knowsLoad(Instant now) const;
  void rememberPeak(const ServiceLoad &load, int serving, Instant now);
  void takeOver(const std::map<ZoneId, ZoneReplicas> &seen, Instant now);
  void keepLevel(const std::map<ZoneId, ZoneReplicas> &seen, Instant now);
  void rememberNotices(const std::map<ZoneId, ZoneReplicas> &seen, Instant now);
  int coverOf(std::vector<int> reclaimableByZone, Instant now) const;
  Aim aimAt(const std::map<ZoneId, ZoneReplicas> &seen, int zones, Instant now);
  std::vector<ReplicaOrder> ordersIn(const ServiceId &service,
                                     const std::map<ZoneId, ZoneReplicas> &seen,
                                     int zones, Instant now);
  int expected(const ZoneId &zone, bool isReclaimable, int seen,
               Instant now) const;
  std::map<ZoneId, int>
  spreadOnDemand(const std::map<ZoneId, ZoneReplicas> &seen, int count) const;
  void add(std::vector<ReplicaOrder> &out, const ServiceId &service,
           const ZoneId &zone, bool isReclaimable, int count, int seen,
           Instant now);

  ScalingBounds Bounds;
  EngineShape Engine;
  ReplicaAutoscalerSettings Settings;
  std::vector<std::pair<Instant, int>> Peaks;
  std::map<Place, Ordered> Last;
  int Needed = 0;
  /// What is provided for: grows at once, shrinks late.
  int Kept = 0;
  /// Of that, what the load is known to need: on-demand replicas cost several
  /// times as much, and stand in for no more than this.
  int Certain = 0;
  /// Since when replicas are missing, and what was provided for then.
  Instant ShortSince{};
  int KeptBefore = 0;
  /// Until calls have been seen for a while the replicas that were there at
  /// first are the best guess.
  bool HasSeen = false;
  Instant LoadSince{};
  Instant LowSince{};
  Instant ScarceSince{};
  /// Zones whose reclaimable replicas are under notice, and when each of the
  /// last notices was first seen.
  std::set<ZoneId> UnderNotice;
  std::vector<Instant> Notices;
  Instant OnDemandLowSince{};
};

} // namespace sorrelbay
