#include "LibHttp/EventScanner.h"
#include <algorithm>
#include <strings.h>

namespace sorrelbay {

static constexpr std::string_view IdField = "id";
static constexpr std::string_view DataField = "data";
static constexpr std::string_view EventStreamType = "text/event-stream";
/// The bytes of a line that are kept. A longer id counts as none.
static constexpr std::size_t MaxLineBytes = 1024;

std::optional<std::size_t> EventScanner::scan(std::string_view bytes) {
  std::optional<std::size_t> completeEnd;
  std::size_t at = 0;
  while (at < bytes.size()) {
    if (IsAfterCarriageReturn) {
      IsAfterCarriageReturn = false;
      const bool isLineFeed = bytes[at] == '\n';
      EndsLinesWithCarriageReturn = !isLineFeed;
      at += isLineFeed ? 1 : 0;
      if (AwaitsLineFeed)
        endEvent();
      if (!HasFields)
        completeEnd = at;
      continue;
    }
    std::size_t end = at;
    while (end < bytes.size() && bytes[end] != '\n' && bytes[end] != '\r')
      ++end;
    appendToLine(bytes.substr(at, end - at));
    if (end == bytes.size())
      break;
    at = end + 1;
    if (endLine(bytes[end] == '\r'))
      completeEnd = at;
  }
  return completeEnd;
}

void EventScanner::appendToLine(std::string_view bytes) {
  LineLength += bytes.size();
  if (Line.size() < MaxLineBytes)
    Line.append(bytes.substr(0, MaxLineBytes - Line.size()));
}

/// Returns whether all bytes so far belong to complete events. Comments between
/// events belong to none and need not wait for the next.
bool EventScanner::endLine(bool isCarriageReturn) {
  const bool isEmpty = LineLength == 0;
  const bool isComment = !isEmpty && Line.front() == ':';
  IsAfterCarriageReturn = isCarriageReturn;
  if (isEmpty && HasFields) {
    AwaitsLineFeed = isCarriageReturn && !EndsLinesWithCarriageReturn;
    if (!AwaitsLineFeed)
      endEvent();
  }
  if (!isEmpty && !isComment)
    readField();
  if (!isCarriageReturn)
    EndsLinesWithCarriageReturn = false;
  Line.clear();
  LineLength = 0;
  return !HasFields;
}

void EventScanner::readField() {
  HasFields = true;
  const std::string_view line = Line;
  const std::size_t colon = std::min(line.find(':'), line.size());
  const std::string_view name = line.substr(0, colon);
  HasData = HasData || name == DataField;
  if (name != IdField)
    return;
  std::string_view id = line.substr(std::min(colon + 1, line.size()));
  while (!id.empty() && id.front() == ' ')
    id.remove_prefix(1);
  NextId = LineLength > MaxLineBytes ? "" : std::string(id);
}

void EventScanner::endEvent() {
  ++CompleteEvents;
  HasFields = false;
  AwaitsLineFeed = false;
  // An event without data is not passed to the application.
  if (NextId || HasData)
    IsLastEventNamed = NextId.has_value() && !NextId->empty();
  if (NextId)
    LastId = std::move(*NextId);
  NextId.reset();
  HasData = false;
}

void EventScanner::restart() {
  EventScanner next;
  next.LastId = std::move(LastId);
  next.IsLastEventNamed = IsLastEventNamed;
  *this = std::move(next);
}

bool isEventStreamType(std::string_view contentType) {
  return contentType.size() >= EventStreamType.size() &&
         strncasecmp(contentType.data(), EventStreamType.data(),
                     EventStreamType.size()) == 0;
}

} // namespace sorrelbay
