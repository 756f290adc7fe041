#include "EndlessResponse.h"
#include "GatewayFixture.h"
#include "RawCaller.h"
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
    {"no response", "", repeated("a")},
    {"fields", Ok, repeated("X-A: a\r\n")},
    {"informational responses", "", repeated("HTTP/1.1 100 Continue\r\n\r\n")},
    {"a body", Ok + "\r\n", repeated("a")},
    {"a body of chunks", Ok + Chunked + "\r\n", chunk(repeated("a"))},
    {"a long body", Ok + "Content-Length: 99999999999\r\n\r\n", repeated("a")},
    {"an extension of a chunk", Ok + Chunked + "\r\n5;", repeated("a")},
    {"an event", Ok + Events + "\r\nid: 1\ndata: a\n\ndata: ", repeated("a")},
    {"an event of chunks", Ok + Events + Chunked + "\r\n" + chunk("data: "),
     chunk(repeated("a"))},
    {"events", Ok + Events + Chunked + "\r\n",
     chunk(repeated("id: 1\ndata: a\n\n"))},
    {"a body that is dropped", NotRun + "\r\n", repeated("a")},
    {"a failure", "HTTP/1.1 500 Bad\r\nX-Call: ID\r\n\r\n", repeated("a")},
    {"another call's body", "HTTP/1.1 200 OK\r\nX-Call: other\r\n\r\n",
     repeated("a")},
};

std::string requestText(const std::string &path) {
  static int lastId = 0;
  return "GET " + path +
         " HTTP/1.1\r\nHost: test.example\r\nConnection: close\r\nX-Key: "
         "key\r\nX-Call: endless" +
         std::to_string(++lastId) +
         "\r\nX-Wait-Limit-Ms: " + std::to_string(WaitMs) + "\r\n\r\n";
}

} // namespace

BOOST_AUTO_TEST_SUITE(endless_responses)

// A faulty upstream sends bytes until its connection is closed. Its caller must
// get a response in time, must not take what has arrived for a whole response,
// and the upstream must not go on sending.
BOOST_DATA_TEST_CASE(a_call_ends_by_its_deadline, data::make(Responses),
                     response) {
  GatewayFixture fixture(KeyRemoval, Grace, RetryShare);
  fixture.callUntil(200, "key");
  ScriptedServer upstream(endlessly(response));
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
