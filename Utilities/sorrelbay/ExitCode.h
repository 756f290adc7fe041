#pragma once

namespace sorrelbay {

/// What the tool's exit code tells a script; sorrelbay(1) lists them.
enum class ExitCode {
  Success = 0,
  /// A fault of the tool itself.
  Failure = 1,
  /// Wrong usage, or a file that was refused.
  BadInput = 2,
  /// Another bundle is current; nothing was rolled.
  RollRefused = 3,
  /// The platform can't be reached; nothing was rolled.
  Unavailable = 4,
  /// The bundle may or may not have been rolled.
  Unknown = 5,
  /// `status --watch` saw a move end as taken back.
  TakenBack = 6,
  /// `explain`: no log names the call.
  NotFound = 7,
};

} // namespace sorrelbay
