#include "LiveDeskCall.h"
#include <deque>
#include <thread>
#include <utility>

namespace sorrelbay {

LiveDeskCall::LiveDeskCall(DeskCallProtocol protocol, DeskCallHooks hooks)
    : Hooks(std::move(hooks)), Protocol(std::move(protocol)) {}

void LiveDeskCall::performActions(const DeskCallActions &first) {
  std::deque<DeskCallAction> pendingActions(first.begin(), first.end());
  while (!pendingActions.empty()) {
    const DeskCallAction action = std::move(pendingActions.front());
    pendingActions.pop_front();
    const DeskCallActions more = handleEvent(perform(action));
    pendingActions.insert(pendingActions.end(), more.begin(), more.end());
  }
}

DeskCallAnswer LiveDeskCall::await(Instant deadline) {
  std::unique_lock<std::mutex> lock(Mutex);
  Changed.wait_until(lock, deadline, [this] { return Answer.has_value(); });
  lock.unlock();
  handleEvent([](DeskCallProtocol &it) { return it.onDeadline(); });
  lock.lock();
  return *Answer;
}

// Passes an event to the protocol. The answer is removed from the actions here,
// under the lock, so that there is never a second one.
DeskCallActions LiveDeskCall::handleEvent(const Event &event) {
  const std::lock_guard<std::mutex> lock(Mutex);
  DeskCallActions others;
  for (DeskCallAction &it : event(Protocol)) {
    if (auto *answer = std::get_if<AnswerCaller>(&it))
      Answer = std::move(answer->Answer);
    else
      others.push_back(std::move(it));
  }
  Changed.notify_all();
  return others;
}

LiveDeskCall::Event LiveDeskCall::perform(const DeskCallAction &action) {
  if (std::holds_alternative<SendToDesk>(action))
    return performSend();
  if (std::holds_alternative<ForwardToOwner>(action))
    return performForward();
  const auto &submit = std::get<SubmitEdit>(action);
  std::this_thread::sleep_for(submit.After);
  const EditOutcome outcome = Hooks.Apply(submit);
  return [outcome](DeskCallProtocol &it) { return it.onEdit(outcome, now()); };
}

LiveDeskCall::Event LiveDeskCall::performSend() {
  try {
    const DeskAnswer reply = Hooks.Send();
    return [reply](DeskCallProtocol &it) {
      return it.onDeskAnswered(reply.Status, reply.Body);
    };
  } catch (const DeskRejected &) {
    return [](DeskCallProtocol &it) { return it.onDeskRefused(); };
  } catch (const std::exception &) {
    return [](DeskCallProtocol &it) { return it.onDeskLost(); };
  }
}

LiveDeskCall::Event LiveDeskCall::performForward() {
  try {
    const auto ticket = parseTicket(Protocol.call().Id.Key);
    const DeskCallAnswer answer = Hooks.Forward(*ticket);
    return
        [answer](DeskCallProtocol &it) { return it.onForwardAnswered(answer); };
  } catch (const OwnerNotReached &) {
    return [](DeskCallProtocol &it) { return it.onForwardRefused(); };
  } catch (const std::exception &) {
    return [](DeskCallProtocol &it) { return it.onForwardLost(); };
  }
}

} // namespace sorrelbay
