#include "GatewayFixture.h"
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;

BOOST_AUTO_TEST_SUITE(gateway)

BOOST_AUTO_TEST_CASE(a_call_goes_to_its_upstream_with_its_team) {
  GatewayFixture world;
  BOOST_TEST(world.callUntil(200, "key").Body == "ok for team");
  BOOST_TEST(world.call("other").Status == 401);
  BOOST_TEST(world.call("key", "/b/1").Status == 404);
}

BOOST_AUTO_TEST_CASE(a_new_plan_comes_into_force_and_an_old_one_never_again) {
  GatewayFixture world;
  world.callUntil(200, "key");
  world.Store.put(ResourceKind::Plan, "main", "3;second");
  world.callUntil(200, "second");
  BOOST_TEST(world.call("key").Status == 401);
  world.Store.put(ResourceKind::Plan, "main", "2;key");
  world.Store.put(ResourceKind::Plan, "other", "what nobody can read");
  world.Store.put(ResourceKind::Plan, "main", "bytes");
  world.Store.forgetHistory();
  world.Store.put(ResourceKind::Plan, "main", "4;second");
  world.callUntil(200, "second");
  BOOST_TEST(world.call("key").Status == 401);
}

// A key is taken away while a host can't reach the store. It would serve the
// key's holder for ever, unless it stops by itself when its view is too old.
BOOST_AUTO_TEST_CASE(keys_are_refused_when_the_view_of_them_is_too_old) {
  GatewayFixture world(milliseconds(1500));
  world.callUntil(200, "key");
  world.Store.setUnreachable(true);
  world.Store.put(ResourceKind::Plan, "main", "2;another");
  const HttpReply reply = world.callUntil(503, "key");
  BOOST_TEST(hasHeader(reply.Headers, "Retry-After"));
  world.Store.setUnreachable(false);
  world.callUntil(200, "another");
  BOOST_TEST(world.call("key").Status == 401);
}

BOOST_AUTO_TEST_CASE(a_leaving_upstream_gets_nothing_and_the_call_is_refused) {
  GatewayFixture world;
  world.callUntil(200, "key");
  world.addReplica("r1", true);
  const HttpReply reply = world.callUntil(503, "key");
  BOOST_TEST(hasHeader(reply.Headers, "Retry-After"));
  const int before = world.UpstreamCalls;
  world.call("key");
  BOOST_TEST(world.UpstreamCalls == before);
  world.addReplica("r2");
  world.callUntil(200, "key");
}

// A zone is about to lose its power, and its operator has calls kept away.
BOOST_AUTO_TEST_CASE(an_evacuated_zone_gets_no_calls_until_it_is_taken_back) {
  GatewayFixture world;
  world.callUntil(200, "key");
  world.Store.put(ResourceKind::Evacuations, "another", "{}");
  world.waitUntilSeen(ResourceKind::Evacuations);
  BOOST_TEST(world.call("key").Status == 200);
  world.Store.put(ResourceKind::Evacuations, "z", "{}");
  world.callUntil(503, "key");
  const int before = world.UpstreamCalls;
  world.call("key");
  BOOST_TEST(world.UpstreamCalls == before);
  world.Store.remove(ResourceKind::Evacuations, "z");
  world.callUntil(200, "key");
}

// A desk's answer is lost on its way. The booking may have been made: told
// "not run", its caller would book again.
BOOST_AUTO_TEST_CASE(a_lost_answer_is_not_called_not_run) {
  GatewayFixture world;
  world.callUntil(200, "key");
  world.addReplica("r2");
  world.Upstream = [](const std::shared_ptr<HttpExchange> &it) { it->abort(); };
  const int before = world.UpstreamCalls;
  BOOST_TEST(world.call("key").Status == 502);
  BOOST_TEST(world.UpstreamCalls == before + 1);
}

// Two answers cross on a connection to an upstream: the answer to an earlier
// call comes first. Passed on, a caller would get another caller's booking.
BOOST_AUTO_TEST_CASE(an_answer_to_another_call_is_never_passed_on) {
  GatewayFixture world;
  world.callUntil(200, "key");
  world.Upstream = [](const std::shared_ptr<HttpExchange> &it) {
    it->respond(200, {{"X-Call", "somebody else's"}}, "not yours");
  };
  BOOST_TEST(world.call("key").Status >= 500);
}

BOOST_AUTO_TEST_CASE(a_call_that_did_not_run_is_refused_with_a_promise) {
  GatewayFixture world;
  world.callUntil(200, "key");
  world.Upstream = [](const std::shared_ptr<HttpExchange> &it) {
    it->respond(503,
                {{"X-Call", headerValue(it->request().Headers, "X-Call")},
                 {"X-Not-Run", "1"}},
                "");
  };
  const HttpReply reply = world.call("key");
  BOOST_TEST(reply.Status == 503);
  BOOST_TEST(hasHeader(reply.Headers, "Retry-After"));
}

