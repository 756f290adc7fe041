#include "Deployment.h"
#include "LibCaller/DeskCallReply.h"
#include "LibDecision/LedgerCodec.h"
#include "LibHttp/HttpClient.h"
#include "LibObjectApi/CallLedger.h"
#include "LibObjectApi/HttpObjectApi.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <nlohmann/json.hpp>

using namespace sorrelbay;
namespace data = boost::unit_test::data;

namespace sorrelbay {
static std::ostream &operator<<(std::ostream &out, CallOutcome outcome) {
  static const char *const names[] = {"done", "not_run", "unknown"};
  return out << names[static_cast<int>(outcome)];
}

/// Two desks, and three daemons that each reach the platform through their own
/// proxy.
struct BookingSite {
  explicit BookingSite(int daemons = 3) {
    Cluster.addDesk("zone-a");
    Cluster.addDesk("zone-b");
    for (int n = 0; n < daemons; ++n) {
      TestProxy &proxy = Cluster.addProxy(Cluster.platform());
      Cluster.addDaemon(n % 2 == 0 ? "zone-a" : "zone-b", proxy.Address);
    }
    Cluster.roll(standardBundle(1, SingleVersionToml));
    Cluster.waitReady();
  }

  const std::string &entry(std::size_t n) const {
    return Cluster.Daemons.at(n)->Address;
  }
  DeskCallAnswer book(std::size_t n, const std::string &key,
                      std::uint64_t attempt) const {
    const HttpReply reply = callDeskAt(entry(n), "booking", key, attempt);
    DeskCallAnswer answer = parseDeskCall(reply);
    // Shows in the log of a failed test why the call was not done.
    if (answer.Outcome != CallOutcome::Done)
      BOOST_TEST_MESSAGE(key << " at daemon " << n << ": " << reply.Status
                             << " " << reply.Body);
    return answer;
  }
  DeskCallAnswer queryOutcome(std::size_t n, const std::string &key,
                              std::uint64_t attempt) const {
    HttpCall call;
    call.Path = "/v1/calls/" + key;
    call.Headers = {{"X-Team", "crew"}, {"X-Attempt", std::to_string(attempt)}};
    return parseCallQuery(sendOnce(entry(n), call));
  }
  /// Waits until each daemon has a peer link to every other one, so that it
  /// reaches the owners of tickets.
  void waitForPeerLinks() const {
    const std::string wanted =
        "sorrelbay_peer_links " + std::to_string(Cluster.Daemons.size() - 1);
    for (std::size_t n = 0; n < Cluster.Daemons.size(); ++n)
      waitUntil("daemon " + std::to_string(n) + " has all its peer links", [&] {
        return Deployment::get(entry(n), "/metrics").find(wanted) !=
               std::string::npos;
      });
  }
  /// The result is recorded after the response is sent; until then a retry
  /// receives "unknown", but never "not run".
  void waitUntilDone(std::size_t n, const std::string &key,
                     std::uint64_t attempt) const {
    waitUntil(key + " is done at every daemon", [&] {
      const CallOutcome outcome = book(n, key, attempt).Outcome;
      BOOST_REQUIRE(outcome != CallOutcome::NotRun);
      return outcome == CallOutcome::Done;
    });
    BOOST_TEST(queryOutcome(n, key, attempt).Outcome == CallOutcome::Done);
  }
  std::string requestTicket(std::size_t n) const {
    const auto lookup = nlohmann::json::parse(
        Deployment::get(entry(n), "/v1/addresses?tickets=1"));
    return lookup["tickets"][0]["idempotency_key"];
  }
  /// The number of times that the desks have run the key.
  int runs(const std::string &key) const {
    int out = 0;
    for (const auto &desk : Cluster.Upstreams)
      for (const auto &run :
           nlohmann::json::parse(Deployment::get(desk->Address, "/admin/runs")))
        out += run["key"] == key ? 1 : 0;
    return out;
  }
  void setDeskFaults(const std::string &json, std::size_t desks = 2) const {
    for (std::size_t n = 0; n < desks; ++n)
      Deployment::post(Cluster.Upstreams[n]->Address, "/admin/faults", json);
  }
  /// Makes the daemon run a call of the same ledger bucket, so that it has the
  /// bucket loaded and starts the next call by writing the intent.
  void loadBucketAt(std::size_t n, const std::string &key) const {
    const CallId wanted{TeamId("crew"), IdempotencyKey(key)};
    CallId other = wanted;
    for (int it = 0; other == wanted || bucketOf(other) != bucketOf(wanted);)
      other.Key = IdempotencyKey("other-" + std::to_string(it++));
    book(n, other.Key.text(), 1);
    waitUntil("the result of the call in the same bucket", [&] {
      return queryOutcome(n, other.Key.text(), 1).Outcome == CallOutcome::Done;
    });
  }
  /// Waits until the ledger contains the key, even if no daemon has received
  /// the reply to its write.
  void waitForLedgerEntry(const std::string &key) const {
    const ObjectApi objects = connectObjectApi(Cluster.platform(), seconds(5));
    const CallId call{TeamId("crew"), IdempotencyKey(key)};
    waitUntil("a ledger entry of " + key, [&] {
      const auto object = objects.Read(bucketObjectName(bucketOf(call)));
      return object && decodeBucket(object->Body).entries().count(call) != 0;
    });
  }

