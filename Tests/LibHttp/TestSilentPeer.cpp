#include "LibHttp/BeastCommon.h"
#include <boost/test/unit_test.hpp>
#include <linux/filter.h>
#include <sys/socket.h>
#include <thread>

using namespace sorrelbay;
using namespace sorrelbay::beastcommon;

namespace {

/// A connection that is configured like all of ours, and its other end.
struct SocketPair {
  SocketPair() {
    Tcp::acceptor acceptor(Loop, endpointOf("127.0.0.1:0"));
    Own.connect(acceptor.local_endpoint());
    Other = acceptor.accept();
    configureSocket(Own);
    Own.non_blocking(true);
  }

  asio::io_context Loop;
  Tcp::socket Own{Loop};
  Tcp::socket Other{Loop};
};

/// Makes the socket drop all that arrives, unanswered, as on a broken path.
void silence(Tcp::socket &socket) {
  sock_filter dropAll = {BPF_RET | BPF_K, 0, 0, 0};
  const sock_fprog program = {1, &dropAll};
  ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program,
               sizeof(program));
}

void endSilence(Tcp::socket &socket) {
  const int unused = 0;
  ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_DETACH_FILTER, &unused,
               sizeof(unused));
}

bool isOpen(SocketPair &pair) {
  char byte = 0;
  ErrorCode ec;
  pair.Own.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, ec);
  return ec == asio::error::would_block;
}

struct Silence {
  int BeginsAtMs;
  int LengthMs;
  /// Whether bytes are sent during the silence.
  bool HasData;
  bool Survives;
};

/// Whether the connection is still open some time after the silence.
bool survives(const Silence &it) {
  SocketPair pair;
  std::this_thread::sleep_for(milliseconds(it.BeginsAtMs));
  silence(pair.Other);
  if (it.HasData)
    pair.Own.send(asio::buffer("x", 1));
  std::this_thread::sleep_for(milliseconds(it.LengthMs));
  endSilence(pair.Other);
  std::this_thread::sleep_for(milliseconds(2500));
  return isOpen(pair);
}

} // namespace

BOOST_AUTO_TEST_SUITE(silent_peer)

// A sound upstream falls silent for a second or so and goes on. A connection
// that is given up loses the calls that wait on it.
BOOST_AUTO_TEST_CASE(a_connection_survives_a_short_silence_but_no_long_one) {
  const Silence silences[] = {
      {100, 1000, false, true},  {900, 1000, false, true},
      {1900, 1000, false, true}, {900, 1600, false, true},
      {1900, 1600, false, true}, {100, 1600, true, true},
      {1500, 1600, true, true},  {100, 6000, false, false},
      {100, 6000, true, false}};
  std::vector<std::thread> threads;
  std::vector<char> results(std::size(silences));
  for (std::size_t n = 0; n < std::size(silences); ++n)
    threads.emplace_back(
        [&, n] { results[n] = survives(silences[n]) ? 1 : 0; });
  for (std::thread &it : threads)
    it.join();
  for (std::size_t n = 0; n < std::size(silences); ++n)
    BOOST_TEST((results[n] != 0) == silences[n].Survives,
               "silence from " << silences[n].BeginsAtMs << " ms for "
                               << silences[n].LengthMs << " ms"
                               << (silences[n].HasData ? ", with data" : ""));
}

BOOST_AUTO_TEST_SUITE_END()
