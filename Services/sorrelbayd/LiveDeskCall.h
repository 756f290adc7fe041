#pragma once

#include "LibBase/Error.h"
#include "LibDecision/DeskCallProtocol.h"
#include "LibDesk/DeskClient.h"
#include <condition_variable>
#include <functional>
#include <mutex>

namespace sorrelbay {

/// The owner of a ticket was not reached, or another process has its address.
/// The owner has not received the call.
class OwnerNotReached : public Error {
public:
  using Error::Error;
};

/// The side effects of a live call. All hooks may block and are called without
/// a lock held.
struct DeskCallHooks {
  std::function<EditOutcome(const SubmitEdit &)> Apply;
  /// Sends the call to the next replica. Throws DeskRejected if the call did
  /// not run, and any other Error if it may have run.
  std::function<DeskAnswer()> Send;
  /// Forwards the call to the ticket's owner. Throws OwnerNotReached if the
  /// owner has not received the call, and any other Error if it may have.
  std::function<DeskCallAnswer(const CallTicket &)> Forward;
};

/// One attempt at a non-repeatable call in this process. A worker performs the
/// actions that the protocol returns. The caller's thread waits for the answer
/// until the deadline at the latest; the worker does the rest, such as
/// recording the result.
///
/// The lock guards the protocol and the answer, and is a leaf.
class LiveDeskCall {
public:
  using Event = std::function<DeskCallActions(DeskCallProtocol &)>;

  LiveDeskCall(DeskCallProtocol protocol, DeskCallHooks hooks);

  /// Passes the first event to the protocol. Returns the resulting actions for
  /// performActions().
  DeskCallActions begin(const Event &firstEvent) {
    return handleEvent(firstEvent);
  }
  /// Performs the actions and those that follow from them, until the call has
  /// ended.
  void performActions(const DeskCallActions &first);
  /// Waits for the call's only answer and returns it, at the deadline at the
  /// latest.
  DeskCallAnswer await(Instant deadline);

private:
  DeskCallActions handleEvent(const Event &event);
  Event perform(const DeskCallAction &action);
  Event performSend();
  Event performForward();

  const DeskCallHooks Hooks;
  std::mutex Mutex;
  std::condition_variable Changed;
  DeskCallProtocol Protocol;
  std::optional<DeskCallAnswer> Answer;
};

} // namespace sorrelbay
