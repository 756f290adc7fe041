#include "EndlessResponse.h"

namespace sorrelbay {

static constexpr std::size_t RepeatedBytes = 1024;
static const std::string IdMark = "ID";

std::string repeated(const std::string &text) {
  std::string out;
  while (out.size() < RepeatedBytes)
    out += text;
  return out;
}

ScriptedServer::Script endlessly(const EndlessResponse &response) {
  return [response](const std::string &request) {
    std::string begin = response.Begin;
    const std::size_t id = begin.find(IdMark);
    if (id != std::string::npos)
      begin.replace(id, IdMark.size(), scriptedHeader(request, "X-Call"));
    ScriptedResponse out;
    if (!begin.empty())
      out.Parts.push_back(begin);
    out.Parts.push_back(response.Rest);
    out.End = ScriptedEnd::Endless;
    return out;
  };
}

} // namespace sorrelbay
