#pragma once

#include "LibBase/Time.h"
#include "LibPeer/ReportStream.h"
#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace sorrelbay {

constexpr std::size_t FleetMessageKindCount = 4;
/// The name of a kind of message, for logs and metrics.
const char *toText(FleetMessageKind kind);

/// What the messages between entry hosts have cost this host since its process
/// started.
struct FleetCost {
  struct Traffic {
    std::int64_t Messages = 0;
    std::int64_t Bytes = 0;

    void note(std::size_t bytes) {
      ++Messages;
      Bytes += static_cast<std::int64_t>(bytes);
    }
  };

  /// By FleetMessageKind.
  std::array<Traffic, FleetMessageKindCount> Sent;
  std::array<Traffic, FleetMessageKindCount> Received;
  /// Reports that were not sent because too many bytes already waited on the
  /// connection.
  std::int64_t ReportsHeldBack = 0;
  /// Requests for the whole state of a stream, by this host.
  std::int64_t StateRequests = 0;
  /// Texts and numbers in the messages that arrived as updates.
  std::int64_t ValuesDecoded = 0;
  Duration Encoding{};
  Duration Decoding{};
  /// Time in which the reports were merged into the tables.
  Duration Merging{};
};

} // namespace sorrelbay
