#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace sorrelbay {

enum class Severity { Info, Warning, Error };

/// A log line, written as a JSON object to standard output on destruction. The
/// event is a short constant phrase; variable data goes into fields.
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

/// Redirects all output of glog to standard output as JSON lines, written on a
/// separate thread so that logging never blocks the caller. Every line contains
/// the program, host and zone given here. Called once at startup.
void initializeLogging(const char *program, const std::string &host,
                       const std::string &zone);

} // namespace sorrelbay
