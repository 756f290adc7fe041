#pragma once

#include <cstdint>

namespace sorrelbay {

/// The counters of a mesh since its start, for metrics. LiveLinks is a gauge.
struct MeshCounts {
  std::uint64_t HandshakeFailures = 0;
  std::uint64_t RefusedMessages = 0;
  std::uint64_t RefusedBundles = 0;
  std::uint64_t SilenceTimeouts = 0;
  std::uint64_t LiveLinks = 0;
  std::uint64_t UpdatesSent = 0;
  std::uint64_t UpdateBytesSent = 0;
};

} // namespace sorrelbay
