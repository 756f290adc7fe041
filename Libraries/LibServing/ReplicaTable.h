#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include "LibServing/ColdShare.h"
#include "LibServing/EnginePlacement.h"
#include "LibServing/ReplicaRecord.h"
#include "LibServing/ReplicaRequest.h"
#include "LibServing/UpstreamHealth.h"
#include "LibServing/UpstreamLoadView.h"
#include "LibServing/UpstreamStatements.h"
#include "LibServing/VersionPreference.h"
#include "LibServing/WorkTable.h"
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace sorrelbay {

/// Why no upstream may take a call.
enum class UnavailabilityCause {
  /// There is none, or the call has been sent to all.
  NoUpstream,
  /// Some are cold, and this host has used up its share of their rate.
  Cold,
  /// Some name a rate limit, or the rejections that they bear, and this host
  /// has used up its share.
  Limited,
  /// All have asked this host for a pause.
  Paused,
};

/// Why no upstream may take a call, and the time until one may take another.
struct Unavailability {
  UnavailabilityCause Cause = UnavailabilityCause::NoUpstream;
  /// Zero if it is not known.
  Duration Wait{};
};

struct ReplicaTableSettings {
  EnginePlacementSettings Engines;
  UpstreamHealthSettings Health;
};

/// The upstreams known to this host, their work in progress, and their health.
/// Chooses an upstream for each call by the expected time to first token there
/// and the delay that the call causes for others. Calls go where their prompt
/// is cached, unless the wait there is longer than a new prefill elsewhere; all
/// hosts rank a conversation's upstreams alike by rendezvous hashing, without
/// exchanging messages. An upstream that fails or does not respond is ejected
/// by the results of its calls, never by its status check, which can pass while
/// calls fail. Not thread-safe.
class ReplicaTable {
public:
  explicit ReplicaTable(ReplicaTableSettings settings = {});

  /// Sets the regions of the zones. A zone that is missing gets no calls that
  /// are restricted to regions.
  void setRegions(std::map<ZoneId, std::string> regions) {
    RegionOf = std::move(regions);
  }

  /// Adds an upstream, or updates its registration. `startedAt` is the time on
  /// this host's boot clock at which its process started; empty if not known.
  void note(const ReplicaRecord &record, Instant now,
            std::optional<Instant> startedAt = {});
  /// Removes an upstream whose registration was deleted: it gets no new calls.
  void remove(const UpstreamId &id);
  /// Records that everything that the store held at the time `begun` has been
  /// added.
  void noteConfirmed(Instant begun) { ConfirmedAt = begun; }
  const ReplicaRecord *find(const UpstreamId &id) const;
  /// All registrations. Those of upstreams that have stated that they are
  /// leaving say so.
  std::vector<ReplicaRecord> records() const;
  /// The number of the service's upstreams that are not leaving.
  int ready(const ServiceId &service) const;

  /// Calls per second that one of the service's upstreams accepts from all
  /// hosts together while it is cold; 0 for no limit.
  void setColdRate(const ServiceId &service, double perSecond);
  /// Sets all hosts that may send calls, including this one. A host that does
  /// not know them sends nothing to a cold upstream.
  void setHosts(const HostId &self, std::vector<HostId> hosts);
  /// Excludes the zone's upstreams from calls until `endEvacuation`.
  void beginEvacuation(const ZoneId &zone);
  /// Allows calls to the zone's upstreams again. They may have become cold
  /// meanwhile, and count as cold until a newer view of the store is confirmed.
  void endEvacuation(const ZoneId &zone, Instant now);
  bool isEvacuated(const ZoneId &zone) const {
    return Evacuated.count(zone) != 0;
  }
  /// Sets the upstreams that operators hold: these get no new calls, unless
  /// `areAllHeld` is true of their service.
  void setHeld(std::set<UpstreamId> held) { Held = std::move(held); }
  /// Whether the service has available upstreams and all of these are held.
  /// Calls are then sent as if none was: refusing all of them is worse.
  bool areAllHeld(const ServiceId &service) const;
  /// The number of the service's upstreams that are cold and not leaving.
  int cold(const ServiceId &service, Instant now) const;

  /// What the upstreams state about themselves in their responses.
  UpstreamStatements &statements() { return Statements; }
  /// What they state about their load.
  UpstreamLoadView &loads() { return Loads; }
  /// Drops the statements of upstreams that have not been registered for a
  /// while, and the records of their work once they have none.
  void forgetOldStatements(Instant now);
  /// Why `choose` finds no upstream for the request. Upstreams that the call
  /// has already been sent to count as well.
  Unavailability unavailability(const ReplicaRequest &request, Instant now);
  /// Prompt tokens of the call that the upstream chosen for it would have to
  /// prefill if all took calls.
  std::int64_t expectedPrefill(const ReplicaRequest &request, Instant now);

  /// The upstream for a call; empty if none may take it.
  std::optional<ReplicaChoice> choose(const ReplicaRequest &request,
                                      Instant now);

  /// Whether a call for which the upstream was chosen may still be sent to it.
  /// The upstream may have left or asked for a pause while the connection was
  /// being opened.
  bool maySend(const UpstreamId &id, Instant now) const;
  void noteSent(const UpstreamId &id, const CallCost &work, Instant now);
  /// Records that the prompt was sent to the upstream, which will have it
  /// cached.
  void notePrompt(const UpstreamId &id, const std::vector<PromptPart> &prompt,
                  Instant now);
  /// Records that the first byte arrived: the prompt has been prefilled.
  void noteFirstByte(const UpstreamId &id, const CallCost &work) {
    Work.noteFirstByte(id, work);
  }
  /// Updates the estimate of the upstream's speed by a time to first token.
  void noteFirstToken(const UpstreamId &id, const FirstTokenSample &seen,
                      Instant now);
  /// The latency model of the service's engines.
  const EngineModel &modelOf(const ServiceId &service) {
    return Engines.modelOf(service);
  }
  /// Updates which of the service's engines are reserved for short prompts; to
  /// be called a few times a second.
  ReservedEngineCount updateReserved(const ServiceId &service,
                                     const ShortPromptLoad &load, Instant now);
  /// The engines' costs and which of them are reserved for short prompts.
  const EnginePlacement &engines() const { return Engines; }
  /// Records the end of a send. `hadFirstByte` states whether its first byte
  /// had arrived.
  void noteEnded(const UpstreamId &id, const CallCost &work, bool hadFirstByte,
                 SendResult result, Instant now);
  /// Replaces the work in progress at all upstreams that a peer reported
  /// before.
  void notePeer(const SourceId &peer,
                std::map<UpstreamId, OutstandingWork> open) {
    Work.notePeer(peer, std::move(open));
  }
  void forgetPeer(const SourceId &peer) { Work.notePeer(peer, {}); }
  /// Forgets the failures of the service's upstreams and ends their ejections,
  /// because this host had lost its paths to them.
  void resetHealth(const ServiceId &service);

  /// This host's work in progress, for its reports.
  std::map<UpstreamId, OutstandingWork> ownWork() const { return Work.own(); }
  /// The work in progress of all hosts at the upstream.
  OutstandingWork workAt(const UpstreamId &id) const {
    return Work.totalAt(id);
  }
  bool isEjected(const UpstreamId &id, Instant now) const;
  /// Work in progress of all hosts at the service's available upstreams, and
  /// the slots of these.
  struct ServiceWork {
    int Calls = 0;
    std::int64_t PromptTokens = 0;
    std::int64_t Tokens = 0;
    int CallSlots = 0;
    int Replicas = 0;
  };
  ServiceWork serviceWork(const ServiceId &service, Instant now) const;

private:
  struct Entry {
    ReplicaRecord Record;
    std::shared_ptr<const UpstreamWork> Work;
    UpstreamHealth Health;
    Instant ColdUntil{};
    /// The upstream counts as cold until a view of the store that is newer than
    /// this is confirmed; zero if it does not.
    Instant AssumedColdAt{};
    /// This host's share of the cold rate; empty until it is computed.
    std::optional<int> ColdShare;
  };

  static ReplicaRequest withAnyUpstream(ReplicaRequest request);
  std::optional<ReplicaChoice> chooseOfVersion(const ReplicaRequest &request,
                                               Instant now);
  std::vector<Entry *> eligibleUpstreams(const ReplicaRequest &request,
                                         Instant now);
  std::vector<Entry *>
  preferUnconfirmedLimits(const std::vector<Entry *> &eligible,
                          Instant now) const;
  Entry *deskFor(const std::vector<Entry *> &eligible,
                 const ReplicaRequest &request, Instant now) const;
  bool usesStatedLoads(const ReplicaRequest &request, Instant now) const;
  std::vector<EngineState> statesOf(const std::vector<Entry *> &engines,
                                    Instant now) const;
  bool isInAllowedRegion(const ZoneId &zone,
                         const std::vector<std::string> &allowedRegions) const;
  bool fits(const Entry &entry, const ReplicaRequest &request) const;
  std::vector<Entry *> fittingUpstreams(const ReplicaRequest &request);
  bool isLeaving(const Entry &entry) const;
  bool keepsHolds(const ServiceId &service) const;
  bool isCold(const Entry &entry, Instant now) const;
  bool hasColdCapacity(Entry &entry, Instant now);
  static UpstreamRoom roomFor(const Entry &entry);
  void assumeRejectionLimit(const ReplicaRecord &record, Instant now);
  double othersFailureShare(const Entry &entry) const;

  ReplicaTableSettings Settings;
  std::map<UpstreamId, Entry> Entries;
  WorkTable Work;
  /// The recent calls to cold upstreams, also to those that have lost their
  /// registration since and may register again.
  std::map<UpstreamId, ColdRateLimiter> ColdLimiters;
  EnginePlacement Engines;
  std::map<ServiceId, double> ColdRates;
  HostId Self;
  std::vector<HostId> Hosts;
  UpstreamStatements Statements;
  UpstreamLoadView Loads;
  std::set<ZoneId> Evacuated;
  std::set<UpstreamId> Held;
  std::map<ZoneId, std::string> RegionOf;
  Instant ConfirmedAt{};
};

} // namespace sorrelbay
