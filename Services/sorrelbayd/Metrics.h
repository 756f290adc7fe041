#pragma once

#include "LibBase/Time.h"
#include "LibHttp/AsyncHttpClient.h"
#include "LibPeer/FleetCost.h"
#include "LibPeer/MeshCounts.h"
#include <cstdint>
#include <memory>
#include <string>

namespace sorrelbay {

/// The daemon's Prometheus metrics. Thread-safe.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  /// Counts a call that has ended, by route and result, such as "ok", "refused"
  /// or "failed".
  void countCall(const std::string &route, const std::string &result);
  void observeFirstToken(const std::string &route, Duration wait);
  /// Records the wait for the first token that was expected when the call was
  /// sent.
  void observeExpectedFirstToken(const std::string &route, Duration wait);
  /// Sets the number of a service's replicas in a state ("needed", "seen" or
  /// "cold"), as known to the lease holder.
  void setReplicas(const std::string &service, const std::string &state,
                   int count);
  /// Sets the engine time that callers of a service request a second, as known
  /// to this host.
  void setEngineDemand(const std::string &service, double secondsPerSecond);
  /// Sets the part of it that short prompts need, and the number of engines
  /// that this host reserves for them.
  void setShortPrompts(const std::string &service, double secondsPerSecond,
                       int reservedEngines);
  void countTokens(std::uint64_t tokens);
  /// Counts an attempt at an upstream that has ended as "ok", "refused",
  /// "failed" or "resumed".
  void countAttempt(const std::string &service, const std::string &result);
  /// Counts an answer that continues at another engine, and the tokens that
  /// this engine has to compute again.
  void countResume(std::uint64_t recomputedTokens);
  /// Counts the tokens and ends from engines that were dropped, by cause.
  void countDropped(const std::string &cause, std::uint64_t n);
  void countObjectApi(const std::string &call, const std::string &result);
  /// Counts an entry of the store of that kind that is refused.
  void countRefusedEntry(const std::string &kind);
  /// Counts a statement of an upstream about itself, such as "pause", by what
  /// became of it: "applied", or why it was ignored.
  void countUpstreamStatement(const std::string &statement,
                              const std::string &result);
  /// Sets the number of a service's upstreams that are in a state ("slow" or
  /// "contradicted") by what they state about their load.
  void setUpstreamLoads(const std::string &service, const std::string &state,
                        int count);
  /// Counts an attempt to open a connection to an upstream of the service, by
  /// its result.
  void countUpstreamConnect(const std::string &service,
                            const std::string &result);
  /// Counts a call that this host relayed ("sent") or that was relayed to it
  /// ("received"), by its result.
  void countRelayedCall(const std::string &direction,
                        const std::string &result);
  /// Counts an upstream's response by what marks the end of its body and by how
  /// it ended: "complete", "inside_event" or the cause of its call's failure.
  void countResponse(const std::string &framing, const std::string &end);
  /// Counts a crash of an upstream of the service that ended calls of this
  /// host, by how it showed: "reset" or "silence".
  void countUpstreamCrash(const std::string &service,
                          const std::string &manner);
  /// Counts what became of a quarantine of prompts: "declared", "cleared" or
  /// "released".
  void countQuarantineChange(const std::string &service,
                             const std::string &change);
  /// Sets the number of a service's quarantines in force.
  void setQuarantines(const std::string &service, int count);
  /// Sets the number of operators' requests of the kind ("upstream", "host" or
  /// "team") that are "in_force" or "ignored".
  void setOperatorRequests(const std::string &kind, const std::string &effect,
                           int count);
  /// Counts the units that a call of the team's class requests, and that are
  /// admitted or refused. A call of a team without classes has class 0.
  void countTeamUnits(const std::string &team, int callClass,
                      std::int64_t units, bool isAdmitted);
  /// Sets the counts of the connections to upstreams.
  void setUpstreamConnectionCounts(const HttpClientCounts &counts);
  void setOpenCalls(std::size_t n);
  /// Sets the number of calls that wait for a place at the service's upstreams.
  void setWaitingCalls(const std::string &service, std::size_t n);
  /// Records how long a call waited that was started then.
  void observeWait(const std::string &service, Duration waited);
  /// Counts a call that was refused instead of waiting, or while it waited.
  void countWaitRefusal(const std::string &service, const std::string &cause);
  void setBundleGeneration(std::uint64_t generation);
  void setPeerCounts(const MeshCounts &counts);
  /// Sets what the messages between entry hosts have cost.
  void setFleetCost(const FleetCost &cost);
  /// Renders all metrics in Prometheus' text format.
  std::string render() const;

private:
  struct Families;
  std::unique_ptr<Families> All;
};

} // namespace sorrelbay
