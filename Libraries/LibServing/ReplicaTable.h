#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include "LibLoad/EngineModel.h"
#include "LibLoad/PromptCacheEstimate.h"
#include "LibServing/ColdShare.h"
#include "LibServing/ReplicaRecord.h"
#include "LibServing/ServingCall.h"
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace sorrelbay {

/// Work that is open at one upstream.
struct OutstandingWork {
  /// Calls that were sent and have no whole answer.
  int Calls = 0;
  /// Prompt tokens to be read of those whose first byte has not come.
  std::int64_t PromptTokens = 0;
  /// Tokens that the calls need in memory at the end: their prompts and the
  /// longest answers that they may get.
  std::int64_t Tokens = 0;

  friend bool operator==(const OutstandingWork &a, const OutstandingWork &b) {
    return a.Calls == b.Calls && a.PromptTokens == b.PromptTokens &&
           a.Tokens == b.Tokens;
  }
};

/// What one call adds to an upstream's work.
struct CallCost {
  /// Prompt tokens that it is expected to read, without what it has cached.
  std::int64_t PromptTokens = 0;
  std::int64_t Tokens = 0;
};

/// Which of a service's versions a call goes to.
struct VersionPreference {
  /// Goes there if an upstream of it can be had; empty for any.
  VersionId First;
  /// Not even if there is no other.
  VersionId Never;

  friend bool operator==(const VersionPreference &a,
                         const VersionPreference &b) {
    return a.First == b.First && a.Never == b.Never;
  }
};

/// Whether a call with that choice goes to the version.
inline bool allowsVersion(const VersionId &version,
                          const VersionPreference &choice) {
  if (!choice.Never.empty() && version == choice.Never)
    return false;
  return choice.First.empty() || version == choice.First;
}

/// What a placement asks for.
struct ReplicaRequest {
  ServiceId ForService;
  ZoneId OwnZone;
  /// The prompt's parts; the last but one is what a conversation shares.
  std::vector<PromptPart> Prompt;
  std::int64_t PromptTokens = 0;
  VersionPreference Version;
  /// Regions that the call's route and its team are bound to; empty for all.
  std::vector<std::string> RouteRegions;
  std::vector<std::string> TeamRegions;
  /// Hosts that send calls to the service, this one included.
  int Hosts = 1;
  /// Upstreams that this call has been sent to.
  std::vector<UpstreamId> Tried;
  /// Decides between equals.
  std::uint64_t Seed = 0;
};

/// Where a call goes, and what it is expected to meet there.
struct ReplicaChoice {
  UpstreamId Id;
  /// Prompt tokens that the upstream has to read for it.
  std::int64_t TokensToPrefill = 0;
  /// Prompt tokens of other calls that it has to read first.
  std::int64_t Ahead = 0;
  /// How long those take it.
  Duration Wait{};
  /// Until the first token.
  Duration FirstToken{};
};

/// How a send ended, as far as it says something about the upstream.
enum class SendResult {
  Answered,
  /// It answered that it failed.
  Failed,
  /// It says that it is full or leaving, and did not run the call.
  TurnedAway,
  /// No connection, a broken one, bytes that are no answer, or silence.
  Broken,
  /// The caller left or the time was over for other reasons.
  Inconclusive,
};

struct ReplicaTableSettings {
  /// What one open call weighs beside prompts, in milliseconds: it makes each
  /// step of the engine longer.
  double OpenCallWeight = 3;
  /// What a millisecond of reading weighs that a better choice would have
  /// spared: it makes the calls behind this one wait, too.
  double PrefillWeight = 2;
  /// Upstreams that cost so much more than the best, in milliseconds and as a
  /// share, are as good as it; the conversation's order decides between them.
  double CostTolerance = 12;
  double CostToleranceShare = 0.15;
  /// Sends looked back on to find an upstream that fails; the share of failures
  /// that exceeds the others' by this much makes it an outlier.
  double FailureMemory = 0.85;
  double OutlierMargin = 0.25;
  Duration FirstEjection = milliseconds(1500);
  Duration LongestEjection = seconds(12);
};

/// The upstreams that this host knows, what is open at them, and how they have
/// done. Chooses one for each call, by the time to its first token there and
/// what it makes others wait. Prompts go where they were read, unless the wait
/// there is longer than reading them again; all hosts order a conversation's
/// upstreams alike by rendezvous hashing, without asking each other. An
/// upstream that fails or is silent is passed over by what its calls showed,
/// never by its status check, which can be good while calls fail. Not
/// thread-safe.
class ReplicaTable {
public:
  explicit ReplicaTable(ReplicaTableSettings settings = {});

  /// The regions of the zones; one that is not named is no call's home.
  void setRegions(std::map<ZoneId, std::string> regions) {
    RegionOf = std::move(regions);
  }

  /// An entry is new or has changed.
  void note(const ReplicaRecord &record, Instant now);
  /// The entry is gone: nothing new goes there.
  void remove(const UpstreamId &id);
  /// All that the store held at that time has been noted.
  void noteConfirmed(Instant begun) { ConfirmedAt = begun; }
  const ReplicaRecord *find(const UpstreamId &id) const;
  std::vector<ReplicaRecord> records() const;
  /// Upstreams of the service that are not leaving.
  int ready(const ServiceId &service) const;

  /// Calls a second that one of the service's upstreams takes from all hosts
  /// together while it is cold; 0 for no limit.
  void setColdRate(const ServiceId &service, double perSecond);
  /// All hosts that may send, this one included; a cold upstream gets nothing
  /// from a host that does not know them.
  void setHosts(const HostId &self, std::vector<HostId> hosts);
  /// Nothing goes to the zone's upstreams from now on.
  void beginEvacuation(const ZoneId &zone);
  /// They may be used again. They may have turned cold meanwhile, and count as
  /// cold until a younger view of them says otherwise.
  void endEvacuation(const ZoneId &zone, Instant now);
  bool isEvacuated(const ZoneId &zone) const {
    return Evacuated.count(zone) != 0;
  }
  /// Upstreams of the service that are cold and not leaving.
  int cold(const ServiceId &service, Instant now) const;

  /// The upstream for a call; nothing if there is none that may take it.
  std::optional<ReplicaChoice> choose(const ReplicaRequest &request,
                                      Instant now);

  void noteSent(const UpstreamId &id, const CallCost &work, Instant now);
  /// The prompt was sent there and will be cached.
  void notePrompt(const UpstreamId &id, const std::vector<PromptPart> &prompt,
                  Instant now);
  /// The first byte came: the prompt has been read.
  void noteFirstByte(const UpstreamId &id, const CallCost &work);
  /// What the time to a first byte says of the upstream's speed.
  void noteFirstToken(const UpstreamId &id, const FirstTokenSample &seen,
                      Instant now);
  /// What the service's engines do.
  const EngineModel &modelOf(const ServiceId &service) {
    return Models[service];
  }
  /// The send has ended; says whether its first byte had come.
  void noteEnded(const UpstreamId &id, const CallCost &work, bool hadFirstByte,
                 SendResult result, Instant now);
  /// What a peer has open now at all upstreams; replaces what it said before.
  void notePeer(const SourceId &peer,
                std::map<UpstreamId, OutstandingWork> open);
  void forgetPeer(const SourceId &peer);

  /// What this host has open, for its reports.
  std::map<UpstreamId, OutstandingWork> ownWork() const;
  /// What all hosts have open at the upstream.
  OutstandingWork workAt(const UpstreamId &id) const;
  bool isEjected(const UpstreamId &id, Instant now) const;
  /// Open calls of all hosts at the service's ready upstreams, and their
  /// places.
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
    OutstandingWork Own;
    OutstandingWork Peers;
    double FailureShare = 0;
    /// Sends that FailureShare looks back on, at most a few.
    double Seen = 0;
    Instant EjectedUntil{};
    Duration LastEjection{};
    /// A call was sent to see whether it works again.
    bool IsProbed = false;
    Instant ColdUntil{};
    /// It counts as cold until a view that is younger than this confirms it.
    Instant DoubtedAt{};
    ColdRateLimiter Allowance;
    /// Of the cold rate, this host's; nothing until it is worked out.
    std::optional<int> ColdShare;
  };

  /// One upstream that may take a call, and what it would cost there.
  struct Candidate {
    Entry *Place = nullptr;
    /// The conversation's order of upstreams, the same on all hosts.
    std::uint64_t Draw = 0;
    double TokensToPrefill = 0;
    double Ahead = 0;
    double Wait = 0;
    double FirstToken = 0;
    double Cost = 0;
  };

  std::optional<ReplicaChoice> chooseOf(const ReplicaRequest &request,
                                        Instant now);
  std::vector<Entry *> ableTo(const ReplicaRequest &request, Instant now);
  static std::vector<Entry *> drawTwo(std::vector<Entry *> able,
                                      std::uint64_t seed);
  static Entry *leastBusy(const std::vector<Entry *> &all,
                          const ReplicaRequest &request);
  std::vector<Candidate> candidates(const std::vector<Entry *> &able,
                                    const ReplicaRequest &request, Instant now);
  double tokensToRead(const Candidate &it, const ReplicaRequest &request,
                      bool isHome, std::size_t upstreams, Instant now) const;
  const Candidate &bestOf(const std::vector<Candidate> &all) const;
  bool isHome(const ZoneId &zone, const std::vector<std::string> &homes) const;
  bool fits(const Entry &entry, const ReplicaRequest &request) const;
  bool isCold(const Entry &entry, Instant now) const;
  bool hasColdRoom(Entry &entry, Instant now);
  void judge(Entry &entry, SendResult result, Instant now);
  double othersFailureShare(const Entry &entry) const;

  ReplicaTableSettings Settings;
  std::map<UpstreamId, Entry> Entries;
  std::map<SourceId, std::map<UpstreamId, OutstandingWork>> PeerWork;
  std::map<ServiceId, EngineModel> Models;
  PromptCacheEstimate Cached;
  std::map<ServiceId, double> ColdRates;
  HostId Self;
  std::vector<HostId> Hosts;
  std::set<ZoneId> Evacuated;
  std::map<ZoneId, std::string> RegionOf;
  Instant ConfirmedAt{};
};

} // namespace sorrelbay
