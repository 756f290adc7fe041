#include "Deployment.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;

BOOST_AUTO_TEST_SUITE(FatalPrompts)

// A chat crashes each engine that it is sent to. If it were sent on until its
// attempts are used up, one caller would end ten engines.
BOOST_AUTO_TEST_CASE(one_chat_ends_few_engines) {
  constexpr int EngineCount = 8;
  constexpr int MostEnded = 3;
  Deployment deployment;
  for (int n = 0; n < EngineCount; ++n)
    deployment.addEngine("zone-a", "v1", {"--fatal-text", "fatal question"});
  const TestDaemon &daemon = deployment.addDaemon("zone-a");
  deployment.roll(standardBundle(1, SingleVersionToml));
  deployment.waitReady();
  waitUntil("a chat", [&] {
    return streamChat(daemon.Address, "sound question", 5).IsWhole;
  });
  const ChatAnswer answer =
      streamChat(daemon.Address, "fatal question", 5,
                 {{"X-Deadline-Ms", "20000"}, {"X-Route", "quote"}});
  const auto ended =
      std::count_if(deployment.Upstreams.begin(), deployment.Upstreams.end(),
                    [](const auto &it) { return !it->Process->isRunning(); });
  BOOST_TEST(ended >= 1);
  BOOST_TEST(ended <= MostEnded);
  BOOST_TEST(!answer.IsWhole);
  // The caller must not be invited to repeat it.
  BOOST_TEST(answer.Raw.find("retry_after_ms") == std::string::npos);
  BOOST_TEST(streamChat(daemon.Address, "sound question", 5).IsWhole);
}

BOOST_AUTO_TEST_SUITE_END()
