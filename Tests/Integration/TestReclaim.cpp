#include "Deployment.h"
#include "LibHttp/HttpClient.h"
#include <atomic>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <thread>

using namespace sorrelbay;

namespace {

constexpr std::uint64_t LongAnswer = 300;
/// Slow enough that reclaims fall into the middle of a long answer.
const std::vector<std::string> Slow = {"--token-us", "10000"};

std::int64_t count(const TestUpstream &engine, const char *key) {
  return Deployment::number(Deployment::get(engine.Address, "/admin/counters"),
                            key);
}

/// Callers that stream long answers at the same time.
class Chats {
public:
  Chats(const Deployment &deployment, std::size_t n) : Answers(n) {
    for (std::size_t i = 0; i < n; ++i) {
      const std::string address =
          deployment.Daemons[i % deployment.Daemons.size()]->Address;
      Threads.emplace_back([this, address, i] {
        Answers[i] = streamChat(address, question(i), LongAnswer);
      });
    }
  }
  ~Chats() { join(); }
  Chats(const Chats &) = delete;
  Chats &operator=(const Chats &) = delete;

  /// Waits for all ends and compares each text with an undisturbed one.
  void checkWhole() {
    join();
    for (std::size_t i = 0; i < Answers.size(); ++i) {
      BOOST_TEST(Answers[i].IsWhole);
      BOOST_TEST(Answers[i].Text == expectedText(question(i), LongAnswer));
    }
  }

private:
  static std::string question(std::size_t i) {
    return "Which board, number " + std::to_string(i) + "?";
  }
  void join() {
    for (std::thread &it : Threads)
      if (it.joinable())
        it.join();
  }

  std::vector<ChatAnswer> Answers;
  std::vector<std::thread> Threads;
};

void waitUntilServing(const std::vector<TestUpstream *> &engines) {
  for (TestUpstream *it : engines)
    waitUntil("tokens of " + it->Address,
              [it] { return count(*it, "tokens") > 20; });
}

/// Waits until no answer is on the engines, then ends them as the cloud does.
void reclaimOnceEmpty(const std::vector<TestUpstream *> &engines) {
  for (TestUpstream *it : engines)
    waitUntil("no stream on " + it->Address,
              [it] { return count(*it, "open") == 0; });
  for (TestUpstream *it : engines)
    it->Process->kill();
}

std::int64_t sum(const Deployment &deployment, const char *key) {
  std::int64_t n = 0;
  for (const auto &it : deployment.Upstreams)
    if (it->Process->isRunning())
      n += count(*it, key);
  return n;
}

struct ReclaimRow {
  const char *Name;
  std::size_t Engines;
  double Seconds;
  bool Moves;
};

/// Of four engines, two of them in zone-a. An answer takes 3 s, but the daemon
/// reckons with 30 tokens a second, so only the longest notice lets it finish.
const ReclaimRow ReclaimRows[] = {
    {"one engine, 2 s", 1, 2, true},
    {"one engine, 30 s", 1, 30, false},
    {"a zone, 2 s", 2, 2, true},
    {"a zone, 10 s", 2, 10, true},
};

std::ostream &operator<<(std::ostream &out, const ReclaimRow &row) {
  return out << row.Name;
}

/// Two engines in zone-a, one in zone-b and zone-c each, and two daemons. At
/// first only the engines to be reclaimed are listed, so that answers are
/// there.
struct ThreeZones {
  explicit ThreeZones(std::size_t leaving = 2)
      : A1(Whole.addEngine("zone-a", "v1", Slow)),
        A2(Whole.addEngine("zone-a", "v1", Slow)),
        B(Whole.addEngine("zone-b", "v1", Slow)),
        C(Whole.addEngine("zone-c", "v1", Slow)) {
    Leaving.assign({&A1, &A2});
    Leaving.resize(leaving);
    for (std::size_t i = leaving; i < Whole.Upstreams.size(); ++i)
      Whole.list(*Whole.Upstreams[i], "gone");
    Whole.addDaemon("zone-b");
    Whole.addDaemon("zone-c");
    Whole.roll(standardBundle(1, OnlyVersionOne));
    Whole.waitReady();
  }
  /// Waits for answers on those that will leave, then lists the others.
  void listOthersOnceServing() {
    waitUntilServing(Leaving);
    for (std::size_t i = Leaving.size(); i < Whole.Upstreams.size(); ++i)
      Whole.list(*Whole.Upstreams[i], "live");
  }
  /// Waits until so many answers are being given. A chat that comes later, when
  /// those that leave wait for room, is refused with a time to come back, and
  /// was never accepted.
  void waitForStreams(std::int64_t wanted) {
    waitUntil("all answers have begun", [&] {
      std::int64_t open = 0;
      for (const TestUpstream *it : Leaving)
        open += count(*it, "open");
      return open == wanted;
    });
  }
  void giveNotices(double seconds) {
    for (TestUpstream *it : Leaving)
      Whole.giveNotice(it->Address, seconds);
  }

