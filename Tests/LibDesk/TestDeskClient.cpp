#include "LibDesk/DeskClient.h"
#include "ScriptedServer.h"
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;

namespace {

const std::string Fields =
    "HTTP/1.1 200 OK\r\nConnection: close\r\nX-Request-Id: r1\r\n";
const std::string Body = R"({"booked":true})";
const std::string UnframedAnswer = Fields + "\r\n" + Body;

/// The desk's answer to a call with an idempotency key; empty if its outcome is
/// unknown.
std::string answerOf(const std::string &address) {
  DeskRequest request;
  request.RequestId = "r1";
  request.Operation = RouteId("book");
  request.Key = IdempotencyKey("k1");
  request.Timeout = milliseconds(200);
  try {
    return callDesk(UpstreamId(address), request).Body;
  } catch (const DeskOutcomeUnknown &) {
    return "";
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(desk_client)

// A desk breaks off its answer to a call with a key. A part that is taken for
// the whole would be kept, and given to each repetition of the call.
BOOST_AUTO_TEST_CASE(an_answer_cut_at_any_byte_is_not_kept) {
  const std::string framed[] = {Fields + "Content-Length: 15\r\n\r\n" + Body,
                                Fields +
                                    "Transfer-Encoding: chunked\r\n\r\nf\r\n" +
                                    Body + "\r\n0\r\n\r\n"};
  ScriptedServer desk;
  for (const std::string &wire : framed)
    for (const ScriptedEnd end : {ScriptedEnd::Close, ScriptedEnd::Reset})
      for (std::size_t cut = 0; cut <= wire.size(); ++cut) {
        desk.setScript([&, end, cut](const std::string &) {
          return ScriptedResponse{{wire.substr(0, cut)}, end};
        });
        BOOST_TEST(answerOf(desk.address()) == (cut == wire.size() ? Body : ""),
                   "cut " << cut << " of " << wire.size());
      }
}

// An answer may end with its connection; one that is reset is not complete.
BOOST_AUTO_TEST_CASE(an_answer_that_ends_with_a_reset_is_not_kept) {
  ScriptedServer desk;
  for (const ScriptedEnd end : {ScriptedEnd::Close, ScriptedEnd::Reset}) {
    desk.setScript([end](const std::string &) {
      return ScriptedResponse{{UnframedAnswer}, end};
    });
    BOOST_TEST(answerOf(desk.address()) ==
               (end == ScriptedEnd::Close ? Body : ""));
  }
}

// A desk runs a booking and fails it with a status that promises that it did
// not run. Taken for the desk's answer, the status leads callers to book again.
BOOST_AUTO_TEST_CASE(a_promise_without_proof_leaves_the_outcome_unknown) {
  ScriptedServer desk;
  for (const int status : {408, 421, 429, 503})
    for (const bool isProven : {false, true}) {
      desk.setScript([=](const std::string &) {
        return ScriptedResponse{{"HTTP/1.1 " + std::to_string(status) +
                                 " No\r\nX-Request-Id: r1\r\n" +
                                 (isProven ? "X-Not-Run: 1\r\n" : "") +
                                 "Content-Length: 6\r\n\r\nfailed"}};
      });
      if (isProven)
        BOOST_CHECK_THROW(answerOf(desk.address()), DeskRejected);
      else
        BOOST_TEST(answerOf(desk.address()).empty());
    }
}

BOOST_AUTO_TEST_SUITE_END()
