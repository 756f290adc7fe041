#include "EventQueue.h"
#include <algorithm>
#include <utility>

namespace sorrelbay {

void EventQueue::scheduleAt(Instant when, std::function<void()> run) {
  Events.push({when, NextOrder++, std::move(run)});
}

void EventQueue::runUntil(Instant end) {
  while (!Events.empty() && Events.top().At <= end) {
    const Event event = Events.top();
    Events.pop();
    Now = event.At;
    event.Run();
  }
  Now = end;
}

double quantile(std::vector<double> values, double share) {
  if (values.empty())
    return 0;
  const auto n = static_cast<std::ptrdiff_t>(
      share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + n, values.end());
  return values[static_cast<std::size_t>(n)];
}

} // namespace sorrelbay
