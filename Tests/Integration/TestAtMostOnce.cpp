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

/// Two desks and three daemons, each daemon behind a proxy of its own on its
/// way to the platform.
struct BookingSite {
  explicit BookingSite(int daemons = 3) {
    Whole.addDesk("zone-a");
    Whole.addDesk("zone-b");
    for (int n = 0; n < daemons; ++n) {
      TestProxy &proxy = Whole.addProxy(Whole.platform());
      Whole.addDaemon(n % 2 == 0 ? "zone-a" : "zone-b", proxy.Address);
    }
    Whole.roll(standardBundle(1, OnlyVersionOne));
    Whole.waitReady();
  }

  const std::string &entry(std::size_t n) const {
    return Whole.Daemons.at(n)->Address;
  }
  DeskCallAnswer book(std::size_t n, const std::string &key,
                      std::uint64_t attempt) const {
    const HttpReply reply = callDeskAt(entry(n), "booking", key, attempt);
    DeskCallAnswer answer = parseDeskCall(reply);
    // Which of the ways to this answer was taken, for a test that fails.
    if (answer.Outcome != CallOutcome::Done)
      BOOST_TEST_MESSAGE(key << " at daemon " << n << ": " << reply.Status
                             << " " << reply.Body);
    return answer;
  }
  DeskCallAnswer ask(std::size_t n, const std::string &key,
                     std::uint64_t attempt) const {
    HttpCall call;
    call.Path = "/v1/calls/" + key;
    call.Headers = {{"X-Team", "crew"}, {"X-Attempt", std::to_string(attempt)}};
    return parseCallQuery(sendOnce(entry(n), call));
  }
  /// Each daemon has a link to each other one, so that it reaches the owners of
  /// tickets.
  void waitForLinks() const {
    const std::string wanted =
        "sorrelbay_peer_links " + std::to_string(Whole.Daemons.size() - 1);
    for (std::size_t n = 0; n < Whole.Daemons.size(); ++n)
      waitUntil("daemon " + std::to_string(n) + " has its links", [&] {
        return Deployment::get(entry(n), "/metrics").find(wanted) !=
               std::string::npos;
      });
  }
  /// The result is recorded after its answer; until then a repeat hears
  /// "unknown", but never "not run".
  void waitForDone(std::size_t n, const std::string &key,
                   std::uint64_t attempt) const {
    waitUntil(key + " is done for all", [&] {
      const CallOutcome outcome = book(n, key, attempt).Outcome;
      BOOST_REQUIRE(outcome != CallOutcome::NotRun);
      return outcome == CallOutcome::Done;
    });
    BOOST_TEST(ask(n, key, attempt).Outcome == CallOutcome::Done);
  }
  std::string takeTicket(std::size_t n) const {
    const auto lookup = nlohmann::json::parse(
        Deployment::get(entry(n), "/v1/addresses?tickets=1"));
    return lookup["tickets"][0]["idempotency_key"];
  }
  /// How often the desks have run the key.
  int runs(const std::string &key) const {
    int out = 0;
    for (const auto &desk : Whole.Upstreams)
      for (const auto &run :
           nlohmann::json::parse(Deployment::get(desk->Address, "/admin/runs")))
        out += run["key"] == key ? 1 : 0;
    return out;
  }
  void setDeskFaults(const std::string &json, std::size_t desks = 2) const {
    for (std::size_t n = 0; n < desks; ++n)
      Deployment::post(Whole.Upstreams[n]->Address, "/admin/faults", json);
  }
  /// Has the daemon run a call of the same bucket, so that it knows the bucket
  /// and begins the next call with the write of the intent.
  void showBucketTo(std::size_t n, const std::string &key) const {
    const CallId wanted{TeamId("crew"), IdempotencyKey(key)};
    CallId other = wanted;
    for (int it = 0; other == wanted || bucketOf(other) != bucketOf(wanted);)
      other.Key = IdempotencyKey("other-" + std::to_string(it++));
    book(n, other.Key.text(), 1);
    waitUntil("the other call's result is recorded", [&] {
      return ask(n, other.Key.text(), 1).Outcome == CallOutcome::Done;
    });
  }
  /// Waits until the ledger holds the key, whoever has been told of it.
  void waitForEntry(const std::string &key) const {
    const ObjectApi objects = connectObjectApi(Whole.platform(), seconds(5));
    const CallId call{TeamId("crew"), IdempotencyKey(key)};
    waitUntil("an entry of " + key, [&] {
      const auto object = objects.Read(bucketObjectName(bucketOf(call)));
      return object && decodeBucket(object->Body).entries().count(call) != 0;
    });
  }

