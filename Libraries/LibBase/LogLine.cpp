#include "LibBase/LogLine.h"
#include "LibBase/Time.h"
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <glog/logging.h>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

namespace sorrelbay {

struct LogLine::Fields {
  Severity Level;
  nlohmann::ordered_json Json;
};

namespace {

/// Lines that may wait to be written; beyond it lines are lost, and counted.
constexpr std::size_t MostWaitingLines = 2048;

/// Writes lines to standard output on a thread of its own, so that a reader of
/// it that stands still loses lines and holds up no call. The mutex is a leaf.
class LineWriter {
public:
  LineWriter() : Worker([this] { work(); }) { Worker.detach(); }

  void add(std::string line) {
    const std::lock_guard<std::mutex> lock(Mutex);
    if (Waiting.size() >= MostWaitingLines) {
      ++Lost;
      return;
    }
    Waiting.push_back(std::move(line));
    Changed.notify_one();
  }

  /// Waits a moment for the lines that wait to be written, at the end.
  void flush() {
    std::unique_lock<std::mutex> lock(Mutex);
    Changed.wait_for(lock, milliseconds(200),
                     [this] { return Waiting.empty() && !IsWriting; });
  }

private:
  void work() {
    std::unique_lock<std::mutex> lock(Mutex);
    for (;;) {
      Changed.wait(lock, [this] { return !Waiting.empty(); });
      std::vector<std::string> lines = std::move(Waiting);
      Waiting.clear();
      const std::size_t lost = Lost;
      Lost = 0;
      IsWriting = true;
      lock.unlock();
      std::string text;
      for (const std::string &it : lines)
        text += it;
      if (lost != 0)
        text += nlohmann::json{{"event", "log lines lost"}, {"count", lost}}
                    .dump() +
                "\n";
      std::fwrite(text.data(), 1, text.size(), stdout);
      std::fflush(stdout);
      lock.lock();
      IsWriting = false;
      Changed.notify_all();
    }
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  std::vector<std::string> Waiting;
  std::size_t Lost = 0;
  bool IsWriting = false;
  std::thread Worker;
};

/// Lives as long as the process: lines may come until the very end.
LineWriter &lineWriter() {
  static LineWriter &writer = *new LineWriter;
  return writer;
}

/// Turns each glog record into one JSON line. A message that is itself a JSON
/// object (from LogLine) goes on behind the common fields; any other becomes
/// the event's text.
class JsonLineSink : public google::LogSink {
public:
  JsonLineSink(std::string program, std::string host, std::string zone)
      : Program(std::move(program)), Host(std::move(host)),
        Zone(std::move(zone)) {}

  void send(google::LogSeverity severity, const char * /*fullFilename*/,
            const char *baseFilename, int line,
            const google::LogMessageTime & /*time*/, const char *message,
            size_t messageLength) override {
    nlohmann::ordered_json out;
    out["time_ms"] = toEpochMilliseconds(now());
    out["severity"] = google::GetLogSeverityName(severity);
    out["program"] = Program;
    out["host"] = Host;
    out["zone"] = Zone;
    const std::string text(message, messageLength);
    const bool isObject = text.size() > 2 && text.front() == '{';
    if (!isObject) {
      out["event"] = text;
      out["source"] = std::string(baseFilename) + ":" + std::to_string(line);
    }
    std::string rendered = out.dump(
        -1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    if (isObject) {
      rendered.back() = ',';
      rendered.append(text, 1, std::string::npos);
    }
    rendered += '\n';
    lineWriter().add(std::move(rendered));
  }

private:
  std::string Program;
  std::string Host;
  std::string Zone;
};

} // namespace

LogLine::LogLine(Severity severity, std::string event)
    : Values(std::make_unique<Fields>()) {
  Values->Level = severity;
  Values->Json["event"] = std::move(event);
}

LogLine::~LogLine() {
  const std::string text = Values->Json.dump(
      -1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
  switch (Values->Level) {
  case Severity::Info:
    LOG(INFO) << text;
    break;
  case Severity::Warning:
    LOG(WARNING) << text;
    break;
  case Severity::Error:
    LOG(ERROR) << text;
    break;
  }
}

LogLine &LogLine::field(const char *key, const std::string &value) {
  Values->Json[key] = value;
  return *this;
}

LogLine &LogLine::field(const char *key, const char *value) {
  Values->Json[key] = value;
  return *this;
}

LogLine &LogLine::field(const char *key, std::int64_t value) {
  Values->Json[key] = value;
  return *this;
}

LogLine &LogLine::field(const char *key, double value) {
  Values->Json[key] = value;
  return *this;
}

void initializeLogging(const char *program, const std::string &host,
                       const std::string &zone) {
  google::InitGoogleLogging(program);
  FLAGS_stderrthreshold = google::NUM_SEVERITIES;
  for (int n = google::INFO; n < google::NUM_SEVERITIES; ++n)
    google::SetLogDestination(n, "");
  // The sink lives as long as the process; glog may log until the very end.
  static JsonLineSink sink(program, host, zone);
  google::AddLogSink(&sink);
  std::atexit([] { lineWriter().flush(); });
}

} // namespace sorrelbay