// A replica is reclaimed in the middle of a chat, and in the middle of an
// event. Its user would see half an answer, or the same words twice.
BOOST_AUTO_TEST_CASE(a_resumable_stream_goes_on_at_another_upstream) {
  GatewayFixture world;
  world.addReplica("r2");
  world.waitUntilSeen(ResourceKind::Replicas);
  world.callUntil(200, "key");
  world.Upstream = [](const std::shared_ptr<HttpExchange> &it) {
    const HttpHeaders id = {
        {"X-Call", headerValue(it->request().Headers, "X-Call")}};
    it->begin(200, id, std::nullopt);
    if (headerValue(it->request().Headers, "X-After") == "2") {
      it->write("id: 3\ndata: c\n\n");
      it->end();
      return;
    }
    it->write("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
    it->onDrained([it] { it->abort(); });
  };
  const HttpReply reply = world.callUntil(200, "key", "/s/1");
  BOOST_TEST(reply.Body ==
             "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
}

namespace {

/// Calls until the move's status says so; returns how many calls went to the
/// new version meanwhile.
int moveUntil(GatewayFixture &world, const std::string &status) {
  int callsToNew = 0;
  for (int n = 0; n < 4000; ++n) {
    if (world.Store.statusOf(ResourceKind::Moves, "desk") == status)
      return callsToNew;
    if (world.call("key").Body.find("new") != std::string::npos)
      ++callsToNew;
    std::this_thread::sleep_for(milliseconds(2));
  }
  BOOST_REQUIRE_MESSAGE(false, "the move never was " << status);
  return callsToNew;
}

/// Answers with the replica's name; those of the new version fail as asked.
GatewayFixture::Answer versionedAnswer(bool isNewBad) {
  return [isNewBad](const std::shared_ptr<HttpExchange> &it) {
    const std::string replica = headerValue(it->request().Headers, "X-Replica");
    const bool isBad = isNewBad && replica.substr(0, 3) == "new";
    it->respond(isBad ? 500 : 200,
                {{"X-Call", headerValue(it->request().Headers, "X-Call")}},
                replica);
  };
}

} // namespace

// Operators order a version that fails every call. Its replicas register like
// any others, so without the order's being read they get half of all calls.
BOOST_AUTO_TEST_CASE(a_bad_version_is_taken_back_and_gets_few_calls) {
  GatewayFixture world;
  world.Upstream = versionedAnswer(true);
  world.callUntil(200, "key");
  world.Store.put(ResourceKind::Moves, "desk", "v2");
  world.addReplica("new1");
  const int callsToNew = moveUntil(world, "rolled_back");
  BOOST_TEST(callsToNew < 60);
  for (int n = 0; n < 50; ++n)
    BOOST_TEST(world.call("key").Body == "r1");
}

BOOST_AUTO_TEST_CASE(a_good_version_gets_all_calls_in_time) {
  GatewayFixture world;
  world.Upstream = versionedAnswer(false);
  world.callUntil(200, "key");
  world.Store.put(ResourceKind::Moves, "desk", "v2");
  world.addReplica("new1");
  moveUntil(world, "completed");
  for (int n = 0; n < 50; ++n)
    BOOST_TEST(world.call("key").Body == "new1");
}

// A desk takes four connections from all hosts and resets those beyond. A call
// on one of these may have run, and its caller is told neither.
BOOST_AUTO_TEST_CASE(no_more_connections_are_opened_than_an_upstream_takes) {
  GatewayFixture world;
  world.callUntil(200, "key");
  std::vector<std::shared_ptr<HttpExchange>> open;
  world.Upstream = [&](std::shared_ptr<HttpExchange> it) {
    open.push_back(std::move(it));
  };
  std::vector<std::thread> callers;
  callers.reserve(4);
  for (int n = 0; n < 4; ++n)
    callers.emplace_back([&] { world.call("key"); });
  while (world.UpstreamCalls < 5)
    std::this_thread::sleep_for(milliseconds(5));
  const HttpReply reply = world.call("key");
  BOOST_TEST(reply.Status == 503);
  BOOST_TEST(hasHeader(reply.Headers, "Retry-After"));
  BOOST_TEST(world.UpstreamCalls == 5);
  for (std::thread &it : callers)
    it.join();
  world.onUpstream([&] { open.clear(); });
}

// A host is told to stop; callers that still have its address go on sending
// long calls, which would be cut with the process (the operators' incident
// inc-df1e).
BOOST_AUTO_TEST_CASE(a_stopping_host_refuses_what_it_can_not_finish) {
  GatewayFixture world(seconds(60), seconds(6));
  world.callUntil(200, "key");
  // Keeps one caller on the host, so that it doesn't end at once.
  std::shared_ptr<HttpExchange> open;
  world.Upstream = [&open](std::shared_ptr<HttpExchange> it) {
    if (!open)
      open = std::move(it);
    else
      it->respond(
          200, {{"X-Call", headerValue(it->request().Headers, "X-Call")}}, "");
  };
  std::thread caller([&] {
    try {
      world.call("key");
    } catch (const Error &) {
      // The process may end first.
    }
  });
  while (world.UpstreamCalls < 2)
    std::this_thread::sleep_for(milliseconds(5));
  std::thread stopping([&] { world.Served->stop(); });
  const HttpReply reply = world.callUntil(503, "key");
  BOOST_TEST(hasHeader(reply.Headers, "Retry-After"));
  stopping.join();
  world.Served.reset();
  caller.join();
  world.onUpstream([&] { open.reset(); });
}

BOOST_AUTO_TEST_SUITE_END()
