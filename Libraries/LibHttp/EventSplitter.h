#pragma once

#include "LibHttp/EventScanner.h"
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace sorrelbay {

/// The most bytes of an event that are held back until it is complete.
constexpr std::size_t MaxEventBytes = 1024UL * 1024;

/// Splits a stream of server-sent events into complete events, so that a stream
/// that breaks off in the middle of an event can be resumed at another upstream
/// without the caller receiving a part of that event twice.
class EventSplitter {
public:
  /// Sets the id of the event that the stream follows.
  void resumeAfter(std::string id) { Scanner.resumeAfter(std::move(id)); }
  /// Adds the next bytes of the stream and returns the events that they
  /// complete, unchanged. Once an event is too large, it and all that follows
  /// is dropped.
  std::string feed(std::string_view bytes);
  /// Whether an event was larger than MaxEventBytes.
  bool isEventTooLarge() const { return IsEventTooLarge; }
  /// The same for bytes that are not held back until their event is complete.
  void pass(std::string_view bytes) { Scanner.scan(bytes); }
  /// Whether the stream so far ends inside an event.
  bool isInsideEvent() const { return Scanner.isInsideEvent(); }
  /// Whether the stream can be resumed after the last complete event.
  bool isLastEventNamed() const { return Scanner.isLastEventNamed(); }
  /// The id of the last complete event that has one; empty before the first.
  const std::string &lastId() const { return Scanner.lastId(); }
  /// The complete events since the last call of takePartialEvent.
  std::size_t completeEvents() const { return Scanner.completeEvents(); }
  /// Whether bytes of an incomplete event are buffered.
  bool hasPartialEvent() const { return !PartialEvent.empty(); }
  /// Removes and returns the buffered bytes of an incomplete event. Another
  /// stream may follow.
  std::string takePartialEvent();

private:
  EventScanner Scanner;
  std::string PartialEvent;
  bool IsEventTooLarge = false;
};

/// Calls the hook with the data of each event that has some. The events must be
/// complete.
void forEachEventData(std::string_view events,
                      const std::function<void(const std::string &)> &hook);

} // namespace sorrelbay
