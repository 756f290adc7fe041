#pragma once

#include "LibBase/Time.h"
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

  /// A call ended: by route and by result ("ok", "refused", "failed", ...).
  void countCall(const std::string &route, const std::string &result);
  void observeFirstToken(const std::string &route, Duration wait);
  /// What the same wait was expected to be when the call was sent.
  void observeExpectedFirstToken(const std::string &route, Duration wait);
  /// Replicas of a service, as the holder of the duties knows them: "needed" or
  /// "seen".
  void setReplicas(const std::string &service, const std::string &state,
                   int count);
  void countTokens(std::uint64_t tokens);
  /// An attempt at an upstream ended: "ok", "refused", "failed" or "resumed".
  void countAttempt(const std::string &service, const std::string &result);
  /// An answer went on at another engine, which computes so many tokens again.
  void countResume(std::uint64_t recomputedTokens);
  /// Tokens and ends that were not taken, by cause.
  void countDropped(const std::string &cause, std::uint64_t n);
  void countObjectApi(const std::string &call, const std::string &result);
  void setOpenCalls(std::size_t n);
  void setBundleGeneration(std::uint64_t generation);
  void showPeerLink(const MeshCounts &counts);
  /// All metrics in Prometheus' text format.
  std::string render() const;

private:
  struct Families;
  std::unique_ptr<Families> All;
};

} // namespace sorrelbay
