#pragma once

#include "LibBase/Error.h"
#include "LibServing/UsageCounts.h"
#include <map>
#include <string>

namespace sorrelbay {

/// The text is not a usage record.
class UsageRecordMalformed : public Error {
public:
  using Error::Error;
};

/// A window whose counts are final: every report of the window, by whichever
/// host, contains these counts.
struct SettledWindow {
  TeamCounts Counts;
  bool IsAccepted = false;
};

/// The usage state that the holder of the duties stores for its successors.
struct UsageRecord {
  std::map<WindowNumber, SettledWindow> Settled;
  /// Counts known so far of the windows after the settled ones. Without them, a
  /// kill of all hosts at the same time would lose what they had counted.
  std::map<WindowNumber, UsageCounts::Counted> Known;
};

std::string encodeUsageRecord(const UsageRecord &record);
/// Throws UsageRecordMalformed.
UsageRecord decodeUsageRecord(const std::string &text);

} // namespace sorrelbay
