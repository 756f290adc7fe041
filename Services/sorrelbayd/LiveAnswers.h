#pragma once

#include "LiveAnswer.h"
#include <map>
#include <vector>

namespace sorrelbay {

/// The answers that are generated here and those that ended recently, by
/// request. Thread-safe; the lock is a leaf.
class LiveAnswers {
public:
  void add(const std::shared_ptr<LiveAnswer> &answer);
  /// Returns the answer to the team's request, or null.
  std::shared_ptr<LiveAnswer> find(const RequestId &request,
                                   const TeamId &team) const;
  std::vector<std::shared_ptr<LiveAnswer>> all() const;
  /// Removes answers that ended before the given time.
  void dropEndedBefore(Instant at);

private:
  mutable std::mutex Mutex;
  std::map<RequestId, std::shared_ptr<LiveAnswer>> Answers;
};

} // namespace sorrelbay
