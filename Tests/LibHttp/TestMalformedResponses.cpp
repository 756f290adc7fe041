#include "CallEnd.h"
#include "LibHttp/HttpClient.h"
#include "ScriptedServer.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;
using namespace std::string_literals;
namespace data = boost::unit_test::data;

namespace {

/// A response that is none in HTTP/1.1, or breaks off.
struct MalformedResponse {
  const char *Name;
  std::string Wire;
  ScriptedEnd End = ScriptedEnd::Close;

  friend std::ostream &operator<<(std::ostream &out,
                                  const MalformedResponse &it) {
    return out << it.Name;
  }
};

std::string withStatusLine(const std::string &line) {
  return line + "\r\nContent-Length: 2\r\n\r\nok";
}

std::string withStatus(const std::string &status) {
  return withStatusLine("HTTP/1.1 " + status + " Fine");
}

/// A response whose length is not stated otherwise, so that it is whole when
/// its connection closes.
std::string withFields(const std::string &fields) {
  return "HTTP/1.1 200 OK\r\n" + fields + "\r\n\r\nok";
}

std::string withField(const std::string &field) {
  return withFields("Content-Length: 2\r\n" + field);
}

std::string withChunks(const std::string &body) {
  return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body;
}

const std::vector<MalformedResponse> MalformedHeads = {
    {"nothing", ""},
    {"status 000", withStatus("000")},
    {"status 000 before a response", withStatus("000") + withStatus("200")},
    {"status 000 without a length before a response",
     "HTTP/1.1 000 Fine\r\n\r\n" + withStatus("200")},
    {"status 001", withStatus("001")},
    {"status 099", withStatus("099")},
    {"status 600", withStatus("600")},
    {"status 999", withStatus("999")},
    {"a status of two digits", withStatus("20")},
    {"a status of four digits", withStatus("2000")},
    {"a status with a letter", withStatus("2O0")},
    {"a negative status", withStatus("-20")},
    {"no status", withStatusLine("HTTP/1.1")},
    {"a switch of protocols that was not asked for",
     "HTTP/1.1 101 Switching\r\nUpgrade: other\r\n\r\n" + withStatus("200")},
    {"a control byte in the reason", withStatus("200 \x01")},
    {"HTTP/0.9", withStatusLine("HTTP/0.9 200 OK")},
    {"HTTP/2.0", withStatusLine("HTTP/2.0 200 OK")},
    {"another protocol", withStatusLine("ICY/1.1 200 OK")},
    {"a protocol in small letters", withStatusLine("http/1.1 200 OK")},
    {"lines that end with LF", "HTTP/1.1 200 OK\nContent-Length: 2\n\nok"},
    {"a field that ends with LF", withField("X-A: 1\nX-B: 2")},
    {"a field that ends with CR", withField("X-A: 1\rX-B: 2")},
    {"a blank in a name", withField("X A: 1")},
    {"a blank after a name", withField("X-A : 1")},
    {"a tab in a name", withField("X\tA: 1")},
    {"a tab after a name", withField("X-A\t: 1")},
    {"a zero byte in a name", withField("X\0A: 1"s)},
    {"a control byte in a name", withField("X\x01"
                                           "A: 1")},
    {"a delete byte in a name", withField("X\x7f"
                                          "A: 1")},
    {"a byte above ASCII in a name", withField("X\x80"
                                               "A: 1")},
    {"a separator in a name", withField("X(A): 1")},
    {"a field without a name", withField(": 1")},
    {"a field without a colon", withField("X-A")},
    {"a blank before the first name", withFields(" X-A: 1")},
    {"a blank before a later name", withField(" X-A: 1")},
    {"a tab before a later name", withField("\tX-A: 1")},
    {"a folded field", withField("X-A: 1\r\n 2")},
    {"a length with a blank in its name", withFields("Content-Length : 1")},
    {"a length with a control byte in its name",
     withFields("Content-Length\x01: 1")},
    {"a length with a blank before its name",
     withFields("X-A: 1\r\n Content-Length: 1")},
    {"chunks with a blank in the name",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n"
     "\r\n"},
    {"a zero byte in a value", withField("X-A: 1\0"s)},
    {"a control byte in a value", withField("X-A: \x01")},
    {"a delete byte in a value", withField("X-A: \x7f")},
    {"a blank in a name of an informational response",
     "HTTP/1.1 100 Continue\r\nX A: 1\r\n\r\n" + withStatus("200")},
    {"a length that is empty", withFields("Content-Length: ")},
    {"a length that is negative", withFields("Content-Length: -2")},
    {"a length with a sign", withFields("Content-Length: +2")},
    {"a length that is no number", withFields("Content-Length: 2x")},
    {"a length in hexadecimal", withFields("Content-Length: 0x2")},
    {"a length without bound",
     withFields("Content-Length: 18446744073709551618")},
    {"two lengths", withFields("Content-Length: 2\r\nContent-Length: 1")},
    {"two lengths in one field", withFields("Content-Length: 2, 1")},
    {"a length and chunks",
     withFields("Content-Length: 2\r\nTransfer-Encoding: chunked")},
    {"chunks and a length",
     withFields("Transfer-Encoding: chunked\r\nContent-Length: 2")},
    {"another encoding", withFields("Transfer-Encoding: gzip")},
    {"no encoding", withFields("Transfer-Encoding: identity")},
    {"an empty encoding", withFields("Transfer-Encoding: ")},
    {"chunks inside another encoding",
     withFields("Transfer-Encoding: chunked, gzip")},
    {"another encoding inside chunks",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0"
     "\r\n\r\n"},
    {"chunks twice", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
    {"chunks in HTTP/1.0",
     "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
     "\r\n"},
    {"a head that breaks off", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"},
};

const std::vector<MalformedResponse> MalformedEnds = {
    {"a length that is cut", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok"},
    {"no length, and a reset", "HTTP/1.1 200 OK\r\n\r\nok", ScriptedEnd::Reset},
    {"no chunk", withChunks("")},
    {"no last chunk", withChunks("2\r\nok\r\n")},
    {"a last chunk that is cut", withChunks("2\r\nok\r\n0\r\n")},
    {"a chunk without its size", withChunks("\r\nok\r\n0\r\n\r\n")},
    {"a chunk whose size is no number", withChunks("g\r\nok\r\n0\r\n\r\n")},
    {"a chunk whose size is negative", withChunks("-2\r\nok\r\n0\r\n\r\n")},
    {"a chunk whose size has no bound",
     withChunks("10000000000000002\r\nok\r\n0\r\n\r\n")},
    {"a chunk that is longer than its size",
     withChunks("1\r\nok\r\n0\r\n\r\n")},
    {"a chunk that is shorter than its size",
     withChunks("3\r\nok\r\n0\r\n\r\n")},
    {"a size that ends with LF", withChunks("2\nok\r\n0\r\n\r\n")},
    {"a blank in the name of a trailer",
     withChunks("2\r\nok\r\n0\r\nX A: 1\r\n\r\n")},
    {"a blank after the name of a trailer",
     withChunks("2\r\nok\r\n0\r\nX-A : 1\r\n\r\n")},
    {"a control byte in the name of a trailer",
     withChunks("2\r\nok\r\n0\r\nX\x01"
                "A: 1\r\n\r\n")},
    {"a control byte in the value of a trailer",
     withChunks("2\r\nok\r\n0\r\nX-A: \x01\r\n\r\n")},
    {"a trailer without a colon", withChunks("2\r\nok\r\n0\r\nX-A\r\n\r\n")},
    {"a trailer that breaks off", withChunks("2\r\nok\r\n0\r\nX-A: 1\r\n")},
};

/// Responses that are unusual and whole.
const std::vector<MalformedResponse> WholeResponses = {
    {"HTTP/1.0", withStatusLine("HTTP/1.0 200 OK")},
    {"the lowest final status", withStatus("200")},
    {"a status without a name", withStatus("299")},
    {"the highest status", withStatus("599")},
    {"no reason", withStatusLine("HTTP/1.1 200 ")},
    {"informational responses before it",
     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nX-A: 1\r\n\r\n" +
         withStatus("200")},
    {"every character of a name", withField("!#$%&'*+-.^_`|~09azAZ: 1")},
    {"a tab and bytes above ASCII in a value", withField("X-A:\t1\t\x80\xff")},
    {"an empty value", withField("X-A:")},
    {"no length", "HTTP/1.1 200 OK\r\n\r\nok"},
    {"chunks", withChunks("1\r\no\r\n1;a=b\r\nk\r\n0\r\n\r\n")},
    {"chunks named in large letters",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: CHUNKED\r\n\r\n2\r\nok\r\n0\r\n"
     "\r\n"},
    {"a trailer", withChunks("2\r\nok\r\n0\r\nX-A: 1\r\n\r\n")},
};

ScriptedServer::Script scriptOf(const MalformedResponse &response) {
  return [response](const std::string &) {
    return ScriptedResponse{{response.Wire}, response.End};
  };
}

} // namespace

BOOST_AUTO_TEST_SUITE(malformed_responses)

// A server in trouble sends something that is no response. Taken for one, its
// caller gets a status or fields that mean nothing, or other bytes for a body.
BOOST_DATA_TEST_CASE(a_malformed_head_fails, data::make(MalformedHeads),
                     response) {
  ScriptedServer server(scriptOf(response));
  const CallEnd end = endOf(server.address());
  BOOST_TEST(!end.HasHead);
  BOOST_TEST(!end.IsWhole);
  BOOST_CHECK_THROW(sendOnce(server.address(), {}), HttpOutcomeUnknown);
}

// The head has been passed on when the response turns out to be malformed. Its
// end must show that.
BOOST_DATA_TEST_CASE(a_malformed_end_fails, data::make(MalformedEnds),
                     response) {
  ScriptedServer server(scriptOf(response));
  BOOST_TEST(!endOf(server.address()).IsWhole);
  BOOST_CHECK_THROW(sendOnce(server.address(), {}), HttpOutcomeUnknown);
}

// Bounds that are too narrow would lose responses that are whole.
BOOST_DATA_TEST_CASE(an_unusual_response_is_whole, data::make(WholeResponses),
                     response) {
  ScriptedServer server(scriptOf(response));
  const CallEnd end = endOf(server.address());
  BOOST_TEST(end.IsWhole);
  BOOST_TEST(end.Body == "ok");
  BOOST_TEST(sendOnce(server.address(), {}).Body == "ok");
}

BOOST_AUTO_TEST_SUITE_END()
