#pragma once

#include "LibBase/Time.h"
#include <cstdint>
#include <string>
#include <vector>

namespace sorrelbay {

/// What load to make.
struct LoadOptions {
  /// "ip:port" of a daemon, or of an engine for comparison.
  std::string Target;
  std::string Model = "model";
  std::string Team = "crew";
  /// Streams that are open at the same time.
  std::size_t Streams = 1;
  /// Answers that each stream asks for, one after the other.
  std::size_t Rounds = 1;
  std::uint64_t Tokens = 40;
  /// Each stream waits so long after the one before it has begun, so that
  /// arrivals are spread as they are from many callers.
  Duration Stagger = milliseconds(5);
};

/// What callers saw of the load.
struct LoadResult {
  /// From sending the call to its first token, one an answer.
  std::vector<Duration> FirstTokens;
  std::uint64_t Tokens = 0;
  std::uint64_t CompleteResponses = 0;
  std::uint64_t FailedResponses = 0;
  Duration Elapsed{};
};

/// Makes the load from threads of this process and waits for its end.
LoadResult runLoad(const LoadOptions &options);

/// The value below which that share of the spans lies; zero if there is none.
Duration quantile(std::vector<Duration> durations, double share);

/// What a process has used: processor time since its start and memory now.
struct ProcessUsage {
  Duration Processor{};
  std::uint64_t ResidentBytes = 0;
  std::uint64_t Threads = 0;
};

/// Reads the usage of a process from /proc; zeros if there is no such process.
ProcessUsage readProcessUsage(int processId);

} // namespace sorrelbay
