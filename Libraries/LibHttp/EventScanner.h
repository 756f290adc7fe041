#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace sorrelbay {

/// Finds the ends of events in a stream of server-sent events. A line ends with
/// LF, CR or CRLF, and an event with an empty line. Keeps no bytes of the
/// stream but a part of the line that is not complete.
class EventScanner {
public:
  /// Scans the next bytes of the stream. Returns how many of them belong to
  /// complete events; empty if no event ends in them. An event that ended with
  /// the bytes before may need the next byte to show it: the result is 0 then.
  std::optional<std::size_t> scan(std::string_view bytes);
  /// Whether the bytes so far end inside an event or a line.
  bool isInsideEvent() const { return HasFields || LineLength != 0; }
  /// The complete events since the begin or the last restart.
  std::size_t completeEvents() const { return CompleteEvents; }
  /// The id of the last complete event that has one; empty before the first.
  const std::string &lastId() const { return LastId; }
  /// Whether the stream can be resumed after the last complete event: it has an
  /// id of its own, or there is none yet.
  bool isLastEventNamed() const { return IsLastEventNamed; }
  /// Sets the id of the event that the stream follows.
  void resumeAfter(std::string id) { LastId = std::move(id); }
  /// Forgets an incomplete event; another stream follows.
  void restart();

private:
  void appendToLine(std::string_view bytes);
  bool endLine(bool isCarriageReturn);
  void readField();
  void endEvent();

  /// The begin of the current line, as far as field names and ids need it.
  std::string Line;
  std::size_t LineLength = 0;
  std::size_t CompleteEvents = 0;
  /// The current event has a field.
  bool HasFields = false;
  /// The last byte was a CR; an LF that follows belongs to it.
  bool IsAfterCarriageReturn = false;
  /// The empty line that ends the event has its CR and, as the lines before
  /// ended otherwise, probably an LF.
  bool AwaitsLineFeed = false;
  /// The line before ended with a CR alone.
  bool EndsLinesWithCarriageReturn = false;
  bool HasData = false;
  bool IsLastEventNamed = true;
  std::optional<std::string> NextId;
  std::string LastId;
};

/// Whether the content type is that of server-sent events.
bool isEventStreamType(std::string_view contentType);

} // namespace sorrelbay
