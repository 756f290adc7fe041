// A fake desk: runs operations and records each run. Tests can make it lose,
// delay, misaddress or reject responses.
#include "FakeMain.h"
#include <CLI/CLI.hpp>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

using namespace sorrelbay;
using Json = nlohmann::json;

namespace {

class Desk {
public:
  HttpResponse run(const HttpRequest &request);
  HttpResponse setFaults(const HttpRequest &request);
  HttpResponse runs();

private:
  std::mutex Mutex;
  Json Runs = Json::array();
  /// Number of the next calls whose response is lost.
  std::int64_t RepliesToLose = 0;
  /// Number of the next calls whose response has another request's id.
  std::int64_t RepliesToCross = 0;
  /// Number of the next calls that are rejected without being run.
  std::int64_t CallsToReject = 0;
  std::int64_t DelayMs = 0;
  /// Share of calls that are run and end with status 500, from 0 to 1.
  double FailShare = 0;
  std::uint64_t CallNumber = 0;
};

HttpResponse Desk::run(const HttpRequest &request) {
  std::string id = headerValue(request.Headers, "X-Request-Id");
  HttpResponse out;
  bool isLost = false;
  std::int64_t delay = 0;
  {
    const std::lock_guard<std::mutex> lock(Mutex);
    delay = DelayMs;
    if (CallsToReject > 0) {
      --CallsToReject;
      out.Status = 503;
      out.Headers.push_back({"X-Not-Run", "1"});
      out.Headers.push_back({"X-Request-Id", id});
      return out;
    }
    Runs.push_back({{"operation", request.Parts.at(0)},
                    {"key", headerValue(request.Headers, "Idempotency-Key")},
                    {"team", headerValue(request.Headers, "X-Team")},
                    {"request", id}});
    out.Body = Json{{"operation", request.Parts.at(0)},
                    {"confirmed", true},
                    {"number", Runs.size()}}
                   .dump();
    const double before = static_cast<double>(CallNumber) * FailShare;
    if (static_cast<std::uint64_t>(before + FailShare) >
        static_cast<std::uint64_t>(before))
      out.Status = 500;
    ++CallNumber;
    if (RepliesToLose > 0) {
      --RepliesToLose;
      isLost = true;
    }
    if (RepliesToCross > 0) {
      --RepliesToCross;
      id = "another-request";
    }
  }
  std::this_thread::sleep_for(milliseconds(delay));
  if (isLost)
    out.Stream = [](const HttpSink &) { return false; };
  out.Headers.push_back({"X-Request-Id", id});
  return out;
}

HttpResponse Desk::setFaults(const HttpRequest &request) {
  const Json json = Json::parse(request.Body);
  const std::lock_guard<std::mutex> lock(Mutex);
  RepliesToLose = json.value("lose_replies", RepliesToLose);
  RepliesToCross = json.value("cross_replies", RepliesToCross);
  CallsToReject = json.value("reject", CallsToReject);
  DelayMs = json.value("delay_ms", DelayMs);
  FailShare = json.value("fail_share", FailShare);
  HttpResponse out;
  out.Body = "{}";
  return out;
}

HttpResponse Desk::runs() {
  const std::lock_guard<std::mutex> lock(Mutex);
  HttpResponse out;
  out.Body = Runs.dump();
  return out;
}

} // namespace

int main(int argc, char **argv) {
  CLI::App app("Fake desk for tests.");
  std::string listen = "127.0.0.1:0";
  app.add_option("--listen", listen, "ip:port; 0 selects a free port");
  CLI11_PARSE(app, argc, argv);
  blockStopSignals();
  Desk desk;
  HttpServer server;
  server.route("POST", "/v1/operations/([^/]+)",
               [&desk](const HttpRequest &r) { return desk.run(r); });
  server.route("POST", "/admin/faults",
               [&desk](const HttpRequest &r) { return desk.setFaults(r); });
  server.route("GET", "/admin/runs",
               [&desk](const HttpRequest &) { return desk.runs(); });
  server.route("GET", "/v1/load", [](const HttpRequest &) {
    HttpResponse out;
    out.Body = Json{{"open", 0},
                    {"capacity", 64},
                    {"leaving", false},
                    {"reported_at_ms", toEpochMilliseconds(now())}}
                   .dump();
    return out;
  });
  return serveFake(server, listen);
}
