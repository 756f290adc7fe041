#pragma once

#include "LibLoad/EngineModel.h"
#include "LibLoad/PromptCacheEstimate.h"
#include "LibLoad/PromptPartition.h"
#include "LibServing/ReplicaRecord.h"
#include "LibServing/ReplicaRequest.h"
#include <cstdint>
#include <map>
#include <vector>

namespace sorrelbay {

struct EnginePlacementSettings {
  /// Cost of one open call besides its prompt, in milliseconds: it makes each
  /// step of the engine longer.
  double OpenCallWeight = 3;
  /// Cost of each millisecond of prefill that a better choice would have
  /// avoided: prefill also delays the calls queued behind this one.
  double PrefillWeight = 2;
  /// Upstreams whose cost exceeds the lowest by no more than this, in
  /// milliseconds, plus the share below count as equal; the conversation's
  /// rendezvous hashing order decides between them.
  double CostTolerance = 12;
  /// The tolerance's relative part, as a share of the lowest cost.
  double CostToleranceShare = 0.15;
  PromptPartitionSettings Partition;
};

/// What the engines that are reserved for short prompts are determined from.
struct ShortPromptLoad {
  /// The number of hosts that send calls to the service.
  int Hosts = 1;
  /// Engine time that short prompts need, in seconds per second.
  double Demand = 0;
};

/// The result of an update of a service's reserved engines.
struct ReservedEngineCount {
  int Engines = 0;
  int Needed = 0;
  int Reserved = 0;
  bool HasChanged = false;
};

/// An engine that may take a call, and the work in progress of all hosts there.
struct EngineState {
  const ReplicaRecord *Record = nullptr;
  OutstandingWork Work;
  /// The time that work takes there now, as the engine states it, as a multiple
  /// of the usual one; 1 if it states none.
  double StatedSlowness = 1;
};

/// Chooses an engine for each call by the expected time to first token there
/// and the delay that the call causes for others. Calls go where their prompt
/// is cached, unless the wait there is longer than a new prefill elsewhere; all
/// hosts rank a conversation's engines alike by rendezvous hashing, without
/// exchanging messages. Not thread-safe.
class EnginePlacement {
public:
  explicit EnginePlacement(EnginePlacementSettings settings = {})
      : Settings(settings) {}

  /// The engine for the call, which must have a prompt; `engines` must not be
  /// empty.
  ReplicaChoice choose(const std::vector<EngineState> &engines,
                       const ReplicaRequest &request, Instant now);
  /// Records that the prompt was sent to the engine, which will have it cached.
  void notePrompt(const UpstreamId &id, const std::vector<PromptPart> &prompt,
                  Instant now);
  /// Updates the estimate of the engine's speed by a time to first token.
  void noteFirstToken(const ServiceId &service, const UpstreamId &id,
                      const FirstTokenSample &seen, Instant now);
  void forget(const ServiceId &service, const UpstreamId &id);
  /// Updates which of the service's engines are reserved for short prompts; to
  /// be called a few times a second. `engines` are those that are not leaving.
  ReservedEngineCount
  updateReserved(const ServiceId &service,
                 const std::vector<const ReplicaRecord *> &engines,
                 const ShortPromptLoad &load, Instant now);
  /// Whether the prompt counts as short, with none of its tokens cached: a
  /// prompt that is short only where it is cached would be long at a reserved
  /// engine.
  bool isShort(const ServiceId &service, std::int64_t promptTokens) const;
  /// Time to prefill the tokens by the average of the model's estimates, in
  /// milliseconds; zero until the first update.
  double steadyPrefillTime(const ServiceId &service, std::int64_t tokens) const;
  /// The number of the service's engines that are reserved for short prompts.
  int reserved(const ServiceId &service) const;
  /// The latency model of the service's engines.
  const EngineModel &modelOf(const ServiceId &service) {
    return Models[service];
  }

private:
  /// An engine that may take a call, and its cost.
  struct Candidate {
    const EngineState *State = nullptr;
    /// The engine's rendezvous hash for the conversation, the same on all
    /// hosts; the highest one ranks first.
    std::uint64_t HashRank = 0;
    double TokensToPrefill = 0;
    double TokensAhead = 0;
    double Wait = 0;
    double FirstToken = 0;
    double Cost = 0;
  };

  std::vector<Candidate> candidates(const std::vector<EngineState> &engines,
                                    const ReplicaRequest &request, Instant now);
  double tokensToPrefill(const Candidate &it, const ReplicaRequest &request,
                         bool isAffinityUpstream, std::size_t upstreams,
                         Instant now) const;
  const Candidate &bestOf(const std::vector<const Candidate *> &all) const;
  const Candidate &bestFor(const std::vector<Candidate> &all,
                           const ReplicaRequest &request) const;
  std::vector<EngineState>
  permittedEngines(const std::vector<EngineState> &engines,
                   const ReplicaRequest &request) const;

  EnginePlacementSettings Settings;
  std::map<ServiceId, EngineModel> Models;
  PromptCacheEstimate Cached;
  struct ServicePartition {
    PromptPartition Partition;
    /// The time of one prompt token without queues, in milliseconds; zero until
    /// the first update.
    double SteadyPerToken = 0;
    Instant UpdatedAt{};
  };
  static void updateSteadyPerToken(ServicePartition &partition, double perToken,
                                   Instant now);
  std::map<ServiceId, ServicePartition> Partitions;
};

} // namespace sorrelbay
