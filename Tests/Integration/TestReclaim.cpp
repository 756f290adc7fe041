#include "Deployment.h"
#include "LibHttp/HttpClient.h"
#include <atomic>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <thread>

using namespace sorrelbay;

namespace {

constexpr std::uint64_t LongResponseTokens = 300;
/// Slow enough for a reclaim to take effect in the middle of a long response.
const std::vector<std::string> SlowEngineArguments = {"--token-us", "10000"};

std::int64_t count(const TestUpstream &engine, const char *key) {
  return Deployment::number(Deployment::get(engine.Address, "/admin/counters"),
                            key);
}

/// Callers that stream long responses at the same time.
class LongChats {
public:
  LongChats(const Deployment &deployment, std::size_t n) : Answers(n) {
    for (std::size_t i = 0; i < n; ++i) {
      const std::string address =
          deployment.Daemons[i % deployment.Daemons.size()]->Address;
      Threads.emplace_back([this, address, i] {
        Answers[i] = streamChat(address, question(i), LongResponseTokens);
      });
    }
  }
  ~LongChats() { join(); }
  LongChats(const LongChats &) = delete;
  LongChats &operator=(const LongChats &) = delete;

  /// Waits for all streams to end and compares each text with an uninterrupted
  /// one.
  void checkAllComplete() {
    join();
    for (std::size_t i = 0; i < Answers.size(); ++i) {
      BOOST_TEST(Answers[i].IsWhole);
      BOOST_TEST(Answers[i].Text ==
                 expectedText(question(i), LongResponseTokens));
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

/// Waits until the engines have no open streams, then kills them as the cloud
/// does.
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
  bool ExpectsCacheImport;
};

/// The number of engines reclaimed in zone-a and the length of the notice; of
/// the four engines, two are in zone-a. A response takes 3 s, but the daemon
/// assumes 30 tokens per second, so only with the longest notice do responses
/// finish on the reclaimed engine.
const ReclaimRow ReclaimRows[] = {
    {"one engine, 2 s", 1, 2, true},
    {"one engine, 30 s", 1, 30, false},
    {"a zone, 2 s", 2, 2, true},
    {"a zone, 10 s", 2, 10, true},
};

std::ostream &operator<<(std::ostream &out, const ReclaimRow &row) {
  return out << row.Name;
}

/// Two engines in zone-a, one each in zone-b and zone-c, and two daemons. Only
/// the engines to be reclaimed are listed at first, so that all responses start
/// there.
struct ThreeZoneCluster {
  explicit ThreeZoneCluster(std::size_t leaving = 2)
      : A1(Cluster.addEngine("zone-a", "v1", SlowEngineArguments)),
        A2(Cluster.addEngine("zone-a", "v1", SlowEngineArguments)),
        B(Cluster.addEngine("zone-b", "v1", SlowEngineArguments)),
        C(Cluster.addEngine("zone-c", "v1", SlowEngineArguments)) {
    Leaving.assign({&A1, &A2});
    Leaving.resize(leaving);
    for (std::size_t i = leaving; i < Cluster.Upstreams.size(); ++i)
      Cluster.list(*Cluster.Upstreams[i], "gone");
    Cluster.addDaemon("zone-b");
    Cluster.addDaemon("zone-c");
    Cluster.roll(standardBundle(1, SingleVersionToml));
    Cluster.waitReady();
  }
  /// Waits until the engines to be reclaimed send tokens, then lists the
  /// others.
  void listOthersOnceServing() {
    waitUntilServing(Leaving);
    for (std::size_t i = Leaving.size(); i < Cluster.Upstreams.size(); ++i)
      Cluster.list(*Cluster.Upstreams[i], "live");
  }
  /// Waits until this many streams are open on the engines to be reclaimed. A
  /// chat that arrived later, while streams wait for a call slot elsewhere,
  /// would be rejected with a retry time instead of being accepted.
  void waitForStreams(std::int64_t wanted) {
    waitUntil("the expected number of open streams", [&] {
      std::int64_t open = 0;
      for (const TestUpstream *it : Leaving)
        open += count(*it, "open");
      return open == wanted;
    });
  }
  void addReclaimNotices(double seconds) {
    for (TestUpstream *it : Leaving)
      Cluster.addReclaimNotice(it->Address, seconds);
  }

  Deployment Cluster;
  TestUpstream &A1;
  TestUpstream &A2;
  TestUpstream &B;
  TestUpstream &C;
  std::vector<TestUpstream *> Leaving;
};

/// One engine behind a fault proxy, whose address is listed instead.
struct ProxiedEngine {
  ProxiedEngine()
      : Engine(Cluster.addEngine("zone-a", "v1", SlowEngineArguments)),
        Proxy(Cluster.addProxy(Engine.Address)) {
    Cluster.list(Engine, "gone");
    Listed.Address = Proxy.Address;
    Listed.Zone = Engine.Zone;
    Listed.Service = Engine.Service;
    Listed.Version = Engine.Version;
    Cluster.list(Listed, "live");
    Cluster.addDaemon("zone-a");
    Cluster.roll(standardBundle(1, SingleVersionToml));
    Cluster.waitReady();
  }
  Deployment Cluster;
  TestUpstream &Engine;
  TestProxy &Proxy;
  TestUpstream Listed;
};

/// The part of a stream that a caller received before its connection broke.
struct PartialStream {
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

/// Reads a stream until this many events have been received, then closes the
/// connection.
PartialStream readEventsUntil(const std::string &address, const HttpCall &call,
                              std::size_t events) {
  PartialStream partialStream;
  HttpStream stream(address, call);
  stream.run(
      [&](const HttpReply &reply) {
        partialStream.RequestId = headerValue(reply.Headers, "X-Request-Id");
        return true;
      },
      [&](std::string_view data) {
        partialStream.Raw += data;
        return eventsIn(partialStream.Raw) < events;
      });
  return partialStream;
}

/// The ids of the events, in order.
std::vector<std::uint64_t> idsIn(const std::string &raw) {
  std::vector<std::uint64_t> ids;
  for (std::size_t at = raw.find("id: "); at != std::string::npos;
       at = raw.find("\nid: ", at + 1))
    ids.push_back(std::stoull(raw.substr(raw.find(": ", at) + 2)));
  return ids;
}

HttpCall reconnectCall(const PartialStream &partialStream,
                       const std::string &team) {
  HttpCall call;
  call.Path = "/v1/chat/completions/" + partialStream.RequestId;
  call.Headers = {{"X-Team", team}};
  const auto ids = idsIn(partialStream.Raw);
  if (!ids.empty())
    call.Headers.push_back({"Last-Event-ID", std::to_string(ids.back())});
  call.ReadTimeout = seconds(60);
  return call;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Reclaim)

// The cloud reclaims an engine's host, or all hosts of a zone, with a notice of
// seconds. Without recovery the streams there end with the host; all must move
// before the end of the notice, with their texts complete and without
// duplicates.
BOOST_DATA_TEST_CASE(reclaims_with_notice_leave_every_text_complete,
                     boost::unit_test::data::make(ReclaimRows), row) {
  ThreeZoneCluster zones(row.Engines);
  LongChats chats(zones.Cluster, 12);
  zones.waitForStreams(12);
  zones.listOthersOnceServing();
  zones.addReclaimNotices(row.Seconds);
  reclaimOnceEmpty(zones.Leaving);
  chats.checkAllComplete();
  BOOST_TEST((sum(zones.Cluster, "imported") > 0) == row.ExpectsCacheImport);
}

// While streams move out of a zone, the engine that received most of them is
// reclaimed too.
BOOST_AUTO_TEST_CASE(
    a_second_reclaim_during_recovery_leaves_every_text_complete) {
  ThreeZoneCluster zones;
  LongChats chats(zones.Cluster, 12);
  zones.waitForStreams(12);
  zones.listOthersOnceServing();
  zones.addReclaimNotices(3);
  waitUntil("a response moved to zone-b",
            [&] { return count(zones.B, "imported") > 0; });
  zones.Cluster.addReclaimNotice(zones.B.Address, 2);
  reclaimOnceEmpty({&zones.A1, &zones.A2, &zones.B});
  chats.checkAllComplete();
}

// Hosts are lost without a notice. Their streams must resume on other engines
// after the tokens that the callers already received.
BOOST_AUTO_TEST_CASE(an_end_without_notice_leaves_every_text_complete) {
  ThreeZoneCluster zones;
  LongChats chats(zones.Cluster, 12);
  zones.waitForStreams(12);
  zones.listOthersOnceServing();
  zones.A1.Process->kill();
  zones.A2.Process->kill();
  chats.checkAllComplete();
  BOOST_TEST(sum(zones.Cluster, "resumed") > 0);
}

// A middlebox drops the state of a connection between the daemon and the
// engine: it stays open and silent, while new ones work. Without detection the
// caller would wait until its deadline.
BOOST_AUTO_TEST_CASE(a_silent_connection_is_replaced) {
  ProxiedEngine proxied;
  LongChats chats(proxied.Cluster, 2);
  waitUntilServing({&proxied.Engine});
  proxied.Proxy.setMode("freeze");
  chats.checkAllComplete();
  BOOST_TEST(count(proxied.Engine, "requests") == 4);
}

// An engine sends tokens twice, sends tokens of another response, and ends
// streams early. Forwarded unchecked, the caller would receive garbled or
// truncated text.
BOOST_AUTO_TEST_CASE(crossed_duplicated_and_truncated_responses_are_repaired) {
  ProxiedEngine proxied;
  Deployment::post(
      proxied.Engine.Address, "/admin/faults",
      R"({"duplicate_every": 3, "cross_every": 4, "truncate_after": 70})");
  LongChats chats(proxied.Cluster, 2);
  chats.checkAllComplete();
  const std::string metrics =
      Deployment::get(proxied.Cluster.Daemons[0]->Address, "/metrics");
  for (const char *it : {"cause=\"crossed\"", "cause=\"duplicated\""})
    BOOST_TEST((metrics.find(it) != std::string::npos), it);
}

// The caller's connection breaks during a response. It reconnects with the id
// of the last event received and must receive the rest without gaps, duplicates
// or a second generation.
BOOST_DATA_TEST_CASE(a_caller_that_reconnects_misses_and_repeats_nothing,
                     boost::unit_test::data::make({1, 20, 60}),
                     receivedEvents) {
  constexpr std::uint64_t Tokens = 60;
  Deployment deployment;
  deployment.addEngine("zone-a", "v1", SlowEngineArguments);
  const std::string address = deployment.addDaemon("zone-a").Address;
  deployment.roll(standardBundle(1, SingleVersionToml));
  deployment.waitReady();
  const PartialStream first =
      readEventsUntil(address, chatCall("Oak?", Tokens), receivedEvents);
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

// The cloud reclaims an entry host during its streams. Its callers must receive
// the address of a peer and continue there without gaps or duplicates.
BOOST_AUTO_TEST_CASE(responses_of_a_leaving_entry_host_continue_at_a_peer) {
  Deployment deployment;
  TestUpstream &engine =
      deployment.addEngine("zone-a", "v1", SlowEngineArguments);
  TestDaemon &leaving = deployment.addDaemon("zone-a");
  deployment.addDaemon("zone-a");
  TestDaemon &otherZone = deployment.addDaemon("zone-b");
  deployment.roll(standardBundle(1, SingleVersionToml));
  deployment.waitReady();
  PartialStream first;
  std::thread caller([&] {
    first =
        readEventsUntil(leaving.Address, chatCall("Oak?", LongResponseTokens),
                        LongResponseTokens + 2);
  });
  waitUntilServing({&engine});
  deployment.addReclaimNotice(leaving.Address, 2);
  caller.join();
  leaving.Process->kill();
  BOOST_TEST(first.Raw.find("event: moved") != std::string::npos);
  BOOST_TEST(first.Raw.find(otherZone.Address) != std::string::npos);
  const HttpReply rest =
      sendOnce(otherZone.Address, reconnectCall(first, "crew"));
  const auto ids = idsIn(first.Raw + rest.Body);
  BOOST_REQUIRE(ids.size() == LongResponseTokens + 1);
  for (std::size_t i = 0; i < ids.size(); ++i)
    BOOST_TEST(ids[i] == i);
  BOOST_TEST(textOfEvents(first.Raw + rest.Body) ==
             expectedText("Oak?", LongResponseTokens));
}

BOOST_AUTO_TEST_SUITE_END()
