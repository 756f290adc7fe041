#pragma once

namespace sorrelbay {

/// The tool's exit codes; documented in sorrelbay(1).
enum class ExitCode {
  Success = 0,
  /// An internal error of the tool.
  Failure = 1,
  /// Wrong usage, or a file that can't be used.
  BadInput = 2,
  /// Another bundle is current; nothing was rolled.
  RollRefused = 3,
  /// The platform is unavailable; nothing was changed.
  Unavailable = 4,
  /// The bundle may or may not have been rolled, or the object changed.
  Unknown = 5,
  /// `status --watch`: a rollout was rolled back.
  RolledBack = 6,
  /// `explain`: no log mentions the call. `quarantine release`: no quarantine
  /// in force names the part. `release`: the upstream or host is not held.
  NotFound = 7,
};

} // namespace sorrelbay
