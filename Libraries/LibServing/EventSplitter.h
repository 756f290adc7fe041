#pragma once

#include <string>
#include <string_view>

namespace sorrelbay {

/// Cuts a stream of server-sent events into whole events, so that a stream
/// which breaks off in the middle of an event can go on at another upstream
/// without the caller getting that event one and a half times.
class EventSplitter {
public:
  /// Takes the next bytes and returns the whole events that are complete now,
  /// as they came.
  std::string feed(std::string_view bytes);
  /// The id of the last whole event; empty before the first.
  const std::string &lastId() const { return LastId; }
  /// Whether bytes of an event that isn't whole are held back.
  bool hasPartialEvent() const { return !Part.empty(); }
  /// What is held back of an event that isn't whole.
  std::string takePartialEvent();

private:
  void readId(std::string_view event);

  std::string Part;
  std::string LastId;
};

} // namespace sorrelbay