  Deployment Cluster;
};

} // namespace sorrelbay

BOOST_AUTO_TEST_SUITE(AtMostOnce)

// A caller sends the same booking to every address at once. Without one order
// of attempts across all hosts, several desks would run it.
BOOST_AUTO_TEST_CASE(same_key_at_all_entry_hosts_at_once_runs_once) {
  const BookingSite site;
  for (int round = 0; round < 10; ++round) {
    const std::string key = "visit-" + std::to_string(round);
    std::vector<std::future<DeskCallAnswer>> answers;
    for (std::size_t n = 0; n < 9; ++n)
      answers.push_back(std::async(std::launch::async, [&site, &key, n] {
        return site.book(n % 3, key, n + 1);
      }));
    int done = 0;
    for (auto &it : answers) {
      const DeskCallAnswer answer = it.get();
      done += answer.Outcome == CallOutcome::Done ? 1 : 0;
      BOOST_TEST(answer.Outcome != CallOutcome::NotRun);
    }
    BOOST_TEST(done >= 1);
    BOOST_TEST(site.runs(key) == 1);
    site.waitUntilDone(2, key, 10);
  }
}

// The platform's reply to the write of the intent is lost, and the daemon is
// killed while it waits for it. Whether it had sent the booking is unknown, so
// no daemon may run it or report it as not run, including a new daemon at the
// same address.
BOOST_AUTO_TEST_CASE(killed_between_intent_and_send_is_unknown) {
  BookingSite site;
  site.loadBucketAt(0, "visit-1");
  site.Cluster.Proxies[0]->setMode("silence");
  auto first = std::async(std::launch::async, [&site] {
    try {
      return site.book(0, "visit-1", 1).Outcome;
    } catch (const HttpOutcomeUnknown &) {
      return CallOutcome::Unknown;
    }
  });
  site.waitForLedgerEntry("visit-1");
  site.Cluster.Daemons[0]->Process->kill();
  const CallOutcome firstOutcome = first.get();
  site.Cluster.Proxies[0]->setMode("pass");
  BOOST_TEST(site.book(1, "visit-1", 2).Outcome == CallOutcome::Unknown);
  site.Cluster.restart(*site.Cluster.Daemons[0]);
  site.Cluster.waitReady();
  BOOST_TEST(site.book(0, "visit-1", 3).Outcome == CallOutcome::Unknown);
  BOOST_TEST(site.queryOutcome(2, "visit-1", 3).Outcome ==
             CallOutcome::Unknown);
  BOOST_TEST(site.runs("visit-1") == 0);
  BOOST_TEST(firstOutcome != CallOutcome::Done);
}

