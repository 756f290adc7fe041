#include "FleetCostLog.h"
#include "LibBase/LogLine.h"

namespace sorrelbay {

static constexpr Duration LogInterval = seconds(10);

static void addTraffic(
    LogLine &line, const std::string &direction,
    const std::array<FleetCost::Traffic, FleetMessageKindCount> &now,
    const std::array<FleetCost::Traffic, FleetMessageKindCount> &before) {
  for (std::size_t n = 0; n < FleetMessageKindCount; ++n) {
    const std::int64_t messages = now[n].Messages - before[n].Messages;
    if (messages == 0)
      continue;
    const std::string key =
        direction + "_" + toText(static_cast<FleetMessageKind>(n));
    line.field(key.c_str(), messages);
    line.field((key + "_bytes").c_str(), now[n].Bytes - before[n].Bytes);
  }
}

void FleetCostLog::log(const FleetCost &cost, Instant now) {
  if (now - LoggedAt < LogInterval)
    return;
  LogLine line(Severity::Info, "fleet cost");
  addTraffic(line, "sent", cost.Sent, Logged.Sent);
  addTraffic(line, "received", cost.Received, Logged.Received);
  line.field("held_back", cost.ReportsHeldBack - Logged.ReportsHeldBack)
      .field("state_requests", cost.StateRequests - Logged.StateRequests)
      .field("values_decoded", cost.ValuesDecoded - Logged.ValuesDecoded)
      .field("encode_ms", toMilliseconds(cost.Encoding - Logged.Encoding))
      .field("decode_ms", toMilliseconds(cost.Decoding - Logged.Decoding))
      .field("merge_ms", toMilliseconds(cost.Merging - Logged.Merging));
  Logged = cost;
  LoggedAt = now;
}

} // namespace sorrelbay
