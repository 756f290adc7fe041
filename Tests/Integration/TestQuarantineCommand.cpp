#include "ChildProcess.h"
#include "LibHttp/AsyncHttpServer.h"
#include "LibOperator/QuarantineObject.h"
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <thread>

using namespace sorrelbay;

namespace {

/// A stand-in for the platform's store that holds the object of the
/// quarantines.
class QuarantineStandIn {
public:
  QuarantineStandIn()
      : Server(
            Loop, "127.0.0.1:0",
            {[] { return HttpLimits{}; },
             [this](const std::shared_ptr<HttpExchange> &it) { serve(*it); }}) {
    CrashKnowledge stored;
    stored.Quarantines[{ServiceId("engines"), {"a1b2"}}] = {now(), {}, 3};
    Body = renderQuarantineObject(stored);
    Worker = std::thread([this] { Loop.run(); });
  }

  ~QuarantineStandIn() {
    Loop.stop();
    Worker.join();
  }
  QuarantineStandIn(const QuarantineStandIn &) = delete;
  QuarantineStandIn &operator=(const QuarantineStandIn &) = delete;

  /// Writes that fail from now on, because a daemon was first.
  void setConflicts(int n) { Conflicts = n; }
  std::string address() const { return Server.address(); }

private:
  void serve(HttpExchange &exchange) {
    const bool isWrite = exchange.request().Method == "PUT";
    const bool isConflict = isWrite && Conflicts > 0;
    if (isConflict)
      --Conflicts;
    else if (isWrite)
      Body = nlohmann::json::parse(exchange.request().Body).at("Spec").dump();
    const nlohmann::json object = {
        {"Metadata", {{"Name", QuarantineObjectName}, {"Revision", 5}}},
        {"Spec", nlohmann::json::parse(Body)}};
    exchange.respond(isConflict ? 409 : 200, {}, object.dump());
  }

  boost::asio::io_context Loop;
  AsyncHttpServer Server;
  std::thread Worker;
  std::string Body;
  std::atomic<int> Conflicts{0};
};

/// Runs the tool; returns its exit code.
int runTool(const std::vector<std::string> &arguments, std::string &output) {
  char name[] = "/tmp/sorrelbay-test-XXXXXX";
  const std::string folder = mkdtemp(name);
  ChildProcess tool("sorrelbay", arguments, folder + "/log");
  const int code = tool.wait();
  output = tool.hasLogged("a1b2 quarantined") ? "quarantined"
           : tool.hasLogged("a1b2 released")  ? "released"
                                              : "";
  std::filesystem::remove_all(folder);
  return code;
}

} // namespace

BOOST_AUTO_TEST_SUITE(QuarantineCommand)

// Operators release a part while daemons write to the same object.
BOOST_AUTO_TEST_CASE(a_part_is_listed_and_released) {
  QuarantineStandIn store;
  const auto run = [&](std::vector<std::string> arguments,
                       std::string &output) {
    arguments.insert(arguments.begin(), "quarantine");
    arguments.insert(arguments.end(), {"--store", store.address()});
    return runTool(arguments, output);
  };
  std::string output;
  BOOST_TEST(run({"list"}, output) == 0);
  BOOST_TEST(output == "quarantined");
  BOOST_TEST(run({"release", "unknown"}, output) == 7);
  store.setConflicts(2);
  BOOST_TEST(run({"release", "a1b2"}, output) == 0);
  BOOST_TEST(run({"list"}, output) == 0);
  BOOST_TEST(output == "released");
  BOOST_TEST(run({"release", "a1b2"}, output) == 7);
}

BOOST_AUTO_TEST_CASE(a_store_that_is_away_is_reported) {
  std::string output;
  BOOST_TEST(
      runTool({"quarantine", "list", "--store", "127.0.0.1:1"}, output) == 4);
}

BOOST_AUTO_TEST_SUITE_END()
