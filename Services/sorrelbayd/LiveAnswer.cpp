#include "LiveAnswer.h"
#include "LibCaller/Problem.h"
#include <utility>

namespace sorrelbay {

LiveAnswer::LiveAnswer(AnswerRequest request, AnswerStream stream)
    : CallRequest(std::move(request)), Stream(std::move(stream)),
      UnreadSince(now()) {}

AnswerAttempt LiveAnswer::beginAttempt(const UpstreamId &upstream) {
  const std::lock_guard<std::mutex> lock(Mutex);
  CurrentUpstream = upstream;
  TokensOfAttempt = 0;
  return Stream.beginAttempt();
}

bool LiveAnswer::setCancelHook(std::function<void()> cancelConnection) {
  const std::lock_guard<std::mutex> lock(Mutex);
  if (PendingRedirect || !HandoverNotice.empty())
    return false;
  CancelConnection = std::move(cancelConnection);
  return true;
}

void LiveAnswer::endAttempt() {
  const std::lock_guard<std::mutex> lock(Mutex);
  Stream.abandonAttempt(Stream.currentAttempt());
  CancelConnection = nullptr;
}

TokenVerdict LiveAnswer::take(const ReceivedToken &token) {
  const std::lock_guard<std::mutex> lock(Mutex);
  const TokenVerdict verdict = Stream.take(token);
  if (verdict != TokenVerdict::Taken)
    return verdict;
  ++TokensOfAttempt;
  if (Stream.nextOffset() == 1)
    WasLate = now() - CallRequest.Arrival > CallRequest.OnRoute.LatencyTarget;
  Changed.notify_all();
  return verdict;
}

EndVerdict LiveAnswer::finish(const ReceivedEnd &end,
                              const std::string &reason) {
  const std::lock_guard<std::mutex> lock(Mutex);
  const EndVerdict verdict = Stream.finish(end);
  if (verdict != EndVerdict::Whole)
    return verdict;
  EndReason = reason;
  Ended = now();
  Changed.notify_all();
  return verdict;
}

void LiveAnswer::fail(std::shared_ptr<const Problem> why) {
  const std::lock_guard<std::mutex> lock(Mutex);
  Failure = std::move(why);
  Ended = now();
  Changed.notify_all();
}

void LiveAnswer::redirect(Redirect to) {
  const std::lock_guard<std::mutex> lock(Mutex);
  PendingRedirect = std::move(to);
  if (CancelConnection)
    CancelConnection();
  Changed.notify_all();
}

bool LiveAnswer::isRedirected() const {
  const std::lock_guard<std::mutex> lock(Mutex);
  return PendingRedirect.has_value();
}

std::optional<Redirect> LiveAnswer::takeRedirect(Instant until) {
  std::unique_lock<std::mutex> lock(Mutex);
  Changed.wait_until(lock, until, [this] {
    return PendingRedirect.has_value() || !HandoverNotice.empty();
  });
  return std::exchange(PendingRedirect, std::nullopt);
}

std::optional<Handover> LiveAnswer::freeze() {
  const std::lock_guard<std::mutex> lock(Mutex);
  if (Ended)
    return std::nullopt;
  FrozenAt = Stream.nextOffset();
  Handover handover;
  handover.Request = CallRequest.Id;
  handover.Team = CallRequest.Context.FromTeam;
  handover.OnRoute = CallRequest.OnRoute.Id;
  handover.Version = CallRequest.Version;
  handover.Body = renderModelCall(CallRequest.Call);
  handover.Tokens = Stream.tokens();
  handover.LastAttempt = Stream.lastAttempt();
  handover.At = CurrentUpstream;
  handover.Deadline = CallRequest.Context.Deadline;
  handover.TraceParent = renderTraceParent(CallRequest.Context.Trace);
  return handover;
}

void LiveAnswer::unfreeze() {
  const std::lock_guard<std::mutex> lock(Mutex);
  FrozenAt.reset();
  Changed.notify_all();
}

void LiveAnswer::setMoved(std::string notice) {
  const std::lock_guard<std::mutex> lock(Mutex);
  HandoverNotice = std::move(notice);
  Ended = now();
  if (CancelConnection)
    CancelConnection();
  Changed.notify_all();
}

std::string LiveAnswer::handoverNotice() const {
  const std::lock_guard<std::mutex> lock(Mutex);
  return HandoverNotice;
}

std::uint64_t
LiveAnswer::beginReading(std::optional<std::uint64_t> lastEventId) {
  const std::lock_guard<std::mutex> lock(Mutex);
  Stream.reconnect(lastEventId);
  HasReader = true;
  ++CurrentReader;
  Changed.notify_all();
  return CurrentReader;
}

/// Returns the next event for the reader. If there is none, isOver is set to
/// whether none will follow, because the answer has ended, failed or moved, or
/// another reader has replaced this one.
std::optional<AnswerEvent> LiveAnswer::nextFor(std::uint64_t reader, bool waits,
                                               bool &isOver) {
  std::unique_lock<std::mutex> lock(Mutex);
  while (true) {
    isOver = reader != CurrentReader;
    if (isOver)
      return std::nullopt;
    const bool isWithheld = FrozenAt && Stream.nextEventId() >= *FrozenAt;
    if (!isWithheld)
      if (auto event = Stream.nextEvent())
        return event;
    isOver = isWithheld ? !HandoverNotice.empty() : Ended.has_value();
    if (isOver || !waits)
      return std::nullopt;
    Changed.wait(lock);
  }
}

bool LiveAnswer::drain(std::uint64_t reader, const Sink &sink) {
  bool isOver = false;
  while (const auto event = nextFor(reader, false, isOver)) {
    if (sink(*event))
      continue;
    endReading(reader);
    return false;
  }
  const std::lock_guard<std::mutex> lock(Mutex);
  return reader == CurrentReader && HasReader;
}

ReaderEnd LiveAnswer::read(std::uint64_t reader, const Sink &sink) {
  bool isOver = false;
  while (const auto event = nextFor(reader, true, isOver)) {
    if (!sink(*event)) {
      endReading(reader);
      return ReaderEnd::Disconnected;
    }
    if (event->IsEnd)
      return ReaderEnd::Whole;
  }
  const std::lock_guard<std::mutex> lock(Mutex);
  if (reader != CurrentReader)
    return ReaderEnd::Disconnected;
  if (!HandoverNotice.empty())
    return ReaderEnd::Moved;
  return Failure ? ReaderEnd::Failed : ReaderEnd::Whole;
}

void LiveAnswer::endReading(std::uint64_t reader) {
  const std::lock_guard<std::mutex> lock(Mutex);
  if (reader != CurrentReader || !HasReader)
    return;
  HasReader = false;
  UnreadSince = now();
}

Duration LiveAnswer::unreadFor(Instant at) const {
  const std::lock_guard<std::mutex> lock(Mutex);
  return HasReader ? Duration{} : at - UnreadSince;
}

std::uint64_t LiveAnswer::tokenCount() const {
  const std::lock_guard<std::mutex> lock(Mutex);
  return Stream.nextOffset();
}

std::vector<std::string> LiveAnswer::tokens() const {
  const std::lock_guard<std::mutex> lock(Mutex);
  return Stream.tokens();
}

DroppedCount LiveAnswer::dropped() const {
  const std::lock_guard<std::mutex> lock(Mutex);
  return Stream.dropped();
}

bool LiveAnswer::isFirstOfAttempt() const {
  const std::lock_guard<std::mutex> lock(Mutex);
  return TokensOfAttempt == 1;
}

bool LiveAnswer::wasLate() const {
  const std::lock_guard<std::mutex> lock(Mutex);
  return WasLate;
}

std::string LiveAnswer::finishReason() const {
  const std::lock_guard<std::mutex> lock(Mutex);
  return EndReason;
}

std::shared_ptr<const Problem> LiveAnswer::failure() const {
  const std::lock_guard<std::mutex> lock(Mutex);
  return Failure;
}

std::optional<Instant> LiveAnswer::endedAt() const {
  const std::lock_guard<std::mutex> lock(Mutex);
  return Ended;
}

} // namespace sorrelbay
