#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace sorrelbay {

/// One line of a daemon's log, as far as a call's story needs it.
struct TimelineEntry {
  /// The host's time of day, in milliseconds since 1970; hosts differ a little.
  std::int64_t TimeMs = 0;
  std::string Host;
  std::string Event;
  /// The call that it is about, or the upstream; empty if none.
  std::string CallId;
  std::string Upstream;
  /// Of a line about a call's end; empty elsewhere.
  std::string Outcome;
  std::string Cause;
  int Status = 0;
  /// How long the call had been open at its end.
  std::int64_t OpenMs = 0;
  /// The line's own text, without what stands before it.
  std::string Text;
};

/// What the logs of several hosts say of one call.
struct CallTimeline {
  /// One line for each end of the call, the cause first; empty if no log names
  /// the call.
  std::vector<std::string> Causes;
  /// The lines about the call and those that bear on it, in order of time.
  std::vector<TimelineEntry> Lines;
  /// Lines that could not be read: cut, torn, or not the daemon's.
  std::size_t Unreadable = 0;
};

/// Reads a log for the call's story. What stands before a line's JSON is passed
/// over; lines that are no JSON are counted in `unreadable`. Other calls' good
/// ends are left out: they are most of a log.
std::vector<TimelineEntry> readTimeline(std::istream &log,
                                        const std::string &callId,
                                        std::size_t &unreadable);

/// Tells the story of the call by the lines of all hosts. Beside the call's own
/// lines it takes what its hosts said of the store, the plan and themselves
/// while it was open and a little before, and what any host said then of the
/// upstream that had it.
CallTimeline buildTimeline(const std::string &callId,
                           const std::vector<TimelineEntry> &lines);

} // namespace sorrelbay
