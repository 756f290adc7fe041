#include "GatewayFixture.h"
#include "RawCaller.h"
#include "ScriptedServer.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;
namespace data = boost::unit_test::data;

namespace {

constexpr Duration KeyRemoval = seconds(60);
constexpr Duration Grace = seconds(2);
constexpr double RetryShare = 10;
constexpr int ReplicaCount = 40;
constexpr int WaitMs = 300;

/// A response without end: how it begins, and what follows again and again.
struct EndlessResponse {
  const char *Name;
  std::string Begin;
  std::string Rest;

  friend std::ostream &operator<<(std::ostream &out,
                                  const EndlessResponse &it) {
    return out << it.Name;
  }
};

std::string many(const std::string &text) {
  std::string out;
  while (out.size() < 1024)
    out += text;
  return out;
}

std::string chunk(const std::string &bytes) {
  char size[24];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

const std::string Ok = "HTTP/1.1 200 OK\r\nX-Call: ID\r\n";
const std::string Events = "Content-Type: text/event-stream\r\n";
const std::string Chunked = "Transfer-Encoding: chunked\r\n";
const std::string NotRun =
    "HTTP/1.1 503 Full\r\nX-Call: ID\r\nX-Not-Run: 1\r\n";

const std::vector<EndlessResponse> Responses = {
    {"no response", "", many("a")},
    {"fields", Ok, many("X-A: a\r\n")},
    {"informational responses", "", many("HTTP/1.1 100 Continue\r\n\r\n")},
    {"a body", Ok + "\r\n", many("a")},
    {"a body of chunks", Ok + Chunked + "\r\n", chunk(many("a"))},
    {"a long body", Ok + "Content-Length: 99999999999\r\n\r\n", many("a")},
    {"an extension of a chunk", Ok + Chunked + "\r\n5;", many("a")},
    {"an event", Ok + Events + "\r\nid: 1\ndata: a\n\ndata: ", many("a")},
    {"an event of chunks", Ok + Events + Chunked + "\r\n" + chunk("data: "),
     chunk(many("a"))},
    {"events", Ok + Events + Chunked + "\r\n",
     chunk(many("id: 1\ndata: a\n\n"))},
    {"a body that is dropped", NotRun + "\r\n", many("a")},
    {"a failure", "HTTP/1.1 500 Bad\r\nX-Call: ID\r\n\r\n", many("a")},
    {"another call's body", "HTTP/1.1 200 OK\r\nX-Call: other\r\n\r\n",
     many("a")},
};

std::string requestText(const std::string &path) {
  static int lastId = 0;
  return "GET " + path +
         " HTTP/1.1\r\nHost: test.example\r\nConnection: close\r\nX-Key: "
         "key\r\nX-Call: endless" +
         std::to_string(++lastId) +
         "\r\nX-Wait-Limit-Ms: " + std::to_string(WaitMs) + "\r\n\r\n";
}

ScriptedServer::Script scriptOf(const EndlessResponse &response) {
  return [response](const std::string &request) {
    std::string begin = response.Begin;
    const std::size_t id = begin.find("ID");
    if (id != std::string::npos)
      begin.replace(id, 2, scriptedHeader(request, "X-Call"));
    ScriptedResponse out;
    if (!begin.empty())
      out.Parts.push_back(begin);
    out.Parts.push_back(response.Rest);
    out.End = ScriptedEnd::Endless;
    return out;
  };
}

} // namespace

BOOST_AUTO_TEST_SUITE(endless_responses)

// A faulty upstream sends bytes until its connection is closed. Its caller must
// be told in time, must not take what has arrived for a whole response, and the
// upstream must not go on sending.
BOOST_DATA_TEST_CASE(a_call_ends_by_its_deadline, data::make(Responses),
                     response) {
  GatewayFixture fixture(KeyRemoval, Grace, RetryShare);
  fixture.callUntil(200, "key");
  ScriptedServer upstream(scriptOf(response));
  for (int n = ReplicaCount; n >= 1; --n)
    fixture.Store.put(ResourceKind::Replicas, "r" + std::to_string(n),
                      upstream.address() + " ready");
  fixture.waitUntilSeen(ResourceKind::Replicas);
  for (const std::string path : {"/a/1", "/q/1", "/n/1", "/s/1"})
    BOOST_TEST_CONTEXT(path) {
      const RawReply reply = callRaw(fixture.CallerAddress, requestText(path));
      BOOST_TEST(!(reply.Status == 200 && reply.IsComplete));
      BOOST_TEST(holdsSoon(
          [&] { return upstream.closedEndless() == upstream.requests(); }));
    }
}

BOOST_AUTO_TEST_SUITE_END()
