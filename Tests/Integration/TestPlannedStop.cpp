#include "Deployment.h"
#include "LibHttp/HttpClient.h"
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>

using namespace sorrelbay;

namespace {

/// Totals over all callers of a run.
struct CallerTotals {
  std::atomic<int> CompleteChats{0};
  std::atomic<int> BrokenChats{0};
  std::atomic<int> Booked{0};
  std::atomic<int> UnknownBookings{0};
  std::atomic<bool> IsOver{false};
};

/// A caller's cache of addresses: requested from any daemon, kept for their
/// time to live, and tried in order.
class AddressCache {
public:
  explicit AddressCache(std::vector<std::string> known)
      : Known(std::move(known)) {}

  /// The addresses to try, in order. Refreshes them once expired.
  const std::vector<std::string> &usable() {
    if (std::chrono::steady_clock::now() >= ValidUntil)
      refreshAddresses();
    return Usable;
  }

private:
  void refreshAddresses() {
    for (const std::string &it : Known) {
      try {
        const auto answer =
            nlohmann::json::parse(Deployment::get(it, "/v1/addresses"));
        Usable.clear();
        for (const auto &entry : answer["addresses"])
          Usable.push_back(entry["address"]);
        ValidUntil = std::chrono::steady_clock::now() +
                     milliseconds(answer["ttl_ms"].get<int>());
        return;
      } catch (const Error &) {
        // That daemon is down; the next one is tried.
      }
    }
  }

  const std::vector<std::string> Known;
  std::vector<std::string> Usable;
  std::chrono::steady_clock::time_point ValidUntil;
};

/// Streams one chat, trying the addresses in order. A refused connection or a
/// response of status 503 leads to the next address; a stream that ends early
/// counts as broken.
void chatOnce(const std::vector<std::string> &addresses,
              const std::string &question, CallerTotals &callerTotals) {
  constexpr std::uint64_t Tokens = 30;
  for (const std::string &it : addresses) {
    const ChatAnswer answer = streamChat(it, question, Tokens);
    if (answer.Status == 0 || answer.Status == 503)
      continue;
    const bool isRight =
        answer.IsWhole && answer.Text == expectedText(question, Tokens);
    ++(isRight ? callerTotals.CompleteChats : callerTotals.BrokenChats);
    return;
  }
}

/// Books with one key, trying the addresses in order. A connection that breaks
/// after the request was sent leaves the outcome unknown.
void bookOnce(const std::vector<std::string> &addresses, const std::string &key,
              CallerTotals &callerTotals) {
  std::uint64_t attempt = 1;
  for (const std::string &it : addresses) {
    try {
      if (callDeskAt(it, "booking", key, attempt++).Status == 200) {
        ++callerTotals.Booked;
        return;
      }
    } catch (const HttpNotSent &) {
      continue;
    } catch (const HttpOutcomeUnknown &) {
      ++callerTotals.UnknownBookings;
      return;
    }
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlannedStop)

// Operators replace entry hosts one after the other while callers still use
// cached addresses. Without a drain, chats would break off and the outcome of
// bookings would be unknown.
BOOST_AUTO_TEST_CASE(rolling_stop_cuts_off_nothing) {
  Deployment deployment;
  deployment.addEngine("zone-a", "v1");
  deployment.addEngine("zone-b", "v1");
  deployment.addDesk("zone-a");
  std::vector<std::string> addresses;
  for (const char *zone : {"zone-a", "zone-b", "zone-c"})
    addresses.push_back(deployment.addDaemon(zone).Address);
  deployment.roll(standardBundle(1, SingleVersionToml));
  deployment.waitReady();

  CallerTotals callerTotals;
  std::vector<std::thread> callers;
  for (std::size_t n = 0; n < 6; ++n)
    callers.emplace_back([&, n] {
      AddressCache addressCache(addresses);
      for (int round = 0; !callerTotals.IsOver; ++round) {
        const std::string name =
            std::to_string(n) + "-" + std::to_string(round);
        chatOnce(addressCache.usable(), "chat " + name, callerTotals);
        bookOnce(addressCache.usable(), "visit-" + name, callerTotals);
      }
    });
  for (const auto &it : deployment.Daemons) {
    const int before = callerTotals.CompleteChats;
    waitUntil("more complete chats",
              [&] { return callerTotals.CompleteChats > before + 6; });
    it->Process->terminate();
    BOOST_TEST(it->Process->wait() == 0);
    deployment.restart(*it);
    deployment.waitReady();
  }
  callerTotals.IsOver = true;
  for (std::thread &it : callers)
    it.join();
  BOOST_TEST(callerTotals.BrokenChats == 0);
  BOOST_TEST(callerTotals.UnknownBookings == 0);
  BOOST_TEST(callerTotals.CompleteChats > 0);
  BOOST_TEST(callerTotals.Booked > 0);
}

BOOST_AUTO_TEST_SUITE_END()