// The host is paused after its intent is stored and before it receives the
// reply. The caller retries at another host, and later the first one resumes.
// At most one of the two may send the booking.
BOOST_AUTO_TEST_CASE(paused_between_intent_and_send_runs_at_most_once) {
  BookingSite site;
  site.loadBucketAt(0, "visit-1");
  site.Cluster.Proxies[0]->setMode("silence");
  auto first = std::async(std::launch::async,
                          [&site] { return site.book(0, "visit-1", 1); });
  site.waitForLedgerEntry("visit-1");
  site.Cluster.Daemons[0]->Process->pause();
  site.Cluster.Proxies[0]->setMode("pass");
  const DeskCallAnswer second = site.book(1, "visit-1", 2);
  const int runsBefore = site.runs("visit-1");
  site.Cluster.Daemons[0]->Process->resume();
  const DeskCallAnswer late = first.get();
  BOOST_TEST(second.Outcome != CallOutcome::NotRun);
  BOOST_TEST(runsBefore <= 1);
  BOOST_TEST(site.runs("visit-1") <= 1);
  if (late.Outcome == CallOutcome::NotRun)
    BOOST_TEST(site.runs("visit-1") == 0);
  if (late.Outcome == CallOutcome::Done)
    BOOST_TEST(site.runs("visit-1") == 1);
}

static const int LostReplyRows[] = {1, 2, 3};

// The platform stores the intent, and its reply is lost. If the daemon took
// this for a failure, the booking would be refused although its key is used up;
// if it took it for a success when it is not, two hosts would send it.
BOOST_DATA_TEST_CASE(lost_replies_of_the_ledger_leave_one_run,
                     data::make(LostReplyRows), count) {
  const BookingSite site(2);
  site.Cluster.setPlatformFaults(
      "{\"lose_prefix\":\"ledger/\",\"lose_replies\":" + std::to_string(count) +
      "}");
  BOOST_TEST(site.book(0, "visit-1", 1).Outcome == CallOutcome::Done);
  BOOST_TEST(site.runs("visit-1") == 1);
  site.waitUntilDone(1, "visit-1", 2);
  BOOST_TEST(site.runs("visit-1") == 1);
}

struct DeskFaultRow {
  const char *Name;
  const char *Faults;
  std::size_t Desks;
  CallOutcome FirstOutcome;
  CallOutcome RetryOutcome;
  int Runs;
};

static std::ostream &operator<<(std::ostream &out, const DeskFaultRow &row) {
  return out << row.Name;
}

static const DeskFaultRow DeskFaultRows[] = {
    {"response lost", "{\"lose_replies\":1}", 2, CallOutcome::Unknown,
     CallOutcome::Unknown, 1},
    {"response with another id", "{\"cross_replies\":1}", 2,
     CallOutcome::Unknown, CallOutcome::Unknown, 1},
    {"response after the daemon's time limit", "{\"delay_ms\":5500}", 2,
     CallOutcome::Unknown, CallOutcome::Unknown, 1},
    {"rejected by one replica", "{\"reject\":1}", 1, CallOutcome::Done,
     CallOutcome::Done, 1},
    {"rejected by all replicas", "{\"reject\":9}", 2, CallOutcome::NotRun,
     CallOutcome::NotRun, 0},
};

// The desk runs the dispatch and its response is lost, late, or carries another
// call's id, so the outcome is unknown. Or the desk rejects the call; then
// another replica may run it.
BOOST_DATA_TEST_CASE(desk_faults_run_the_call_at_most_once,
                     data::make(DeskFaultRows), row) {
  const BookingSite site(2);
  site.setDeskFaults(row.Faults, row.Desks);
  BOOST_TEST(site.book(0, "dispatch-1", 1).Outcome == row.FirstOutcome);
  if (row.FirstOutcome == CallOutcome::Done)
    site.waitUntilDone(1, "dispatch-1", 2);
  BOOST_TEST(site.book(1, "dispatch-1", 2).Outcome == row.RetryOutcome);
  BOOST_TEST(site.queryOutcome(0, "dispatch-1", 2).Outcome == row.RetryOutcome);
  BOOST_TEST(site.runs("dispatch-1") == row.Runs);
}

// Desks run a lookup and their responses are lost. A caller that is told that
// it did not run, by the status, need not be right.
BOOST_AUTO_TEST_CASE(lost_lookups_are_not_answered_as_not_run) {
  const BookingSite site(2);
  site.setDeskFaults("{\"lose_replies\":9}");
  const HttpReply lost = callDeskAt(site.entry(0), "lookup", "", 1);
  BOOST_TEST(lost.Status == 504);
  BOOST_TEST(parseDeskCall(lost).Outcome == CallOutcome::Unknown);
}

