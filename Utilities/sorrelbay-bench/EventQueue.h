#pragma once

#include "LibBase/Time.h"
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace sorrelbay {

/// A queue of events in simulated time. Events of the same time run in the
/// order in which they were added, so that the same seed gives the same run.
class EventQueue {
public:
  void scheduleAt(Instant when, std::function<void()> run);
  /// Runs all events up to and including `end`, then sets the current time to
  /// it.
  void runUntil(Instant end);
  Instant now() const { return Now; }

private:
  struct Event {
    Instant At;
    std::uint64_t Order;
    std::function<void()> Run;
  };
  struct RunsLater {
    bool operator()(const Event &a, const Event &b) const {
      return a.At != b.At ? a.At > b.At : a.Order > b.Order;
    }
  };

  Instant Now{};
  std::uint64_t NextOrder = 0;
  std::priority_queue<Event, std::vector<Event>, RunsLater> Events;
};

/// The quantile of the values for a share from 0 to 1; 0 if there are no
/// values.
double quantile(std::vector<double> values, double share);

} // namespace sorrelbay