  Deployment Whole;
  TestUpstream &A1;
  TestUpstream &A2;
  TestUpstream &B;
  TestUpstream &C;
  std::vector<TestUpstream *> Leaving;
};

/// One engine behind a fault proxy, which is listed in its place.
struct BehindProxy {
  BehindProxy()
      : Engine(Whole.addEngine("zone-a", "v1", Slow)),
        Proxy(Whole.addProxy(Engine.Address)) {
    Whole.list(Engine, "gone");
    Listed.Address = Proxy.Address;
    Listed.Zone = Engine.Zone;
    Listed.Service = Engine.Service;
    Listed.Version = Engine.Version;
    Whole.list(Listed, "live");
    Whole.addDaemon("zone-a");
    Whole.roll(standardBundle(1, OnlyVersionOne));
    Whole.waitReady();
  }
  Deployment Whole;
  TestUpstream &Engine;
  TestProxy &Proxy;
  TestUpstream Listed;
};

/// The part of a stream that a caller saw before its connection broke.
struct SeenPart {
  std::string RequestId;
  std::string Raw;
};

std::size_t eventsIn(const std::string &raw) {
  std::size_t n = 0;
  for (std::size_t at = raw.find("\n\n"); at != std::string::npos;
       at = raw.find("\n\n", at + 2))
    ++n;
  return n;
}

HttpCall chatCall(const std::string &question, std::uint64_t tokens) {
  HttpCall call;
  call.Method = "POST";
  call.Path = "/v1/chat/completions";
  call.Headers = {{"X-Team", "crew"}, {"X-Route", "chat"}};
  call.Body =
      nlohmann::json{{"model", "model"},
                     {"stream", true},
                     {"max_tokens", tokens},
                     {"messages", {{{"role", "user"}, {"content", question}}}}}
          .dump();
  call.ReadTimeout = seconds(60);
  return call;
}

/// Reads a stream until so many events have come, then breaks the connection.
SeenPart seeEvents(const std::string &address, const HttpCall &call,
                   std::size_t events) {
  SeenPart seen;
  HttpStream stream(address, call);
  stream.run(
      [&](const HttpReply &reply) {
        seen.RequestId = headerValue(reply.Headers, "X-Request-Id");
        return true;
      },
      [&](std::string_view data) {
        seen.Raw += data;
        return eventsIn(seen.Raw) < events;
      });
  return seen;
}

/// The ids of the events, in order.
std::vector<std::uint64_t> idsIn(const std::string &raw) {
  std::vector<std::uint64_t> ids;
  for (std::size_t at = raw.find("id: "); at != std::string::npos;
       at = raw.find("\nid: ", at + 1))
    ids.push_back(std::stoull(raw.substr(raw.find(": ", at) + 2)));
  return ids;
}

HttpCall reconnectCall(const SeenPart &seen, const std::string &team) {
  HttpCall call;
  call.Path = "/v1/chat/completions/" + seen.RequestId;
  call.Headers = {{"X-Team", team}};
  const auto ids = idsIn(seen.Raw);
  if (!ids.empty())
    call.Headers.push_back({"Last-Event-ID", std::to_string(ids.back())});
  call.ReadTimeout = seconds(60);
  return call;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Reclaim)

// The cloud takes an engine's host, or all of a zone, with seconds of notice.
// Without recovery the answers there break off at the end of the notice; here
// all have left before it, and no caller sees more than its text.
BOOST_DATA_TEST_CASE(announced_reclaims_leave_every_text_whole,
                     boost::unit_test::data::make(ReclaimRows), row) {
  ThreeZones zones(row.Engines);
  Chats chats(zones.Whole, 12);
  zones.waitForStreams(12);
  zones.listOthersOnceServing();
  zones.giveNotices(row.Seconds);
  reclaimOnceEmpty(zones.Leaving);
  chats.checkWhole();
  BOOST_TEST((sum(zones.Whole, "imported") > 0) == row.Moves);
}

// While answers leave a zone, the engine that took most of them is taken too.
BOOST_AUTO_TEST_CASE(a_second_wave_during_recovery_leaves_every_text_whole) {
  ThreeZones zones;
  Chats chats(zones.Whole, 12);
  zones.waitForStreams(12);
  zones.listOthersOnceServing();
  zones.giveNotices(3);
  waitUntil("an answer that was moved to zone-b",
            [&] { return count(zones.B, "imported") > 0; });
  zones.Whole.giveNotice(zones.B.Address, 2);
  reclaimOnceEmpty({&zones.A1, &zones.A2, &zones.B});
  chats.checkWhole();
}

// A host goes without a word. Its answers go on by prefix elsewhere.
BOOST_AUTO_TEST_CASE(an_unannounced_end_leaves_every_text_whole) {
  ThreeZones zones;
  Chats chats(zones.Whole, 12);
  zones.waitForStreams(12);
  zones.listOthersOnceServing();
  zones.A1.Process->kill();
  zones.A2.Process->kill();
  chats.checkWhole();
  BOOST_TEST(sum(zones.Whole, "resumed") > 0);
}

// Something between the daemon and the engine forgets a connection: it stays
// open and silent for good, while new ones work. The caller would wait until
// its deadline.
BOOST_AUTO_TEST_CASE(a_silent_connection_is_replaced) {
  BehindProxy behind;
  Chats chats(behind.Whole, 2);
  waitUntilServing({&behind.Engine});
  behind.Proxy.setMode("freeze");
  chats.checkWhole();
  BOOST_TEST(count(behind.Engine, "requests") == 4);
}

// An engine sends tokens twice, sends those of somebody else's answer, and ends
// streams before they are whole. Passed on, a caller would read garbled text or
// take half a quote for the whole.
BOOST_AUTO_TEST_CASE(crossed_duplicated_and_truncated_answers_are_mended) {
  BehindProxy behind;
  Deployment::post(
      behind.Engine.Address, "/admin/faults",
      R"({"duplicate_every": 3, "cross_every": 4, "truncate_after": 70})");
  Chats chats(behind.Whole, 2);
  chats.checkWhole();
  const std::string metrics =
      Deployment::get(behind.Whole.Daemons[0]->Address, "/metrics");
  for (const char *it : {"cause=\"crossed\"", "cause=\"duplicated\""})
    BOOST_TEST((metrics.find(it) != std::string::npos), it);
}

// The caller's own connection breaks in mid-answer. It comes back with the id
// of the last event that it saw, and would not like to pay for the quote twice.
BOOST_DATA_TEST_CASE(a_caller_that_comes_back_misses_and_repeats_nothing,
                     boost::unit_test::data::make({1, 20, 60}), seenEvents) {
  constexpr std::uint64_t Tokens = 60;
  Deployment deployment;
  deployment.addEngine("zone-a", "v1", Slow);
  const std::string address = deployment.addDaemon("zone-a").Address;
  deployment.roll(standardBundle(1, OnlyVersionOne));
  deployment.waitReady();
  const SeenPart first =
      seeEvents(address, chatCall("Oak?", Tokens), seenEvents);
  const HttpReply rest = sendOnce(address, reconnectCall(first, "crew"));
  BOOST_TEST(rest.Status == 200);
  const auto ids = idsIn(first.Raw + rest.Body);
  BOOST_REQUIRE(ids.size() == Tokens + 1);
  for (std::size_t i = 0; i < ids.size(); ++i)
    BOOST_TEST(ids[i] == i);
  BOOST_TEST(textOfEvents(first.Raw + rest.Body) ==
             expectedText("Oak?", Tokens));
  BOOST_TEST(sendOnce(address, reconnectCall(first, "others")).Status == 404);
}

// The cloud takes an entry host back in the middle of its answers. Its callers
// would lose them; they are told where to go on, and miss and repeat nothing.
BOOST_AUTO_TEST_CASE(answers_of_a_leaving_entry_host_go_on_at_a_peer) {
  Deployment deployment;
  TestUpstream &engine = deployment.addEngine("zone-a", "v1", Slow);
  TestDaemon &leaving = deployment.addDaemon("zone-a");
  deployment.addDaemon("zone-a");
  TestDaemon &otherZone = deployment.addDaemon("zone-b");
  deployment.roll(standardBundle(1, OnlyVersionOne));
  deployment.waitReady();
  SeenPart first;
  std::thread caller([&] {
    first = seeEvents(leaving.Address, chatCall("Oak?", LongAnswer),
                      LongAnswer + 2);
  });
  waitUntilServing({&engine});
  deployment.giveNotice(leaving.Address, 2);
  caller.join();
  leaving.Process->kill();
  BOOST_TEST(first.Raw.find("event: moved") != std::string::npos);
  BOOST_TEST(first.Raw.find(otherZone.Address) != std::string::npos);
  const HttpReply rest =
      sendOnce(otherZone.Address, reconnectCall(first, "crew"));
  const auto ids = idsIn(first.Raw + rest.Body);
  BOOST_REQUIRE(ids.size() == LongAnswer + 1);
  for (std::size_t i = 0; i < ids.size(); ++i)
    BOOST_TEST(ids[i] == i);
  BOOST_TEST(textOfEvents(first.Raw + rest.Body) ==
             expectedText("Oak?", LongAnswer));
}

BOOST_AUTO_TEST_SUITE_END()
