#include "LiveAnswers.h"

namespace sorrelbay {

void LiveAnswers::add(const std::shared_ptr<LiveAnswer> &answer) {
  const std::lock_guard<std::mutex> lock(Mutex);
  Answers[answer->CallRequest.Id] = answer;
}

std::shared_ptr<LiveAnswer> LiveAnswers::find(const RequestId &request,
                                              const TeamId &team) const {
  const std::lock_guard<std::mutex> lock(Mutex);
  const auto it = Answers.find(request);
  // Request ids are not secret, so the answer is only returned to the team that
  // made the request.
  if (it == Answers.end() || it->second->CallRequest.Context.FromTeam != team)
    return nullptr;
  return it->second;
}

std::vector<std::shared_ptr<LiveAnswer>> LiveAnswers::all() const {
  const std::lock_guard<std::mutex> lock(Mutex);
  std::vector<std::shared_ptr<LiveAnswer>> out;
  for (const auto &it : Answers)
    out.push_back(it.second);
  return out;
}

void LiveAnswers::dropEndedBefore(Instant at) {
  const std::lock_guard<std::mutex> lock(Mutex);
  for (auto it = Answers.begin(); it != Answers.end();) {
    const auto ended = it->second->endedAt();
    it = ended && *ended < at ? Answers.erase(it) : std::next(it);
  }
}

} // namespace sorrelbay
