#pragma once

#include "LibHttp/HttpServer.h"
#include <string>

namespace sorrelbay {

/// Starts the server on the address, prints "listening ip:port" on standard
/// output and waits for SIGTERM or SIGINT, which end the process with exit code
/// 0.
int serveFake(HttpServer &server, const std::string &address);

/// Blocks SIGTERM and SIGINT in this thread and in those it starts later, so
/// that serveFake can wait for them. Ignores SIGPIPE. Must be called first in
/// main.
void blockStopSignals();

/// Returns the number in a query parameter, or the default value if the
/// parameter is missing or empty.
std::int64_t queryNumber(const HttpRequest &request, const char *name,
                         std::int64_t defaultNumber);

} // namespace sorrelbay
