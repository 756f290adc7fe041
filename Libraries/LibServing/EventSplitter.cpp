#include "LibServing/EventSplitter.h"

namespace sorrelbay {

static constexpr std::string_view EventEnd = "\n\n";
static constexpr std::string_view IdField = "id:";

std::string EventSplitter::feed(std::string_view bytes) {
  // The end of an event may be split across two reads.
  const std::size_t from = PartialEvent.empty() ? 0 : PartialEvent.size() - 1;
  PartialEvent.append(bytes);
  std::size_t completeEnd = 0;
  std::size_t at = PartialEvent.find(EventEnd, from);
  while (at != std::string::npos) {
    const std::size_t end = at + EventEnd.size();
    readId(
        std::string_view(PartialEvent).substr(completeEnd, end - completeEnd));
    completeEnd = end;
    at = PartialEvent.find(EventEnd, completeEnd);
  }
  std::string out = PartialEvent.substr(0, completeEnd);
  PartialEvent.erase(0, completeEnd);
  return out;
}

std::string EventSplitter::takePartialEvent() {
  std::string out = std::move(PartialEvent);
  PartialEvent.clear();
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
