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

/// An engine as the recovery of streams needs it.
struct EngineView {
  UpstreamId Id;
  ZoneId Zone;
  VersionId Version;
  /// Answers that this daemon may have open there.
  std::uint32_t Capacity = 0;
  bool IsLeaving = false;
  /// When it goes, where that is known.
  std::optional<Instant> LeavesAt;
};

/// Every upstream that the daemon knows of, and the choice among them.
/// Thread-safe; its lock is a leaf: nothing else is called while it is held.
class UpstreamTable {
public:
  /// Asks an engine for its load; nothing if it does not answer soon.
  using FetchLoad =
      std::function<std::optional<EngineLoad>(const UpstreamId &)>;

  /// The own address is the one that the host list shows, "ip:port".
  UpstreamTable(std::string ownAddress, ZoneId ownZone, FetchLoad fetchLoad);

  /// Takes over a host list that was asked for at that time: upstreams that are
  /// no longer listed are dropped, those marked leaving stay leaving.
  void applyHostList(const std::vector<HostListEntry> &entries,
                     Instant askedAt);
  void applyNotice(const ReclaimNotice &notice);
  void applyLoad(const UpstreamId &upstream, const EngineLoad &load,
                 Instant askedAt);
  /// What peers know to be leaving, and what this daemon knows.
  void applyPeerNotices(const std::vector<LeavingNotice> &notices);
  std::vector<LeavingNotice> leavingNotices(Instant at) const;
  /// A gap between two of these tells that the daemon was paused.
  void tick(Instant at);
  /// Whether the daemon has heard since its last pause what leaves.
  bool isViewFresh(Instant at) const;

  /// Chooses an upstream and counts the call as open there; the caller of this
  /// must call finish() if an upstream was chosen. An engine that has not said
  /// lately that it stays is asked first, without the lock.
  PlacementChoice begin(const PlacementRequest &request, Instant at);
  void finish(const UpstreamId &upstream, const ConversationKey &conversation,
              std::int64_t tokens, Instant at);

  /// The same where the upstream is given already.
  void beginAt(const UpstreamId &upstream, const PlacementRequest &request,
               Instant at);

  /// Calls that this daemon may have open at the service's engines: what it had
  /// open at their last reports, and its part of the places that were free, but
  /// half of them at least, since callers don't spread evenly over daemons.
  int placesFor(const ServiceId &service) const;

  std::vector<UpstreamState> snapshot() const;
  std::vector<EngineView> engines() const;
  /// The upstreams of a version that are not leaving.
  std::vector<UpstreamId> replicasOf(const VersionId &version) const;
  /// Whether the upstream leaves or is no longer listed.
  bool isLeaving(const UpstreamId &upstream) const;
  /// Live entry hosts as the host list names them.
  std::vector<HostListEntry> entryHosts() const;
  /// Whether a host list was ever received.
  bool hasHostList() const;

private:
  enum class Ask { No, Engine };
  PlacementChoice chooseAndCount(const PlacementRequest &request, Instant at,
                                 Ask &ask);
  bool isLeavingAt(const UpstreamId &upstream, Instant at) const;
  std::uint32_t ownShare(const UpstreamId &upstream, std::uint64_t free) const;

  const std::string OwnAddress;
  const ZoneId OwnZone;
  const FetchLoad FetchEngineLoad;
  mutable std::mutex Mutex;
  std::map<UpstreamId, UpstreamState> Upstreams;
  LeavingUpstreams Leaving;
  /// When those go of which it has had notice.
  std::map<UpstreamId, Instant> LeavingAt;
  /// By engine; only those are known that have reported.
  std::map<UpstreamId, std::uint32_t> Capacities;
  /// By engine, for placesFor.
  std::map<UpstreamId, std::uint32_t> CallSlots;
  std::set<UpstreamId> Engines;
  std::vector<HostListEntry> Entries;
  Placement Chooser;
  bool HasHostList = false;
};

} // namespace sorrelbay