  Deployment Whole;
};

} // namespace sorrelbay

BOOST_AUTO_TEST_SUITE(AtMostOnce)

// An impatient caller's library sends a booking to every address that it was
// given. Without one order for all hosts, several crews come to the same door.
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
    site.waitForDone(2, key, 10);
  }
}

// The platform's reply to the intent gets lost between the two ends, and the
// daemon dies while it waits for it. Nobody can say whether it had sent the
// booking, so nobody may run it or call it not run; also not the new daemon
// that gets the old one's address.
BOOST_AUTO_TEST_CASE(killed_between_intent_and_send_answers_unknown) {
  BookingSite site;
  site.showBucketTo(0, "visit-1");
  site.Whole.Proxies[0]->setMode("silence");
  auto first = std::async(std::launch::async, [&site] {
    try {
      return site.book(0, "visit-1", 1).Outcome;
    } catch (const HttpOutcomeUnknown &) {
      return CallOutcome::Unknown;
    }
  });
  site.waitForEntry("visit-1");
  site.Whole.Daemons[0]->Process->kill();
  const CallOutcome told = first.get();
  site.Whole.Proxies[0]->setMode("pass");
  BOOST_TEST(site.book(1, "visit-1", 2).Outcome == CallOutcome::Unknown);
  site.Whole.restart(*site.Whole.Daemons[0]);
  site.Whole.waitReady();
  BOOST_TEST(site.book(0, "visit-1", 3).Outcome == CallOutcome::Unknown);
  BOOST_TEST(site.ask(2, "visit-1", 3).Outcome == CallOutcome::Unknown);
  BOOST_TEST(site.runs("visit-1") == 0);
  BOOST_TEST(told != CallOutcome::Done);
}

