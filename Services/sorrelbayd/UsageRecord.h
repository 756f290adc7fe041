#pragma once

#include "LibBase/Error.h"
#include "LibServing/UsageCounts.h"
#include <map>
#include <string>

namespace sorrelbay {

/// The record's text is not one that a holder wrote.
class UsageRecordMalformed : public Error {
public:
  using Error::Error;
};

/// A window whose counts are settled: they are what is reported, by whoever
/// reports it.
struct SettledWindow {
  TeamCounts Counts;
  bool IsAccepted = false;
};

/// What the holder of the duties keeps in the store for its successors.
struct UsageRecord {
  std::map<WindowNumber, SettledWindow> Settled;
  /// What was known of the windows after those. All hosts may be killed at the
  /// same time, and what they had counted would be gone with them.
  std::map<WindowNumber, UsageCounts::Counted> Known;
};

std::string encodeUsageRecord(const UsageRecord &record);
/// Throws UsageRecordMalformed.
UsageRecord decodeUsageRecord(const std::string &text);

} // namespace sorrelbay
