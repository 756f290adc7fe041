#include "LibServing/EventSplitter.h"

namespace sorrelbay {

static constexpr std::string_view EventEnd = "\n\n";
static constexpr std::string_view IdField = "id:";

std::string EventSplitter::feed(std::string_view bytes) {
  // An end may lie across the border of two reads.
  const std::size_t from = Part.empty() ? 0 : Part.size() - 1;
  Part.append(bytes);
  std::size_t whole = 0;
  std::size_t at = Part.find(EventEnd, from);
  while (at != std::string::npos) {
    const std::size_t end = at + EventEnd.size();
    readId(std::string_view(Part).substr(whole, end - whole));
    whole = end;
    at = Part.find(EventEnd, whole);
  }
  std::string out = Part.substr(0, whole);
  Part.erase(0, whole);
  return out;
}

std::string EventSplitter::takePartialEvent() {
  std::string out = std::move(Part);
  Part.clear();
  return out;
}

void EventSplitter::readId(std::string_view event) {
  std::size_t begin = 0;
  while (begin < event.size()) {
    std::size_t end = event.find('\n', begin);
    if (end == std::string_view::npos)
      end = event.size();
    std::string_view line = event.substr(begin, end - begin);
    begin = end + 1;
    if (line.substr(0, IdField.size()) != IdField)
      continue;
    line.remove_prefix(IdField.size());
    while (!line.empty() && line.front() == ' ')
      line.remove_prefix(1);
    while (!line.empty() && line.back() == '\r')
      line.remove_suffix(1);
    LastId = std::string(line);
  }
}

} // namespace sorrelbay
