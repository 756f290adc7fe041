#pragma once

#include "LibBase/Time.h"
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace sorrelbay {

/// The stand-ins' time: what is to happen, in order. Two events of the same
/// time run in the order in which they were added, so that a seed always gives
/// the same run.
class EventQueue {
public:
  void scheduleAt(Instant when, std::function<void()> run);
  /// Runs the events up to that time, which then is the present.
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

/// The value below which that share of the values lies; 0 if there are none.
double quantile(std::vector<double> values, double share);

} // namespace sorrelbay
