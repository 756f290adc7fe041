#include "LibHttp/EventSplitter.h"
#include <algorithm>
#include <optional>

namespace sorrelbay {

static constexpr std::string_view DataField = "data:";

std::string EventSplitter::feed(std::string_view bytes) {
  if (IsEventTooLarge)
    return "";
  const auto completeEnd = Scanner.scan(bytes);
  if (!completeEnd) {
    PartialEvent.append(bytes);
    IsEventTooLarge = PartialEvent.size() > MaxEventBytes;
    return "";
  }
  std::string out = std::move(PartialEvent);
  out.append(bytes.substr(0, *completeEnd));
  PartialEvent = std::string(bytes.substr(*completeEnd));
  return out;
}

std::string EventSplitter::takePartialEvent() {
  std::string out = std::move(PartialEvent);
  PartialEvent.clear();
  IsEventTooLarge = false;
  Scanner.restart();
  return out;
}

/// Takes the next line off the text, with its line ending.
static std::string_view takeLine(std::string_view &text) {
  const std::size_t end = std::min(text.find_first_of("\r\n"), text.size());
  const std::string_view line = text.substr(0, end);
  text.remove_prefix(end);
  const bool endsWithBoth = text.substr(0, 2) == "\r\n";
  text.remove_prefix(std::min<std::size_t>(endsWithBoth ? 2 : 1, text.size()));
  return line;
}

void forEachEventData(std::string_view events,
                      const std::function<void(const std::string &)> &hook) {
  std::optional<std::string> data;
  while (!events.empty()) {
    std::string_view line = takeLine(events);
    if (line.empty() && data) {
      hook(*data);
      data.reset();
    }
    if (line.substr(0, DataField.size()) != DataField)
      continue;
    line.remove_prefix(DataField.size());
    line.remove_prefix(line.substr(0, 1) == " " ? 1 : 0);
    // The lines of an event's data are joined by LF.
    data = data ? *data + "\n" + std::string(line) : std::string(line);
  }
}

} // namespace sorrelbay
