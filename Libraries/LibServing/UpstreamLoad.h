#pragma once

#include "LibBase/Time.h"
#include <optional>

namespace sorrelbay {

/// What an upstream states about its load in a response.
struct LoadStatement {
  int Running = 0;
  int Waiting = 0;
  int Slots = 0;
  /// The present service time as a multiple of the usual one; empty if it is
  /// not stated.
  std::optional<double> Slowness;
  /// When this host received the statement.
  Instant At{};
};

/// Whether an upstream can be in the stated condition: no negative figures, no
/// more running calls than slots, and 1 to 10,000 percent of the usual time.
inline bool isPlausible(const LoadStatement &it) {
  return it.Running >= 0 && it.Waiting >= 0 && it.Slots > 0 &&
         it.Running <= it.Slots &&
         (!it.Slowness || (*it.Slowness >= 0.01 && *it.Slowness <= 100));
}

/// An upstream's load as far as it is known now.
struct ExpectedLoad {
  /// Running and waiting calls of all hosts, as stated last.
  double StatedCalls = 0;
  /// Calls that this host has started since then, less those that have ended.
  int OwnCallsSince = 0;
  /// The weight of the stated calls, which decays with their age; 0 to 1.
  double Weight = 0;
  double Slowness = 1;
  int Slots = 0;
  /// Whether a statement is recent enough; if not, the other members have no
  /// meaning.
  bool IsKnown = false;

  /// The expected number of open calls of an upstream that usually has
  /// `usualLoad` for each slot.
  double openCalls(double usualLoad) const {
    const double calls =
        Weight * StatedCalls + (1 - Weight) * usualLoad * Slots + OwnCallsSince;
    return calls < 0 ? 0 : calls;
  }
};

} // namespace sorrelbay
