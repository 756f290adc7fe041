#pragma once

#include "LibCloud/CloudNotices.h"
#include "LibDecision/LeavingUpstreams.h"
#include "LibDecision/Placement.h"
#include "LibEngine/EngineClient.h"
#include "LibHostList/HostList.h"
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sorrelbay {

/// The state of an engine as used by StreamRecovery.
struct EngineView {
  UpstreamId Id;
  ZoneId Zone;
  VersionId Version;
  /// The number of answers that this daemon may have open at the engine.
  std::uint32_t Capacity = 0;
  bool IsLeaving = false;
  /// When the engine leaves, if that is known.
  std::optional<Instant> LeavesAt;
};

/// The known upstreams and the choice among them for each call. Thread-safe;
/// the lock is a leaf: nothing else is called while it is held.
class UpstreamTable {
public:
  /// Requests an engine's load report. Returns nothing if the engine does not
  /// respond in time.
  using FetchLoad =
      std::function<std::optional<EngineLoad>(const UpstreamId &)>;

  /// The own address is that of this daemon in the host list, "ip:port".
  UpstreamTable(std::string ownAddress, ZoneId ownZone, FetchLoad fetchLoad);

  /// Applies a host list that was requested at the given time: upstreams that
  /// are no longer listed are dropped; those marked as leaving stay so.
  void applyHostList(const std::vector<HostListEntry> &entries,
                     Instant askedAt);
  void applyNotice(const ReclaimNotice &notice);
  void applyLoad(const UpstreamId &upstream, const EngineLoad &load,
                 Instant askedAt);
  /// Applies the notices of leaving upstreams that peers have published.
  void applyPeerNotices(const std::vector<LeavingNotice> &notices);
  /// The notices of leaving upstreams that this daemon has received.
  std::vector<LeavingNotice> leavingNotices(Instant at) const;
  /// To be called periodically; a long gap between two ticks means that the
  /// process was paused.
  void tick(Instant at);
  /// Whether the daemon has received the leaving upstreams since its last
  /// pause.
  bool isViewFresh(Instant at) const;

  /// Chooses an upstream and counts the call as open there. If an upstream was
  /// chosen, finish() must be called for it. An engine that has not recently
  /// confirmed that it stays is queried first, without the lock held.
  PlacementChoice begin(const PlacementRequest &request, Instant at);
  void finish(const UpstreamId &upstream, const ConversationKey &conversation,
              std::int64_t tokens, Instant at);

  /// Counts a call as open at the given upstream; finish() must be called.
  void beginAt(const UpstreamId &upstream, const PlacementRequest &request,
               Instant at);

  /// The number of calls that this daemon may have open at the service's
  /// engines: the calls that it had open at the time of their last reports plus
  /// its share of the call slots that were free. The share is at least half,
  /// since callers don't spread evenly over daemons.
  int callSlotsFor(const ServiceId &service) const;

  std::vector<UpstreamState> snapshot() const;
  std::vector<EngineView> engines() const;
  /// The upstreams of a version that are not leaving.
  std::vector<UpstreamId> replicasOf(const VersionId &version) const;
  /// Whether the upstream is leaving or no longer listed.
  bool isLeaving(const UpstreamId &upstream) const;
  /// The live entry hosts according to the host list.
  std::vector<HostListEntry> entryHosts() const;
  /// Whether a host list has been received since the start.
  bool hasHostList() const;

private:
  /// Whether the chosen engine first has to confirm that it stays.
  enum class Confirmation { NotNeeded, FromEngine };
  PlacementChoice chooseAndCount(const PlacementRequest &request, Instant at,
                                 Confirmation &confirmation);
  bool isLeavingAt(const UpstreamId &upstream, Instant at) const;
  void countOpenCalls(const UpstreamId &upstream, int change);
  int openCallsAt(const UpstreamId &upstream) const;
  UpstreamState currentState(const UpstreamState &listed, Instant at) const;
  std::uint32_t ownShare(const UpstreamId &upstream, std::uint64_t free) const;

  const std::string OwnAddress;
  const ZoneId OwnZone;
  const FetchLoad FetchEngineLoad;
  mutable std::mutex Mutex;
  std::map<UpstreamId, UpstreamState> Upstreams;
  /// This daemon's open calls, by upstream; only of those that have some.
  std::map<UpstreamId, int> OpenCalls;
  LeavingUpstreams Leaving;
  /// The time at which an upstream leaves, if a notice has given it.
  std::map<UpstreamId, Instant> LeavingAt;
  /// The capacity for this daemon, by engine; only of engines that have
  /// reported their load.
  std::map<UpstreamId, std::uint32_t> Capacities;
  /// The call slots of this daemon, by engine; see callSlotsFor().
  std::map<UpstreamId, std::uint32_t> CallSlots;
  std::set<UpstreamId> Engines;
  std::vector<HostListEntry> Entries;
  Placement Chooser;
  bool HasHostList = false;
};

} // namespace sorrelbay
