#pragma once

#include "LibBase/Time.h"
#include <optional>
#include <string>

namespace sorrelbay {

/// Parses an RFC 3339 timestamp with an offset, such as "2026-12-03T04:00:00Z".
/// Returns nothing if it is malformed or has no offset, because a time without
/// an offset would depend on the host's time zone.
std::optional<Instant> parseRfc3339(const std::string &text);

/// Formats a point in time as RFC 3339 in UTC, in whole seconds.
std::string formatRfc3339(Instant at);

} // namespace sorrelbay
