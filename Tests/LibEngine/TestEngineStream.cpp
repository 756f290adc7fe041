#include "LibEngine/EngineClient.h"
#include "ScriptedServer.h"
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;

namespace {

const std::string Head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

/// A whole stream of two tokens whose lines end so.
std::string streamWith(const std::string &newline) {
  const std::string end = newline + newline;
  return R"(data: {"id":"a","offset":0,"choices":[{"delta":{"content":"x"}}]})" +
         end +
         R"(data: {"id":"a","offset":1,"choices":[{"delta":{"content":"y"}}]})" +
         end +
         R"(data: {"id":"a","choices":[{"finish_reason":"stop"}],)"
         R"("usage":{"completion_tokens":2}})" +
         end + "data: [DONE]" + end;
}

/// The text of the stream; empty if it is not complete.
std::string textOf(const std::string &address) {
  std::string text;
  EngineRequest request;
  request.MessagesJson = "[]";
  request.Silence = milliseconds(200);
  EngineStream stream(UpstreamId(address), request);
  try {
    const auto end = stream.run([&](const EngineToken &token) {
      text += token.Text;
      return true;
    });
    return end && end->Length == text.size() ? text : "";
  } catch (const EngineFailed &) {
    return "";
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(engine_stream)

// An engine crashes at any byte of a stream that ends with its connection, and
// the part that has arrived is taken for the whole answer.
BOOST_AUTO_TEST_CASE(a_stream_cut_at_any_byte_is_not_taken_for_whole) {
  ScriptedServer engine;
  for (const std::string newline : {"\n", "\r", "\r\n"}) {
    const std::string whole = streamWith(newline);
    for (const ScriptedEnd end : {ScriptedEnd::Close, ScriptedEnd::Reset})
      for (std::size_t cut = 0; cut <= whole.size(); ++cut) {
        engine.setScript([&, end, cut](const std::string &) {
          return ScriptedResponse{{Head + whole.substr(0, cut)}, end};
        });
        const bool isWhole = cut == whole.size() && end == ScriptedEnd::Close;
        BOOST_TEST(textOf(engine.address()) == (isWhole ? "xy" : ""),
                   "cut " << cut << " of " << whole.size());
      }
  }
}

// A faulty engine sends events without the members that they must have. One of
// them ended the process.
BOOST_AUTO_TEST_CASE(an_event_without_its_members_fails_the_stream) {
  ScriptedServer engine;
  for (const char *event :
       {R"({})", R"({"choices":7})", R"({"choices":[]})", R"({"choices":{}})",
        R"({"choices":[7]})", R"({"choices":[{}]})",
        R"({"choices":[{"delta":7}]})",
        R"({"choices":[{"delta":{"content":7}}]})",
        R"({"choices":[{"finish_reason":"stop"}]})",
        R"({"choices":[{"finish_reason":"stop"}],"usage":7})"}) {
    engine.setScript([event](const std::string &) {
      return ScriptedResponse{
          {Head + "data: " + event + "\n\ndata: [DONE]\n\n"},
          ScriptedEnd::Close};
    });
    BOOST_TEST(textOf(engine.address()) == "", event);
  }
}

BOOST_AUTO_TEST_SUITE_END()
