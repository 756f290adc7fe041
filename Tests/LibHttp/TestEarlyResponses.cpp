#include "CallEnd.h"
#include "EarlyServer.h"
#include "LibHttp/HttpClient.h"
#include <boost/asio.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <limits>

using namespace sorrelbay;
namespace data = boost::unit_test::data;

namespace {

/// More than the buffers of both sockets hold.
constexpr std::size_t LongRequest = 16UL * 1024 * 1024;
const std::string Unframed = "HTTP/1.1 200 OK\r\n\r\n";
const std::string Chunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string Half = "half of ";
const std::string Rest = "the response";
const auto NoLimit = std::numeric_limits<std::size_t>::max();

HttpCall upload(std::size_t size) {
  HttpCall call;
  call.Method = "POST";
  call.Body.assign(size, 'u');
  return call;
}

/// A response to a request that the server has not read, and what ends its
/// connection.
struct EarlyEnd {
  const char *Name;
  EarlyServer::Script Serve;
  bool IsWhole;

  friend std::ostream &operator<<(std::ostream &out, const EarlyEnd &it) {
    return out << it.Name;
  }
};

void sendUnframed(EarlyServer::Socket &it, const std::string &body) {
  EarlyServer::send(it, Unframed + body);
}

const std::vector<EarlyEnd> EarlyEnds = {
    {"a reset",
     [](EarlyServer::Socket &it, const std::string &) {
       sendUnframed(it, Half);
       EarlyServer::reset(it);
     },
     false},
    {"a reset after some of the request was read",
     [](EarlyServer::Socket &it, const std::string &) {
       sendUnframed(it, Half);
       EarlyServer::drain(it, LongRequest / 2);
       EarlyServer::reset(it);
     },
     false},
    {"a close with unread bytes, which resets",
     [](EarlyServer::Socket &it, const std::string &) {
       sendUnframed(it, Half);
       it.close();
     },
     false},
    {"a reset after the end of what was sent",
     [](EarlyServer::Socket &it, const std::string &) {
       sendUnframed(it, Half);
       it.shutdown(EarlyServer::Socket::shutdown_send);
       EarlyServer::drain(it, LongRequest / 2);
       EarlyServer::reset(it);
     },
     false},
    {"a reset before the response",
     [](EarlyServer::Socket &it, const std::string &) {
       EarlyServer::reset(it);
     },
     false},
    {"a close after the request was read",
     [](EarlyServer::Socket &it, const std::string &) {
       sendUnframed(it, Half);
       EarlyServer::send(it, Rest);
       EarlyServer::drain(it, LongRequest);
       it.close();
     },
     true},
    {"an end while the request is still read",
     [](EarlyServer::Socket &it, const std::string &) {
       sendUnframed(it, Half + Rest);
       it.shutdown(EarlyServer::Socket::shutdown_send);
       EarlyServer::drain(it, NoLimit);
     },
     true},
    {"a length and a reset",
     [](EarlyServer::Socket &it, const std::string &) {
       EarlyServer::send(it, "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n" +
                                 Half + Rest);
       EarlyServer::reset(it);
     },
     true},
    {"chunks and a reset",
     [](EarlyServer::Socket &it, const std::string &) {
       EarlyServer::send(it,
                         Chunked + "14\r\n" + Half + Rest + "\r\n0\r\n\r\n");
       EarlyServer::reset(it);
     },
     true},
};

} // namespace

BOOST_AUTO_TEST_SUITE(early_responses)

// A server responds before it has read a long request, and resets the
// connection. The pending write gets the reset, and the part of a response that
// would have ended with its connection is taken for the whole.
BOOST_DATA_TEST_CASE(a_response_during_an_upload_is_whole_or_fails,
                     data::make(EarlyEnds), ending) {
  EarlyServer server(ending.Serve);
  const CallEnd end = endOf(server.address(), upload(LongRequest));
  BOOST_TEST(end.IsWhole == ending.IsWhole);
  if (end.IsWhole)
    BOOST_TEST(end.Body == Half + Rest);
}

// The server reads on no more, and this host's kernel gives up on what it has
// sent: the timeout ends the connection as the reset does. It shows no crash.
BOOST_AUTO_TEST_CASE(a_response_whose_request_timed_out_is_not_whole) {
  std::promise<void> hasEnded;
  EarlyServer server([&](EarlyServer::Socket &it, const std::string &) {
    sendUnframed(it, Half);
    hasEnded.get_future().wait();
  });
  const CallEnd end = endOf(server.address(), upload(LongRequest));
  hasEnded.set_value();
  BOOST_TEST(!end.IsWhole);
  BOOST_TEST((end.Failure == HttpFailure::Unacknowledged));
}

// A stream whose end is that of its connection is cancelled, and the connection
// shut down. Taken for the end, that makes half a stream a whole one.
BOOST_AUTO_TEST_CASE(a_cancelled_stream_is_not_whole) {
  EarlyServer server([](EarlyServer::Socket &it, const std::string &) {
    sendUnframed(it, Half);
    EarlyServer::drain(it, NoLimit);
  });
  HttpStream stream(server.address(), {});
  const bool isWhole = stream.run([](const HttpReply &) { return true; },
                                  [&](std::string_view) {
                                    stream.cancel();
                                    return true;
                                  });
  BOOST_TEST(!isWhole);
}

BOOST_AUTO_TEST_SUITE_END()