// A middlebox drops the state of open connections to a desk. A dispatch written
// to one of them would be lost, and the daemon could not distinguish it from
// one that ran.
BOOST_AUTO_TEST_CASE(silent_connections_to_desks_carry_no_call) {
  Deployment cluster;
  TestUpstream &desk = cluster.addDesk("zone-a");
  const std::string direct = desk.Address;
  cluster.list(desk, "gone");
  TestProxy &proxy = cluster.addProxy(direct);
  desk.Address = proxy.Address;
  cluster.list(desk, "live");
  cluster.addDaemon("zone-a");
  cluster.roll(standardBundle(1, SingleVersionToml));
  cluster.waitReady();
  for (int n = 0; n < 3; ++n) {
    HttpCall call;
    call.Method = "POST";
    call.Path = "/v1/desk/booking";
    call.Body = "{}";
    // Shorter than the time after which the daemon closes a silent connection.
    call.Headers = {{"X-Team", "crew"},
                    {"X-Deadline-Ms", "4000"},
                    {"Idempotency-Key", "dispatch-" + std::to_string(n)}};
    const HttpReply reply = sendOnce(cluster.Daemons[0]->Address, call);
    BOOST_TEST(parseDeskCall(reply).Outcome == CallOutcome::Done);
    proxy.setMode("freeze");
  }
}

// The object API is down. A call with the caller's own key cannot be run safely
// and is refused at once; only a first attempt is reported as not run. Calls
// with tickets still run, also through another daemon.
BOOST_AUTO_TEST_CASE(tickets_run_in_an_outage_of_the_object_api) {
  const BookingSite site;
  site.waitForPeerLinks();
  const std::string ticket = site.requestTicket(0);
  site.Cluster.setPlatformFaults("{\"down\":true}");
  const DeskCallAnswer refused = site.book(0, "visit-1", 1);
  BOOST_TEST(refused.Outcome == CallOutcome::NotRun);
  BOOST_TEST(refused.RetryAfter.count() > 0);
  BOOST_TEST(site.book(1, "visit-1", 2).Outcome == CallOutcome::Unknown);
  BOOST_TEST(site.queryOutcome(1, "visit-1", 2).Outcome ==
             CallOutcome::Unknown);

  BOOST_TEST(site.book(0, ticket, 1).Outcome == CallOutcome::Done);
  site.waitUntilDone(1, ticket, 2);
  site.waitUntilDone(2, ticket, 3);
  BOOST_TEST(site.runs(ticket) == 1);
  const std::string fresh = site.requestTicket(1);
  BOOST_TEST(site.book(0, fresh, 1).Outcome == CallOutcome::Done);
  BOOST_TEST(site.runs(fresh) == 1);

  site.Cluster.setPlatformFaults("{\"down\":false}");
  BOOST_TEST(site.book(2, "visit-1", 3).Outcome == CallOutcome::Done);
  BOOST_TEST(site.runs("visit-1") == 1);
}

// The daemon that issued the ticket is killed, and later a new one has its
// address. Only the old one had a record of whether the call ran.
BOOST_AUTO_TEST_CASE(tickets_of_a_killed_daemon_are_unknown) {
  BookingSite site;
  const std::string used = site.requestTicket(0);
  BOOST_TEST(site.book(1, used, 1).Outcome == CallOutcome::Done);
  site.Cluster.Daemons[0]->Process->kill();
  BOOST_TEST(site.book(1, used, 2).Outcome == CallOutcome::Unknown);
  site.Cluster.restart(*site.Cluster.Daemons[0]);
  site.Cluster.waitReady();
  BOOST_TEST(site.book(1, used, 3).Outcome == CallOutcome::Unknown);
  BOOST_TEST(site.book(0, used, 4).Outcome == CallOutcome::Unknown);
  BOOST_TEST(site.queryOutcome(2, used, 4).Outcome == CallOutcome::Unknown);
  BOOST_TEST(site.runs(used) == 1);
}

