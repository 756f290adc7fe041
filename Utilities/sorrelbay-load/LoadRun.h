#pragma once

#include "LibBase/Time.h"
#include <cstdint>
#include <string>
#include <vector>

namespace sorrelbay {

/// The load to generate.
struct LoadOptions {
  /// Address ("ip:port") of a daemon, or of an engine for comparison.
  std::string Target;
  std::string Model = "model";
  std::string Team = "crew";
  /// Number of concurrent streams.
  std::size_t Streams = 1;
  /// Calls that each stream makes, one after the other.
  std::size_t Rounds = 1;
  std::uint64_t Tokens = 40;
  /// Delay between the starts of two streams, which spreads the first calls as
  /// independent callers would.
  Duration Stagger = milliseconds(5);
};

/// The load as its callers measured it.
struct LoadResult {
  /// Time from sending a call to its first token, for each call that received a
  /// token.
  std::vector<Duration> FirstTokens;
  std::uint64_t Tokens = 0;
  std::uint64_t CompleteResponses = 0;
  std::uint64_t FailedResponses = 0;
  Duration Elapsed{};
};

/// Generates the load with one thread per stream and waits until all calls have
/// ended.
LoadResult runLoad(const LoadOptions &options);

/// The quantile of the durations for a share from 0 to 1; zero if there are no
/// durations.
Duration quantile(std::vector<Duration> durations, double share);

/// Resource usage of a process: processor time since its start, and its current
/// resident memory and threads.
struct ProcessUsage {
  Duration Processor{};
  std::uint64_t ResidentBytes = 0;
  std::uint64_t Threads = 0;
};

/// Reads the resource usage of a process from /proc; all zero if there is no
/// such process.
ProcessUsage readProcessUsage(int processId);

} // namespace sorrelbay
