#include "LibHttp/HttpClient.h"
#include "ScriptedServer.h"
#include <boost/test/unit_test.hpp>
#include <optional>
#include <vector>

using namespace sorrelbay;

namespace {

const std::string Body = "{\"held\":[1,2,3]}";

/// A response in wire format, and how its end is marked.
struct FramedResponse {
  std::string Wire;
  bool EndsWithConnection = false;
};

const std::vector<FramedResponse> Responses = {
    {"HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n" + Body},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n" +
     Body.substr(0, 5) + "\r\nb\r\n" + Body.substr(5) + "\r\n0\r\n\r\n"},
    {"HTTP/1.1 200 OK\r\n\r\n" + Body, true},
};

/// The body that a call gets; empty if it fails.
std::optional<std::string> bodyOfCall(const std::string &address) {
  HttpCall call;
  call.ReadTimeout = milliseconds(200);
  try {
    return sendOnce(address, call).Body;
  } catch (const HttpOutcomeUnknown &) {
    return std::nullopt;
  }
}

/// The same of a stream.
std::optional<std::string> bodyOfStream(const std::string &address) {
  HttpCall call;
  call.ReadTimeout = milliseconds(200);
  HttpStream stream(address, call);
  std::string body;
  try {
    stream.run([](const HttpReply &) { return true; },
               [&](std::string_view bytes) {
                 body.append(bytes);
                 return true;
               });
    return body;
  } catch (const HttpOutcomeUnknown &) {
    return std::nullopt;
  }
}

/// Whether a client can tell that the response, cut after so many bytes, is not
/// complete.
bool isShownBroken(const FramedResponse &response, std::size_t cut,
                   ScriptedEnd end) {
  const std::size_t bodyAt = response.Wire.find("\r\n\r\n") + 4;
  if (!response.EndsWithConnection)
    return cut < response.Wire.size();
  return cut < bodyAt || end != ScriptedEnd::Close;
}

} // namespace

BOOST_AUTO_TEST_SUITE(http_client)

// An engine, a desk or the store breaks off at any byte of a response. Its part
// must not be taken for the whole, which would be kept or billed.
BOOST_AUTO_TEST_CASE(a_response_cut_at_any_byte_is_not_taken_for_whole) {
  ScriptedServer server;
  for (const FramedResponse &response : Responses)
    for (const ScriptedEnd end : {ScriptedEnd::Close, ScriptedEnd::Reset})
      for (std::size_t cut = 0; cut <= response.Wire.size(); ++cut) {
        server.setScript([&, end, cut](const std::string &) {
          return ScriptedResponse{{response.Wire.substr(0, cut)}, end};
        });
        const bool isBroken = isShownBroken(response, cut, end);
        const auto body = bodyOfCall(server.address());
        const auto streamed = bodyOfStream(server.address());
        BOOST_TEST_CONTEXT(response.Wire.substr(0, cut)
                           << " end " << static_cast<int>(end)) {
          BOOST_TEST(body.has_value() == !isBroken);
          BOOST_TEST(streamed.has_value() == !isBroken);
        }
      }
}

// A server that falls silent in the middle of a response has not sent it whole.
BOOST_AUTO_TEST_CASE(a_response_that_falls_silent_is_not_taken_for_whole) {
  ScriptedServer server;
  for (const FramedResponse &response : Responses) {
    server.setScript([&](const std::string &) {
      return ScriptedResponse{
          {response.Wire.substr(0, response.Wire.size() - 6)},
          ScriptedEnd::Silence};
    });
    BOOST_TEST(!bodyOfCall(server.address()));
    BOOST_TEST(!bodyOfStream(server.address()));
  }
}

// What is whole arrives unchanged, however it is framed and read.
BOOST_AUTO_TEST_CASE(a_whole_response_arrives_unchanged) {
  ScriptedServer server;
  for (const FramedResponse &response : Responses)
    for (const bool isSplit : {false, true}) {
      server.setScript([&, isSplit](const std::string &) {
        ScriptedResponse out;
        const std::size_t step = isSplit ? 3 : response.Wire.size();
        for (std::size_t at = 0; at < response.Wire.size(); at += step)
          out.Parts.push_back(response.Wire.substr(at, step));
        return out;
      });
      BOOST_TEST(bodyOfCall(server.address()).value_or("") == Body);
      BOOST_TEST(bodyOfStream(server.address()).value_or("") == Body);
    }
}

BOOST_AUTO_TEST_SUITE_END()
