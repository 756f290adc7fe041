#include "LibBase/Rfc3339.h"
#include <array>
#include <ctime>
#include <toml++/toml.h>

namespace sorrelbay {

static constexpr int FirstYearOfTm = 1900;
static constexpr std::size_t MaxTimestampLength = 40;

static Instant toInstant(const toml::date_time &value) {
  std::tm parts{};
  parts.tm_year = value.date.year - FirstYearOfTm;
  parts.tm_mon = value.date.month - 1;
  parts.tm_mday = value.date.day;
  parts.tm_hour = value.time.hour;
  parts.tm_min = value.time.minute;
  parts.tm_sec = value.time.second;
  const Duration whole = seconds(timegm(&parts));
  const Duration fraction = microseconds(value.time.nanosecond / 1000);
  const Duration offset = minutes(value.offset->minutes);
  return Instant(whole + fraction - offset);
}

std::optional<Instant> parseRfc3339(const std::string &text) {
  // Dates and times in TOML are RFC 3339, so the TOML parser reads them. A
  // longer text, or one with a line break or a comment, could contain more than
  // one value.
  if (text.size() > MaxTimestampLength ||
      text.find_first_of("\r\n#") != std::string::npos)
    return std::nullopt;
  try {
    const toml::table table = toml::parse("at = " + text);
    const auto *value = table["at"].as_date_time();
    if (value == nullptr || !value->get().offset)
      return std::nullopt;
    return toInstant(value->get());
  } catch (const toml::parse_error &) {
    return std::nullopt;
  }
}

std::string formatRfc3339(Instant at) {
  const std::time_t whole = toEpochMilliseconds(at) / 1000;
  std::tm parts{};
  gmtime_r(&whole, &parts);
  std::array<char, MaxTimestampLength> buf{};
  const std::size_t n =
      std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return {buf.data(), n};
}

} // namespace sorrelbay
