#pragma once

#include "LibObjectApi/ObjectApi.h"
#include <string>

namespace sorrelbay {

/// Returns a client of the platform's object API at "ip:port", over HTTP with
/// entity tags and conditional requests (RFC 9110). The timeout bounds each
/// call; for a watch its wait limit is added.
ObjectApi connectObjectApi(const std::string &address, Duration timeout);

} // namespace sorrelbay