// A caller gives up on a booking and queries its outcome. The response "not
// run" must stay true when the lost attempt arrives later.
BOOST_AUTO_TEST_CASE(a_query_that_reports_not_run_blocks_late_attempts) {
  const BookingSite site;
  for (const std::string &key :
       {std::string("visit-1"), site.requestTicket(0)}) {
    BOOST_TEST(site.queryOutcome(0, key, 2).Outcome == CallOutcome::NotRun);
    BOOST_TEST(site.book(1, key, 1).Outcome == CallOutcome::NotRun);
    BOOST_TEST(site.book(2, key, 2).Outcome == CallOutcome::NotRun);
    BOOST_TEST(site.runs(key) == 0);
    BOOST_TEST(site.book(1, key, 3).Outcome == CallOutcome::Done);
    site.waitUntilDone(2, key, 4);
    BOOST_TEST(site.runs(key) == 1);
  }
}

// A host is stopping while a booking runs there, and the caller retries it. The
// rejection must not report the booking as not run.
BOOST_AUTO_TEST_CASE(
    a_retry_rejected_by_a_stopping_host_is_not_reported_not_run) {
  const BookingSite site;
  site.setDeskFaults("{\"delay_ms\":3000}");
  auto first = std::async(std::launch::async,
                          [&site] { return site.book(0, "visit-1", 1); });
  waitUntil("the booking to run", [&] { return site.runs("visit-1") == 1; });
  site.Cluster.Daemons[0]->Process->terminate();
  waitUntil("the host to be stopping", [&site] {
    const std::string ready = Deployment::get(site.entry(0), "/readyz");
    return ready.find("not ready") != std::string::npos;
  });
  BOOST_TEST(site.book(0, "visit-1", 2).Outcome == CallOutcome::Unknown);
  BOOST_TEST(site.book(0, "visit-2", 1).Outcome == CallOutcome::NotRun);
  BOOST_TEST(site.queryOutcome(0, "visit-1", 2).Outcome ==
             CallOutcome::Unknown);
  BOOST_TEST(first.get().Outcome == CallOutcome::Done);
  BOOST_TEST(site.runs("visit-1") == 1);
  BOOST_TEST(site.runs("visit-2") == 0);
}

struct RefusalRow {
  const char *Name;
  const char *Operation;
  HttpHeader Extra;
  std::uint64_t Attempt;
  const char *Outcome;
};

static const RefusalRow RefusalRows[] = {
    {"first, unknown route",
     "no-such-operation",
     {"X-Team", "crew"},
     1,
     "not_run"},
    {"retry, unknown route",
     "no-such-operation",
     {"X-Team", "crew"},
     2,
     "unknown"},
    {"first, unknown team",
     "booking",
     {"X-Team", "no-such-team"},
     1,
     "not_run"},
    {"retry, unknown team",
     "booking",
     {"X-Team", "no-such-team"},
     2,
     "unknown"},
    {"retry, bad deadline", "booking", {"X-Deadline-Ms", "soon"}, 2, "unknown"},
};

// After the first attempt has run, the route is removed from the bundle, or the
// retry is malformed. The retry is rejected without a look-up in the ledger, so
// the rejection must not report "not run".
BOOST_AUTO_TEST_CASE(
    rejections_of_bad_retries_do_not_report_on_the_first_attempt) {
  Deployment cluster;
  cluster.addDaemon("zone-a");
  cluster.roll(standardBundle(1, SingleVersionToml));
  cluster.waitReady();
  for (const RefusalRow &row : RefusalRows) {
    HttpCall call;
    call.Method = "POST";
    call.Path = std::string("/v1/desk/") + row.Operation;
    call.Body = "{}";
    call.Headers = {row.Extra,
                    {"Idempotency-Key", "visit-1"},
                    {"X-Attempt", std::to_string(row.Attempt)}};
    const HttpReply reply = sendOnce(cluster.Daemons[0]->Address, call);
    const auto document = nlohmann::json::parse(reply.Body);
    BOOST_TEST(document["outcome"] == row.Outcome, row.Name);
  }
}

BOOST_AUTO_TEST_SUITE_END()
