#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include "LibServing/ReplicaRecord.h"
#include "LibServing/ServingCall.h"
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace sorrelbay {

/// Work that is open at one upstream.
struct OpenWork {
  /// Calls that were sent and have no whole answer.
  int Calls = 0;
  /// Prompt tokens of those whose first byte has not come.
  std::int64_t PromptTokens = 0;
  /// Tokens that the calls need in memory at the end: their prompts and the
  /// longest answers that they may get.
  std::int64_t Tokens = 0;

  friend bool operator==(const OpenWork &a, const OpenWork &b) {
    return a.Calls == b.Calls && a.PromptTokens == b.PromptTokens &&
           a.Tokens == b.Tokens;
  }
};

/// What one call adds to an upstream's work.
struct CallWork {
  std::int64_t PromptTokens = 0;
  std::int64_t Tokens = 0;
};

/// Which of a service's versions a call goes to.
struct VersionChoice {
  /// Goes there if an upstream of it can be had; empty for any.
  VersionId First;
  /// Not even if there is no other.
  VersionId Never;

  friend bool operator==(const VersionChoice &a, const VersionChoice &b) {
    return a.First == b.First && a.Never == b.Never;
  }
};

/// What a placement asks for.
struct ReplicaRequest {
  ServiceId ForService;
  ZoneId OwnZone;
  /// The prompt's parts; the last but one is what a conversation shares.
  std::vector<PromptPart> Prompt;
  std::int64_t PromptTokens = 0;
  VersionChoice Version;
  /// Upstreams that this call has been sent to.
  std::vector<UpstreamId> Tried;
  /// Decides between equals.
  std::uint64_t Seed = 0;
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
  Neither,
};

struct ReplicaTableSettings {
  /// What one open call weighs beside prompt tokens.
  std::int64_t TokensPerCall = 400;
  /// A conversation's home takes the call unless it has this much more to do
  /// than the upstream with least.
  double HomeSlack = 0.25;
  std::int64_t HomeSlackTokens = 9000;
  /// Sends looked back on to find an upstream that fails; the share of failures
  /// that exceeds the others' by this much makes it an outlier.
  double FailureMemory = 0.85;
  double OutlierMargin = 0.25;
  Duration FirstEjection = milliseconds(1500);
  Duration LongestEjection = seconds(12);
};

/// The upstreams that this host knows, what is open at them, and how they have
/// done. Chooses one for each call. Conversations stay where their prompt was
/// read, by rendezvous hashing, so that all hosts choose the same home without
/// asking each other; an upstream that fails or is silent is passed over by
/// what its calls showed, never by its status check, which can be good while
/// calls fail. Not thread-safe.
class ReplicaTable {
public:
  explicit ReplicaTable(ReplicaTableSettings settings = {});

  /// An entry is new or has changed.
  void note(const ReplicaRecord &record, Instant now);
  /// The entry is gone: nothing new goes there.
  void remove(const UpstreamId &id);
  const ReplicaRecord *find(const UpstreamId &id) const;
  std::vector<ReplicaRecord> records() const;
  /// Upstreams of the service that are not leaving.
  int ready(const ServiceId &service) const;

  /// The upstream for a call; nothing if there is none that may take it.
  std::optional<UpstreamId> choose(const ReplicaRequest &request, Instant now);

  void noteSent(const UpstreamId &id, const CallWork &work);
  /// The first byte came: the prompt has been read.
  void noteFirstByte(const UpstreamId &id, const CallWork &work);
  /// The send has ended; says whether its first byte had come.
  void noteEnded(const UpstreamId &id, const CallWork &work, bool hadFirstByte,
                 SendResult result, Instant now);
  /// What a peer has open now at all upstreams; replaces what it said before.
  void notePeer(const SourceId &peer, std::map<UpstreamId, OpenWork> open);
  void forgetPeer(const SourceId &peer);

  /// What this host has open, for its reports.
  std::map<UpstreamId, OpenWork> ownWork() const;
  /// What all hosts have open at the upstream.
  OpenWork workAt(const UpstreamId &id) const;
  bool isEjected(const UpstreamId &id, Instant now) const;
  /// Open calls of all hosts at the service's ready upstreams, and their
  /// places.
  struct ServiceWork {
    int Calls = 0;
    std::int64_t PromptTokens = 0;
    std::int64_t Tokens = 0;
    int Places = 0;
    int Replicas = 0;
  };
  ServiceWork serviceWork(const ServiceId &service, Instant now) const;

private:
  struct Entry {
    ReplicaRecord Record;
    OpenWork Own;
    OpenWork Peers;
    double FailureShare = 0;
    /// Sends that FailureShare looks back on, at most a few.
    double Seen = 0;
    Instant EjectedUntil{};
    Duration LastEjection{};
    /// A call was sent to see whether it works again.
    bool IsProbed = false;
  };

  std::optional<UpstreamId> chooseOf(const ReplicaRequest &request,
                                     Instant now);
  std::vector<Entry *> ableTo(const ReplicaRequest &request, Instant now);
  static Entry *leastBusy(const std::vector<Entry *> &able,
                          const ReplicaRequest &request);
  Entry *homeOf(const std::string &conversation,
                const std::vector<Entry *> &able) const;
  bool fits(const Entry &entry, const ReplicaRequest &request) const;
  bool mayTake(const Entry &entry, const ReplicaRequest &request,
               Instant now) const;
  double loadOf(const Entry &entry) const;
  void judge(Entry &entry, SendResult result, Instant now);
  double othersFailureShare(const Entry &entry) const;

  ReplicaTableSettings Settings;
  std::map<UpstreamId, Entry> Entries;
  std::map<SourceId, std::map<UpstreamId, OpenWork>> PeerWork;
};

} // namespace sorrelbay
