#include "LiveAnswer.h"
#include "LibCaller/Problem.h"
#include <utility>

namespace sorrelbay {

LiveAnswer::LiveAnswer(AnswerRequest request, AnswerStream stream)
    : What(std::move(request)), Stream(std::move(stream)), UnreadSince(now()) {}

AnswerAttempt LiveAnswer::beginAttempt(const UpstreamId &upstream) {
  const std::lock_guard<std::mutex> lock(Mutex);
  At = upstream;
  TokensOfAttempt = 0;
  return Stream.beginAttempt();
}

bool LiveAnswer::attach(std::function<void()> cancelConnection) {
  const std::lock_guard<std::mutex> lock(Mutex);
  if (Next || !MovedTo.empty())
    return false;
  CancelConnection = std::move(cancelConnection);
  return true;
}

void LiveAnswer::endAttempt() {
  const std::lock_guard<std::mutex> lock(Mutex);
  Stream.abandonAttempt(Stream.currentAttempt());
  CancelConnection = nullptr;
}

TokenVerdict LiveAnswer::take(const ArrivedToken &token) {
  const std::lock_guard<std::mutex> lock(Mutex);
  const TokenVerdict verdict = Stream.take(token);
  if (verdict != TokenVerdict::Taken)
    return verdict;
  ++TokensOfAttempt;
  if (Stream.nextOffset() == 1)
    WasLate = now() - What.Arrival > What.OnRoute.LatencyTarget;
  Changed.notify_all();
  return verdict;
}

EndVerdict LiveAnswer::finish(const ArrivedEnd &end,
                              const std::string &reason) {
  const std::lock_guard<std::mutex> lock(Mutex);
  const EndVerdict verdict = Stream.finish(end);
  if (verdict != EndVerdict::Whole)
    return verdict;
  Reason = reason;
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
  Next = std::move(to);
  if (CancelConnection)
    CancelConnection();
  Changed.notify_all();
}

bool LiveAnswer::isRedirected() const {
  const std::lock_guard<std::mutex> lock(Mutex);
  return Next.has_value();
}

std::optional<Redirect> LiveAnswer::takeRedirect(Instant until) {
  std::unique_lock<std::mutex> lock(Mutex);
  Changed.wait_until(lock, until,
                     [this] { return Next.has_value() || !MovedTo.empty(); });
  return std::exchange(Next, std::nullopt);
}

std::optional<Handover> LiveAnswer::freeze() {
  const std::lock_guard<std::mutex> lock(Mutex);
  if (Ended)
    return std::nullopt;
  FrozenAt = Stream.nextOffset();
  Handover handover;
  handover.Request = What.Id;
  handover.Team = What.Context.FromTeam;
  handover.OnRoute = What.OnRoute.Id;
  handover.Version = What.Version;
  handover.Body = renderModelCall(What.Call);
  handover.Tokens = Stream.tokens();
  handover.LastAttempt = Stream.lastAttempt();
  handover.At = At;
  handover.Deadline = What.Context.Deadline;
  handover.TraceParent = renderTraceParent(What.Context.Trace);
  return handover;
}

void LiveAnswer::unfreeze() {
  const std::lock_guard<std::mutex> lock(Mutex);
  FrozenAt.reset();
  Changed.notify_all();
}

void LiveAnswer::setMoved(std::string notice) {
  const std::lock_guard<std::mutex> lock(Mutex);
  MovedTo = std::move(notice);
  Ended = now();
  if (CancelConnection)
    CancelConnection();
  Changed.notify_all();
}

std::string LiveAnswer::movedTo() const {
  const std::lock_guard<std::mutex> lock(Mutex);
  return MovedTo;
}

std::uint64_t
LiveAnswer::beginReading(std::optional<std::uint64_t> lastEventId) {
  const std::lock_guard<std::mutex> lock(Mutex);
  Stream.reconnect(lastEventId);
  IsRead = true;
  ++Reader;
  Changed.notify_all();
  return Reader;
}

/// The next event for the reader. Without one, isOver says whether none will
/// come: the end or failure was reached, or the reader is superseded.
std::optional<AnswerEvent> LiveAnswer::nextFor(std::uint64_t reader, bool waits,
                                               bool &isOver) {
  std::unique_lock<std::mutex> lock(Mutex);
  while (true) {
    isOver = reader != Reader;
    if (isOver)
      return std::nullopt;
    const bool isHeldBack = FrozenAt && Stream.nextEventId() >= *FrozenAt;
    if (!isHeldBack)
      if (auto event = Stream.nextEvent())
        return event;
    isOver = isHeldBack ? !MovedTo.empty() : Ended.has_value();
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
  return reader == Reader && IsRead;
}

ReaderEnd LiveAnswer::read(std::uint64_t reader, const Sink &sink) {
  bool isOver = false;
  while (const auto event = nextFor(reader, true, isOver)) {
    if (!sink(*event)) {
      endReading(reader);
      return ReaderEnd::Gone;
    }
    if (event->IsEnd)
      return ReaderEnd::Whole;
  }
  const std::lock_guard<std::mutex> lock(Mutex);
  if (reader != Reader)
    return ReaderEnd::Gone;
  if (!MovedTo.empty())
    return ReaderEnd::Moved;
  return Failure ? ReaderEnd::Failed : ReaderEnd::Whole;
}

void LiveAnswer::endReading(std::uint64_t reader) {
  const std::lock_guard<std::mutex> lock(Mutex);
  if (reader != Reader || !IsRead)
    return;
  IsRead = false;
  UnreadSince = now();
}

Duration LiveAnswer::unreadFor(Instant at) const {
  const std::lock_guard<std::mutex> lock(Mutex);
  return IsRead ? Duration{} : at - UnreadSince;
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
  return Reason;
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
