#include "LibHttp/HttpClient.h"
#include "LibPeer/PeerMesh.h"
#include <boost/test/unit_test.hpp>
#include <functional>
#include <thread>

using namespace sorrelbay;

namespace {

constexpr Duration HangTimeout = seconds(20);

/// Waits until the condition holds. Returns false on a timeout.
bool becomesTrue(const std::function<bool()> &condition) {
  const Instant end = now() + HangTimeout;
  while (!condition() && now() < end)
    std::this_thread::sleep_for(milliseconds(5));
  return condition();
}

MeshSettings settingsOf(const std::string &host,
                        const std::vector<std::string> &seeds) {
  MeshSettings settings;
  settings.Self = HostId(host);
  settings.Zone = ZoneId("zone");
  settings.Incarnation = IncarnationId(host + "-1");
  settings.PeerAddress = "127.0.0.1:0";
  settings.CallerAddress = "127.0.0.1:1";
  settings.Seeds = seeds;
  settings.Secrets = {"a secret of the tests"};
  return settings;
}

MeshHooks quietHooks() {
  MeshHooks hooks;
  hooks.AcceptBundle = [](const BundleMark &) { return true; };
  hooks.OnKnowledge = [](const PeerKnowledge &) {};
  hooks.OnFresh = [](const HostId &, Instant) {};
  hooks.OnRequest = [](const HostId &from, const PeerRequest &request,
                       const PeerRespond &respond) {
    if (request.Kind == "silence")
      return;
    respond({request.Number, request.Kind == "echo",
             from.text() + ":" + request.Body});
  };
  return hooks;
}

/// Two meshes connected over real sockets.
struct PairFixture {
  PeerMesh A{settingsOf("a", {}), quietHooks()};
  PeerMesh B{settingsOf("b", {A.address()}), quietHooks()};

  PairFixture() {
    A.start();
    B.start();
    BOOST_REQUIRE(becomesTrue([this] {
      return A.counts().LiveLinks == 1 && B.counts().LiveLinks == 1;
    }));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PeerMeshTests, PairFixture)

BOOST_AUTO_TEST_CASE(requests_go_both_ways_and_large_ones_too) {
  const std::string large(300'000, 'x');
  BOOST_CHECK_EQUAL(A.forward(HostId("b"), "echo", "hi", HangTimeout), "a:hi");
  BOOST_CHECK(B.forward(HostId("a"), "echo", large, HangTimeout) ==
              "b:" + large);
  BOOST_CHECK_THROW(A.forward(HostId("b"), "other", "", HangTimeout),
                    PeerDeclined);
  BOOST_CHECK_THROW(A.forward(HostId("z"), "echo", "", HangTimeout),
                    PeerUnreachable);
  BOOST_CHECK_THROW(A.forward(HostId("b"), "silence", "", milliseconds(50)),
                    PeerOutcomeUnknown);
}

BOOST_AUTO_TEST_CASE(forwards_of_many_threads_each_get_their_own_reply) {
  std::vector<std::thread> threads;
  std::atomic<int> wrong{0};
  threads.reserve(8);
  for (int n = 0; n < 8; ++n)
    threads.emplace_back([this, n, &wrong] {
      for (int i = 0; i < 50; ++i) {
        const std::string body = std::to_string(n) + "-" + std::to_string(i);
        if (A.forward(HostId("b"), "echo", body, HangTimeout) != "a:" + body)
          ++wrong;
      }
    });
  for (std::thread &it : threads)
    it.join();
  BOOST_CHECK_EQUAL(wrong, 0);
}

// A browser, a port scanner or a misdirected caller connects to the peer port.
// The daemon must reject it and keep serving its peers.
BOOST_AUTO_TEST_CASE(other_protocols_are_rejected) {
  HttpCall call;
  call.Path = "/v1/addresses";
  try {
    BOOST_CHECK_GE(sendOnce(A.address(), call).Status, 400);
  } catch (const Error &) {
    // Closing the connection is also a rejection.
  }
  BOOST_CHECK_EQUAL(B.forward(HostId("a"), "echo", "x", HangTimeout), "b:x");
}

// A daemon with another secret, or an attacker that poses as a daemon,
// connects.
BOOST_AUTO_TEST_CASE(wrong_secret_is_counted_and_rejected) {
  MeshSettings settings = settingsOf("c", {A.address()});
  settings.Secrets = {"the secret of other peers"};
  PeerMesh c(settings, quietHooks());
  c.start();
  BOOST_CHECK(becomesTrue([this] { return A.counts().HandshakeFailures > 0; }));
  BOOST_CHECK_EQUAL(A.counts().LiveLinks, 1);
  BOOST_CHECK_EQUAL(c.counts().LiveLinks, 0);
}

// The peer's process ends while a request waits for its reply.
BOOST_AUTO_TEST_CASE(request_to_a_stopped_peer_has_an_unknown_outcome) {
  std::thread stopper([this] {
    std::this_thread::sleep_for(milliseconds(100));
    B.stop();
  });
  BOOST_CHECK_THROW(A.forward(HostId("b"), "silence", "", HangTimeout),
                    PeerOutcomeUnknown);
  stopper.join();
  BOOST_CHECK_THROW(A.forward(HostId("b"), "echo", "", milliseconds(100)),
                    PeerUnreachable);
  BOOST_CHECK_THROW(B.forward(HostId("a"), "echo", "", HangTimeout),
                    PeerUnreachable);
}

BOOST_AUTO_TEST_SUITE_END()
