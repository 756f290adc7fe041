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

/// The largest number of lines queued for writing; further lines are dropped
/// and counted.
constexpr std::size_t MaxQueuedLines = 2048;

/// Writes lines to standard output on a separate thread, so that a stalled
/// reader of the output causes dropped lines and not blocked calls. No other
/// mutex is locked while its mutex is held.
class LineWriter {
public:
  LineWriter() : Worker([this] { writeLines(); }) { Worker.detach(); }

  void add(std::string line) {
    const std::lock_guard<std::mutex> lock(Mutex);
    if (QueuedLines.size() >= MaxQueuedLines) {
      ++DroppedLines;
      return;
    }
    QueuedLines.push_back(std::move(line));
    Changed.notify_one();
  }

  /// Waits at most 200 ms for the queued lines to be written; called at exit.
  void flush() {
    std::unique_lock<std::mutex> lock(Mutex);
    Changed.wait_for(lock, milliseconds(200),
                     [this] { return QueuedLines.empty() && !IsWriting; });
  }

private:
  void writeLines() {
    std::unique_lock<std::mutex> lock(Mutex);
    for (;;) {
      Changed.wait(lock, [this] { return !QueuedLines.empty(); });
      std::vector<std::string> lines = std::move(QueuedLines);
      QueuedLines.clear();
      const std::size_t droppedCount = DroppedLines;
      DroppedLines = 0;
      IsWriting = true;
      lock.unlock();
      std::string text;
      for (const std::string &it : lines)
        text += it;
      if (droppedCount != 0)
        text +=
            nlohmann::json{{"event", "log lines lost"}, {"count", droppedCount}}
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
  std::vector<std::string> QueuedLines;
  std::size_t DroppedLines = 0;
  bool IsWriting = false;
  std::thread Worker;
};

/// Never destroyed, because lines may be logged until the process exits.
LineWriter &lineWriter() {
  static LineWriter &writer = *new LineWriter;
  return writer;
}

/// Converts each glog record to one JSON line. If the message is itself a JSON
/// object (from LogLine), its fields follow the common fields; any other
/// message becomes the event.
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
  // Never destroyed, because glog may log until the process exits.
  static JsonLineSink sink(program, host, zone);
  google::AddLogSink(&sink);
  std::atexit([] { lineWriter().flush(); });
}

} // namespace sorrelbay
