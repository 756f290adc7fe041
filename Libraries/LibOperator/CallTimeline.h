#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace sorrelbay {

/// A line of a daemon's log, with the fields needed for the timeline of a call.
struct TimelineEntry {
  /// The host's clock in milliseconds since 1970; hosts' clocks differ
  /// slightly.
  std::int64_t TimeMs = 0;
  std::string Host;
  std::string Event;
  /// The call and the upstream that the line refers to; empty if none.
  std::string CallId;
  std::string Upstream;
  /// Set only in the line logged at the end of a call; empty in others.
  std::string Outcome;
  std::string Cause;
  int Status = 0;
  /// The duration of the call at its end, in milliseconds.
  std::int64_t OpenMs = 0;
  /// The JSON text of the line, without any prefix.
  std::string Text;
};

/// The log lines of several hosts that are relevant to one call.
struct CallTimeline {
  /// A description of each end of the call, with its cause; empty if no log
  /// contains one.
  std::vector<std::string> Causes;
  /// The lines about the call and the events relevant to it, sorted by time.
  std::vector<TimelineEntry> Lines;
  /// The number of lines that could not be parsed: truncated, or not written by
  /// a daemon.
  std::size_t UnreadableCount = 0;
};

/// Reads the lines of a log that may be relevant to the call. Text before the
/// JSON of a line is skipped; lines without JSON are added to
/// `unreadableCount`. The ends of other calls that succeeded are left out: they
/// are most of a log.
std::vector<TimelineEntry> readTimeline(std::istream &log,
                                        const std::string &callId,
                                        std::size_t &unreadableCount);

/// Builds the timeline of a call from the lines of all hosts. Besides the
/// call's own lines it contains, from shortly before the call until shortly
/// after it, the events of its hosts concerning the store, the plan and the
/// daemon, and the events of all hosts concerning its upstream.
CallTimeline buildTimeline(const std::string &callId,
                           const std::vector<TimelineEntry> &lines);

} // namespace sorrelbay
