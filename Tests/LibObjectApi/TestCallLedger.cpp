#include "LibObjectApi/CallLedger.h"
#include <atomic>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace sorrelbay;
namespace data = boost::unit_test::data;

namespace {

/// An object API in memory. The reply to one of every `LoseEvery` writes is
/// lost; if 0, no reply is lost.
struct FakeObjects {
  explicit FakeObjects(std::uint64_t loseEvery) : LoseEvery(loseEvery) {}

  ObjectApi api() {
    ObjectApi out;
    out.Read = [this](const std::string &name) { return read(name); };
    out.Write = [this](const std::string &name, const std::string &body,
                       std::uint64_t expected) {
      return write(name, body, expected);
    };
    return out;
  }

  std::optional<StoredObject> read(const std::string &name) {
    const std::lock_guard<std::mutex> lock(Mutex);
    ++Reads;
    if (Objects.count(name) == 0)
      return std::nullopt;
    return Objects.at(name);
  }

  std::uint64_t write(const std::string &name, const std::string &body,
                      std::uint64_t expected) {
    const std::lock_guard<std::mutex> lock(Mutex);
    ++Writes;
    StoredObject &object = Objects[name];
    if (object.Version != expected)
      throw VersionConflict("another version");
    object = {body, expected + 1};
    if (LoseEvery != 0 && Writes % LoseEvery == 0)
      throw WriteOutcomeUnknown("lost");
    return object.Version;
  }

  const std::uint64_t LoseEvery;
  std::mutex Mutex;
  std::map<std::string, StoredObject> Objects;
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
};

LedgerEdit makeIntent(const std::string &key, std::uint64_t nonce) {
  LedgerEdit edit;
  edit.Call = {TeamId("north"), IdempotencyKey(key)};
  edit.Attempt = 1;
  edit.Owner = IncarnationId("host-" + std::to_string(nonce));
  edit.Nonce = nonce;
  return edit;
}

} // namespace

static constexpr int Threads = 16;
static constexpr int Keys = 20;

static const std::uint64_t LoseEveryRows[] = {0, 2, 3};

// Two daemons receive the same bookings at the same time, each over many
// connections, and replies of the object API are lost after the write took
// effect. Treating a lost reply as a failure or a success would let two daemons
// claim a booking, or none.
BOOST_DATA_TEST_CASE(ledger_gives_each_call_to_one_of_racing_threads,
                     data::make(LoseEveryRows), loseEvery) {
  FakeObjects objects(loseEvery);
  CallLedger ledgers[] = {{objects.api(), LedgerLimits{}, 1},
                          {objects.api(), LedgerLimits{}, 2}};
  std::atomic<int> accepted[Keys] = {};
  std::atomic<int> held{0};
  std::vector<std::thread> threads;
  threads.reserve(Threads);
  for (int n = 0; n < Threads; n++)
    threads.emplace_back([&, n] {
      for (int key = 0; key < Keys; key++) {
        const auto outcome = ledgers[n % 2].apply(
            makeIntent("k" + std::to_string(key), std::uint64_t(n)));
        accepted[key] += outcome.Verdict == EditVerdict::Accepted ? 1 : 0;
        held += outcome.Verdict == EditVerdict::HeldByOther ? 1 : 0;
      }
    });
  for (std::thread &it : threads)
    it.join();
  for (const auto &it : accepted)
    BOOST_TEST(it == 1);
  BOOST_TEST(held == Keys * (Threads - 1));
}

// The object API is down. The caller must get an error at once, not after
// retries.
BOOST_AUTO_TEST_CASE(ledger_returns_an_outage_as_an_outcome) {
  int calls = 0;
  ObjectApi api;
  api.Read = [&calls](const std::string &) -> std::optional<StoredObject> {
    calls++;
    throw ObjectApiUnavailable("down");
  };
  CallLedger ledger(api, LedgerLimits{}, 1);
  const auto outcome = ledger.apply(makeIntent("k", 1));
  BOOST_CHECK(outcome.Verdict == EditVerdict::Unavailable);
  BOOST_TEST(!outcome.MayHaveBeenWritten);
  BOOST_TEST(calls == 1);
}

BOOST_AUTO_TEST_CASE(ledger_costs_one_read_and_two_writes_a_call) {
  FakeObjects objects(0);
  CallLedger ledger(objects.api(), LedgerLimits{}, 1);
  for (std::uint64_t n = 0; n < 10; n++) {
    LedgerEdit edit = makeIntent("k" + std::to_string(n), n);
    BOOST_CHECK(ledger.apply(edit).Verdict == EditVerdict::Accepted);
    edit.Kind = EditKind::PutResult;
    BOOST_CHECK(ledger.apply(edit).Verdict == EditVerdict::Accepted);
  }
  BOOST_TEST(objects.Reads == 10U);
  BOOST_TEST(objects.Writes == 20U);
}
