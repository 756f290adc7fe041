#include "Deployment.h"
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>
#include <vector>

using namespace sorrelbay;

BOOST_AUTO_TEST_SUITE(Overload)

// A team sends far more chats than the engine has call slots. Without admission
// control the engine rejects the excess calls, and their callers receive an
// unknown outcome instead of a time to retry after.
BOOST_AUTO_TEST_CASE(excess_calls_wait_or_get_a_retry_time) {
  Deployment deployment;
  deployment.addEngine("zone-a", "v1", {"--capacity", "2"});
  const TestDaemon &daemon = deployment.addDaemon("zone-a");
  deployment.roll(standardBundle(1, SingleVersionToml));
  deployment.waitReady();

  constexpr std::uint64_t Tokens = 20;
  std::atomic<int> completeChats{0};
  std::atomic<int> withRetryTime{0};
  std::atomic<int> other{0};
  constexpr int Callers = 24;
  std::vector<std::thread> callers;
  callers.reserve(Callers);
  for (int n = 0; n < Callers; ++n)
    callers.emplace_back([&, n] {
      const std::string question = "question " + std::to_string(n);
      ChatAnswer answer;
      // The kernel may refuse one of many simultaneous connections.
      waitUntil("a connection to the daemon", [&] {
        answer = streamChat(daemon.Address, question, Tokens,
                            {{"X-Deadline-Ms", "2500"}});
        return answer.Status != 0;
      });
      const bool isWhole =
          answer.IsWhole && answer.Text == expectedText(question, Tokens);
      const bool hasRetryTime =
          answer.Status == 503 &&
          Deployment::number(answer.Raw, "retry_after_ms") > 0 &&
          answer.Raw.find("not_run") != std::string::npos;
      ++(isWhole ? completeChats : hasRetryTime ? withRetryTime : other);
    });
  for (std::thread &it : callers)
    it.join();
  BOOST_TEST(completeChats > 0);
  BOOST_TEST(withRetryTime > 0);
  BOOST_TEST(other == 0);
}

BOOST_AUTO_TEST_SUITE_END()
