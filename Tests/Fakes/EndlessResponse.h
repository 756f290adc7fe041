#pragma once

#include "ScriptedServer.h"
#include <ostream>
#include <string>

namespace sorrelbay {

/// A response without end: how it begins, and what follows again and again.
struct EndlessResponse {
  const char *Name;
  std::string Begin;
  std::string Rest;

  friend std::ostream &operator<<(std::ostream &out,
                                  const EndlessResponse &it) {
    return out << it.Name;
  }
};

/// The text repeated until it takes a kilobyte.
std::string repeated(const std::string &text);

/// Responds to each request so. "ID" in the beginning of the response stands
/// for the id of the request's call.
ScriptedServer::Script endlessly(const EndlessResponse &response);

} // namespace sorrelbay
