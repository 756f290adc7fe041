#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace sorrelbay {

enum class Severity { Info, Warning, Error };

/// One log line, written as a JSON object on standard output when it is
/// destroyed. The event names what happened in a few constant words; all that
/// varies goes into fields.
class LogLine {
public:
  LogLine(Severity severity, std::string event);
  ~LogLine();
  LogLine(const LogLine &) = delete;
  LogLine &operator=(const LogLine &) = delete;

  LogLine &field(const char *key, const std::string &value);
  LogLine &field(const char *key, const char *value);
  LogLine &field(const char *key, std::int64_t value);
  LogLine &field(const char *key, double value);

private:
  struct Fields;
  std::unique_ptr<Fields> Values;
};

/// Sends glog's output to standard output as JSON lines and nowhere else, from
/// a thread of its own that never holds up the caller. Every line carries the
/// program, host and zone given here. Called once at start.
void initializeLogging(const char *program, const std::string &host,
                       const std::string &zone);

} // namespace sorrelbay