// The host is suspended after its intent has reached the platform and before
// it has heard so. The caller turns to another host; later the first one goes
// on where it stood. Its booking and the repeat must not both go out.
BOOST_AUTO_TEST_CASE(paused_between_intent_and_send_runs_once_at_most) {
  BookingSite site;
  site.showBucketTo(0, "visit-1");
  site.Whole.Proxies[0]->setMode("silence");
  auto first = std::async(std::launch::async,
                          [&site] { return site.book(0, "visit-1", 1); });
  site.waitForEntry("visit-1");
  site.Whole.Daemons[0]->Process->pause();
  site.Whole.Proxies[0]->setMode("pass");
  const DeskCallAnswer second = site.book(1, "visit-1", 2);
  const int runsBefore = site.runs("visit-1");
  site.Whole.Daemons[0]->Process->resume();
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

// The platform takes the intent and its reply is lost. Taken for a failure the
// booking would be refused although its key is used up; taken for a success
// that it isn't, two hosts would send it.
BOOST_DATA_TEST_CASE(lost_replies_of_the_ledger_do_no_harm,
                     data::make(LostReplyRows), count) {
  const BookingSite site(2);
  site.Whole.setPlatformFaults(
      "{\"lose_prefix\":\"ledger/\",\"lose_replies\":" + std::to_string(count) +
      "}");
  BOOST_TEST(site.book(0, "visit-1", 1).Outcome == CallOutcome::Done);
  BOOST_TEST(site.runs("visit-1") == 1);
  site.waitForDone(1, "visit-1", 2);
  BOOST_TEST(site.runs("visit-1") == 1);
}

struct DeskFaultRow {
  const char *Name;
  const char *Faults;
  std::size_t Desks;
  CallOutcome First;
  CallOutcome Repeat;
  int Runs;
};

static std::ostream &operator<<(std::ostream &out, const DeskFaultRow &row) {
  return out << row.Name;
}

static const DeskFaultRow DeskFaultRows[] = {
    {"answer lost", "{\"lose_replies\":1}", 2, CallOutcome::Unknown,
     CallOutcome::Unknown, 1},
    {"answer crossed", "{\"cross_replies\":1}", 2, CallOutcome::Unknown,
     CallOutcome::Unknown, 1},
    {"answer later than the daemon waits", "{\"delay_ms\":5500}", 2,
     CallOutcome::Unknown, CallOutcome::Unknown, 1},
    {"rejected by one replica", "{\"reject\":1}", 1, CallOutcome::Done,
     CallOutcome::Done, 1},
    {"rejected by all replicas", "{\"reject\":9}", 2, CallOutcome::NotRun,
     CallOutcome::NotRun, 0},
};

// The desk has the dispatch and its answer never comes, comes too late, or
// belongs to another call: the van may be on its way. Or the desk says that it
// didn't take it: then another replica may.
BOOST_DATA_TEST_CASE(desk_faults_run_the_call_once_at_most,
                     data::make(DeskFaultRows), row) {
  const BookingSite site(2);
  site.setDeskFaults(row.Faults, row.Desks);
  BOOST_TEST(site.book(0, "dispatch-1", 1).Outcome == row.First);
  if (row.First == CallOutcome::Done)
    site.waitForDone(1, "dispatch-1", 2);
  BOOST_TEST(site.book(1, "dispatch-1", 2).Outcome == row.Repeat);
  BOOST_TEST(site.ask(0, "dispatch-1", 2).Outcome == row.Repeat);
  BOOST_TEST(site.runs("dispatch-1") == row.Runs);
}

// Something between daemon and desk forgets the connections that are open. A
// dispatch written to one of them would be lost without a trace and could not
// be told from one that ran.
BOOST_AUTO_TEST_CASE(silent_connections_to_desks_hold_no_call) {
  Deployment whole;
  TestUpstream &desk = whole.addDesk("zone-a");
  const std::string direct = desk.Address;
  whole.list(desk, "gone");
  TestProxy &proxy = whole.addProxy(direct);
  desk.Address = proxy.Address;
  whole.list(desk, "live");
  whole.addDaemon("zone-a");
  whole.roll(standardBundle(1, OnlyVersionOne));
  whole.waitReady();
  for (int n = 0; n < 3; ++n) {
    HttpCall call;
    call.Method = "POST";
    call.Path = "/v1/desk/booking";
    call.Body = "{}";
    // Before the daemon itself gives a silent connection up.
    call.Headers = {{"X-Team", "crew"},
                    {"X-Deadline-Ms", "4000"},
                    {"Idempotency-Key", "dispatch-" + std::to_string(n)}};
    const HttpReply reply = sendOnce(whole.Daemons[0]->Address, call);
    BOOST_TEST(parseDeskCall(reply).Outcome == CallOutcome::Done);
    proxy.setMode("freeze");
  }
}

// The platform's store is down for the night. A caller's own key can't be run
// safely and is refused at once, truthfully: only a first attempt is called
// not run. Dispatches go on with tickets, also through another daemon.
BOOST_AUTO_TEST_CASE(tickets_run_in_an_outage_of_the_object_api) {
  const BookingSite site;
  site.waitForLinks();
  const std::string ticket = site.takeTicket(0);
  site.Whole.setPlatformFaults("{\"down\":true}");
  const DeskCallAnswer refused = site.book(0, "visit-1", 1);
  BOOST_TEST(refused.Outcome == CallOutcome::NotRun);
  BOOST_TEST(refused.RetryAfter.count() > 0);
  BOOST_TEST(site.book(1, "visit-1", 2).Outcome == CallOutcome::Unknown);
  BOOST_TEST(site.ask(1, "visit-1", 2).Outcome == CallOutcome::Unknown);

  BOOST_TEST(site.book(0, ticket, 1).Outcome == CallOutcome::Done);
  site.waitForDone(1, ticket, 2);
  site.waitForDone(2, ticket, 3);
  BOOST_TEST(site.runs(ticket) == 1);
  const std::string fresh = site.takeTicket(1);
  BOOST_TEST(site.book(0, fresh, 1).Outcome == CallOutcome::Done);
  BOOST_TEST(site.runs(fresh) == 1);

  site.Whole.setPlatformFaults("{\"down\":false}");
  BOOST_TEST(site.book(2, "visit-1", 3).Outcome == CallOutcome::Done);
  BOOST_TEST(site.runs("visit-1") == 1);
}

// The daemon that gave out the ticket is gone, and later a new one has its
// address. Whether the dispatch ran died with the old one.
BOOST_AUTO_TEST_CASE(tickets_of_a_dead_daemon_answer_unknown) {
  BookingSite site;
  const std::string used = site.takeTicket(0);
  BOOST_TEST(site.book(1, used, 1).Outcome == CallOutcome::Done);
  site.Whole.Daemons[0]->Process->kill();
  BOOST_TEST(site.book(1, used, 2).Outcome == CallOutcome::Unknown);
  site.Whole.restart(*site.Whole.Daemons[0]);
  site.Whole.waitReady();
  BOOST_TEST(site.book(1, used, 3).Outcome == CallOutcome::Unknown);
  BOOST_TEST(site.book(0, used, 4).Outcome == CallOutcome::Unknown);
  BOOST_TEST(site.ask(2, used, 4).Outcome == CallOutcome::Unknown);
  BOOST_TEST(site.runs(used) == 1);
}

// A caller gives a booking up and asks what became of it. The answer "not run"
// must stay true when the lost attempt arrives after all.
BOOST_AUTO_TEST_CASE(a_query_that_says_not_run_keeps_late_attempts_out) {
  const BookingSite site;
  for (const std::string &key : {std::string("visit-1"), site.takeTicket(0)}) {
    BOOST_TEST(site.ask(0, key, 2).Outcome == CallOutcome::NotRun);
    BOOST_TEST(site.book(1, key, 1).Outcome == CallOutcome::NotRun);
    BOOST_TEST(site.book(2, key, 2).Outcome == CallOutcome::NotRun);
    BOOST_TEST(site.runs(key) == 0);
    BOOST_TEST(site.book(1, key, 3).Outcome == CallOutcome::Done);
    site.waitForDone(2, key, 4);
    BOOST_TEST(site.runs(key) == 1);
  }
}

// A host is being stopped while a booking runs there, and the impatient caller
// repeats it. The refusal must not say that the booking was not run.
BOOST_AUTO_TEST_CASE(a_repeat_shed_by_a_stopping_host_is_not_called_not_run) {
  const BookingSite site;
  site.setDeskFaults("{\"delay_ms\":3000}");
  auto first = std::async(std::launch::async,
                          [&site] { return site.book(0, "visit-1", 1); });
  waitUntil("the booking runs", [&] { return site.runs("visit-1") == 1; });
  site.Whole.Daemons[0]->Process->terminate();
  waitUntil("the host is stopping", [&site] {
    const std::string ready = Deployment::get(site.entry(0), "/readyz");
    return ready.find("not ready") != std::string::npos;
  });
  BOOST_TEST(site.book(0, "visit-1", 2).Outcome == CallOutcome::Unknown);
  BOOST_TEST(site.book(0, "visit-2", 1).Outcome == CallOutcome::NotRun);
  BOOST_TEST(site.ask(0, "visit-1", 2).Outcome == CallOutcome::Unknown);
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
    {"first, unknown route", "unheard", {"X-Team", "crew"}, 1, "not_run"},
    {"repeat, unknown route", "unheard", {"X-Team", "crew"}, 2, "unknown"},
    {"first, unknown team", "booking", {"X-Team", "nobody"}, 1, "not_run"},
    {"repeat, unknown team", "booking", {"X-Team", "nobody"}, 2, "unknown"},
    {"repeat, bad deadline",
     "booking",
     {"X-Deadline-Ms", "soon"},
     2,
     "unknown"},
};

// Between the first attempt, which ran, and its repeat the route was taken out
// of the bundle, or the repeat is malformed. It is refused without a look into
// the ledger, so the refusal may not say "not run".
BOOST_AUTO_TEST_CASE(refusals_of_bad_repeats_do_not_speak_of_the_first) {
  Deployment whole;
  whole.addDaemon("zone-a");
  whole.roll(standardBundle(1, OnlyVersionOne));
  whole.waitReady();
  for (const RefusalRow &row : RefusalRows) {
    HttpCall call;
    call.Method = "POST";
    call.Path = std::string("/v1/desk/") + row.Operation;
    call.Body = "{}";
    call.Headers = {row.Extra,
                    {"Idempotency-Key", "visit-1"},
                    {"X-Attempt", std::to_string(row.Attempt)}};
    const HttpReply reply = sendOnce(whole.Daemons[0]->Address, call);
    const auto document = nlohmann::json::parse(reply.Body);
    BOOST_TEST(document["outcome"] == row.Outcome, row.Name);
  }
}

BOOST_AUTO_TEST_SUITE_END()
