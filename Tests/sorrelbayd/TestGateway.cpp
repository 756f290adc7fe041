#include "GatewayFixture.h"
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;

BOOST_AUTO_TEST_SUITE(gateway)

BOOST_AUTO_TEST_CASE(a_call_goes_to_its_upstream_with_its_team) {
  GatewayFixture fixture;
  BOOST_TEST(fixture.callUntil(200, "key").Body == "ok for team");
  BOOST_TEST(fixture.call("other").Status == 401);
  BOOST_TEST(fixture.call("key", "/b/1").Status == 404);
}

BOOST_AUTO_TEST_CASE(a_new_plan_comes_into_force_and_an_old_one_never_again) {
  GatewayFixture fixture;
  fixture.callUntil(200, "key");
  fixture.Store.put(ResourceKind::Plan, "main", "3;second");
  fixture.callUntil(200, "second");
  BOOST_TEST(fixture.call("key").Status == 401);
  fixture.Store.put(ResourceKind::Plan, "main", "2;key");
  fixture.Store.put(ResourceKind::Plan, "other", "malformed");
  fixture.Store.put(ResourceKind::Plan, "main", "bytes");
  fixture.Store.discardHistory();
  fixture.Store.put(ResourceKind::Plan, "main", "4;second");
  fixture.callUntil(200, "second");
  BOOST_TEST(fixture.call("key").Status == 401);
}

// A key is removed while a host cannot reach the store. The host would accept
// the key indefinitely unless it refuses keys when its view of the plan is too
// old.
BOOST_AUTO_TEST_CASE(keys_are_refused_when_the_view_of_them_is_too_old) {
  GatewayFixture fixture(milliseconds(1500));
  fixture.callUntil(200, "key");
  fixture.Store.setUnreachable(true);
  fixture.Store.put(ResourceKind::Plan, "main", "2;another");
  const HttpReply reply = fixture.callUntil(503, "key");
  BOOST_TEST(hasHeader(reply.Headers, "Retry-After"));
  fixture.Store.setUnreachable(false);
  fixture.callUntil(200, "another");
  BOOST_TEST(fixture.call("key").Status == 401);
}

BOOST_AUTO_TEST_CASE(a_leaving_upstream_gets_no_calls_and_the_call_is_refused) {
  GatewayFixture fixture;
  fixture.callUntil(200, "key");
  fixture.addReplica("r1", true);
  const HttpReply reply = fixture.callUntil(503, "key");
  BOOST_TEST(hasHeader(reply.Headers, "Retry-After"));
  const int before = fixture.UpstreamCalls;
  fixture.call("key");
  BOOST_TEST(fixture.UpstreamCalls == before);
  fixture.addReplica("r2");
  fixture.callUntil(200, "key");
}

// Operators evacuate a zone before it loses its power: calls must stop going
// there.
BOOST_AUTO_TEST_CASE(
    an_evacuated_zone_gets_no_calls_until_its_evacuation_ends) {
  GatewayFixture fixture;
  fixture.callUntil(200, "key");
  fixture.Store.put(ResourceKind::Evacuations, "another", "{}");
  fixture.waitUntilSeen(ResourceKind::Evacuations);
  BOOST_TEST(fixture.call("key").Status == 200);
  fixture.Store.put(ResourceKind::Evacuations, "z", "{}");
  fixture.callUntil(503, "key");
  const int before = fixture.UpstreamCalls;
  fixture.call("key");
  BOOST_TEST(fixture.UpstreamCalls == before);
  fixture.Store.remove(ResourceKind::Evacuations, "z");
  fixture.callUntil(200, "key");
}

// A response is lost after the call may have run. If the call were reported as
// not run, its caller would retry it and make a second booking.
BOOST_AUTO_TEST_CASE(a_lost_response_is_not_reported_as_not_run) {
  GatewayFixture fixture;
  fixture.callUntil(200, "key");
  fixture.addReplica("r2");
  fixture.Upstream = [](const std::shared_ptr<HttpExchange> &it) {
    it->abort();
  };
  const int before = fixture.UpstreamCalls;
  BOOST_TEST(fixture.call("key").Status == 502);
  BOOST_TEST(fixture.UpstreamCalls == before + 1);
}

// The response to an earlier call arrives on an upstream connection. Relayed to
// this call's caller, it would disclose another caller's booking.
BOOST_AUTO_TEST_CASE(an_answer_to_another_call_is_never_passed_on) {
  GatewayFixture fixture;
  fixture.callUntil(200, "key");
  fixture.Upstream = [](const std::shared_ptr<HttpExchange> &it) {
    it->respond(200, {{"X-Call", "another call"}}, "not yours");
  };
  BOOST_TEST(fixture.call("key").Status >= 500);
}

BOOST_AUTO_TEST_CASE(a_call_that_did_not_run_is_refused_with_a_retry_time) {
  GatewayFixture fixture;
  fixture.callUntil(200, "key");
  fixture.Upstream = [](const std::shared_ptr<HttpExchange> &it) {
    it->respond(503,
                {{"X-Call", headerValue(it->request().Headers, "X-Call")},
                 {"X-Not-Run", "1"}},
                "");
  };
  const HttpReply reply = fixture.call("key");
  BOOST_TEST(reply.Status == 503);
  BOOST_TEST(hasHeader(reply.Headers, "Retry-After"));
}

// An upstream names a rate limit and gets calls as before. Calls beyond the
// limit have to be refused with the time of their retry, and go on once the
// upstream no longer names one.
BOOST_AUTO_TEST_CASE(calls_beyond_an_upstreams_rate_limit_are_refused) {
  GatewayFixture fixture;
  fixture.callUntil(200, "key");
  std::atomic<bool> isLimited{true};
  fixture.Upstream = [&](const std::shared_ptr<HttpExchange> &it) {
    HttpHeaders headers = {
        {"X-Call", headerValue(it->request().Headers, "X-Call")}};
    if (isLimited)
      headers.push_back({"X-Limit", "0.5"});
    it->respond(200, headers, "");
  };
  const HttpReply refused = fixture.callUntil(503, "key");
  BOOST_TEST(hasHeader(refused.Headers, "Retry-After"));
  isLimited = false;
  fixture.callUntil(200, "key");
  for (int n = 0; n < 10; ++n)
    BOOST_TEST(fixture.call("key").Status == 200);
}

// Operators must see whether the load that an upstream states has an effect.
BOOST_AUTO_TEST_CASE(stated_loads_are_counted_by_what_became_of_them) {
  GatewayFixture fixture;
  fixture.Upstream = [n = 0](const std::shared_ptr<HttpExchange> &it) mutable {
    const std::string id = headerValue(it->request().Headers, "X-Call");
    it->respond(200, {{"X-Call", id}, {"X-Slots", n++ == 0 ? "0" : "6"}}, "");
  };
  for (const std::string result : {"implausible", "applied"}) {
    fixture.callUntil(200, "key");
    BOOST_TEST(fixture.metric("sorrelbay_upstream_statements_total{result=\"" +
                              result + "\",statement=\"load\"}") == 1);
  }
}

// An upstream fails when it has to reject more than a few calls. While its slot
// is taken, further calls must be refused here.
BOOST_AUTO_TEST_CASE(calls_that_a_brittle_upstream_would_reject_are_refused) {
  GatewayFixture fixture;
  fixture.waitUntilSeen(ResourceKind::Replicas);
  std::shared_ptr<HttpExchange> open;
  std::atomic<bool> isHeld{false};
  std::atomic<int> arrived{0};
  fixture.Upstream = [&](std::shared_ptr<HttpExchange> it) {
    ++arrived;
    if (isHeld) {
      open = std::move(it);
      return;
    }
    it->respond(200,
                {{"X-Call", headerValue(it->request().Headers, "X-Call")},
                 {"X-Brittle", "1"}},
                "");
  };
  fixture.callUntil(200, "key");
  isHeld = true;
  const int before = arrived;
  HttpReply held;
  std::thread caller([&] { held = fixture.call("key"); });
  while (arrived == before)
    std::this_thread::sleep_for(milliseconds(5));
  for (int n = 0; n < 3; ++n) {
    const HttpReply refused = fixture.call("key");
    BOOST_TEST(refused.Status == 503);
    BOOST_TEST(hasHeader(refused.Headers, "Retry-After"));
  }
  BOOST_TEST(arrived == before + 1);
  fixture.onUpstream([&] {
    isHeld = false;
    open->respond(
        200, {{"X-Call", headerValue(open->request().Headers, "X-Call")}}, "");
    open.reset();
  });
  caller.join();
  BOOST_TEST(held.Status == 200);
  fixture.callUntil(200, "key");
}

namespace {

/// Rejects the call, asking for a pause of that many seconds.
void rejectAndAskForPause(const std::shared_ptr<HttpExchange> &it,
                          const char *pauseSeconds) {
  it->respond(503,
              {{"X-Call", headerValue(it->request().Headers, "X-Call")},
               {"X-Not-Run", "1"},
               {"X-Pause", pauseSeconds}},
              "");
}

double retryAfterOf(const HttpReply &reply) {
  const std::string text = headerValue(reply.Headers, "Retry-After");
  return text.empty() ? 0 : std::stod(text);
}

} // namespace

// An upstream rejects a call and asks for a pause, and goes on getting calls
// that keep it from recovering.
BOOST_AUTO_TEST_CASE(an_upstream_that_asked_for_a_pause_gets_no_calls) {
  for (const char *path : {"/a/1", "/s/1"}) {
    GatewayFixture fixture;
    fixture.callUntil(200, "key");
    fixture.Upstream = [](const std::shared_ptr<HttpExchange> &it) {
      rejectAndAskForPause(it, "60");
    };
    BOOST_TEST(fixture.call("key", path).Status == 503);
    const int before = fixture.UpstreamCalls;
    for (int n = 0; n < 5; ++n) {
      const HttpReply reply = fixture.call("key", path);
      BOOST_TEST(reply.Status == 503);
      // As long as the caller's time allows.
      BOOST_TEST(retryAfterOf(reply) > 5);
    }
    BOOST_TEST(fixture.UpstreamCalls == before, path);
  }
}

// A call is rejected, and all upstreams have asked for a pause: there is
// nothing to send it to. If it used up a retry all the same, the next call that
// could be repeated would fail.
BOOST_AUTO_TEST_CASE(a_call_without_an_upstream_to_repeat_it_takes_no_retry) {
  GatewayFixture fixture;
  fixture.callUntil(200, "key", "/s/1");
  std::atomic<bool> wasRejected{false};
  fixture.Upstream = [&](const std::shared_ptr<HttpExchange> &it) {
    const HttpHeaders id = {
        {"X-Call", headerValue(it->request().Headers, "X-Call")}};
    const std::string replica = headerValue(it->request().Headers, "X-Replica");
    if (replica == "r1")
      return rejectAndAskForPause(it, "60");
    if (replica != "r2")
      return it->respond(200, id, "");
    wasRejected = true;
    it->respond(503, {id.front(), {"X-Not-Run", "1"}}, "");
  };
  BOOST_TEST(fixture.call("key", "/s/1").Status == 503);
  fixture.addReplica("r2");
  fixture.addReplica("r3");
  fixture.waitUntilSeen(ResourceKind::Replicas);
  for (int n = 0; n < 100 && !wasRejected; ++n)
    BOOST_TEST(fixture.call("key", "/s/1").Status == 200);
  BOOST_TEST(wasRejected);
}

// The only upstream is slow with one call, and asks for a pause in its response
// to another. Given up for its silence, the slow call would have no upstream,
// and its caller would lose the answer.
BOOST_AUTO_TEST_CASE(a_slow_call_is_not_given_up_while_no_upstream_takes_it) {
  GatewayFixture fixture;
  fixture.callUntil(200, "key", "/q/1");
  std::shared_ptr<HttpExchange> slow;
  fixture.Upstream = [&](std::shared_ptr<HttpExchange> it) {
    if (!slow)
      slow = std::move(it);
    else
      rejectAndAskForPause(it, "60");
  };
  const int before = fixture.UpstreamCalls;
  HttpReply reply;
  std::thread caller([&] { reply = fixture.call("key", "/q/1"); });
  while (fixture.UpstreamCalls == before)
    std::this_thread::sleep_for(milliseconds(5));
  BOOST_TEST(fixture.call("key").Status == 503);
  // Longer than the silence after which a call goes to another upstream.
  std::this_thread::sleep_for(seconds(2));
  fixture.onUpstream([&] {
    slow->respond(
        200, {{"X-Call", headerValue(slow->request().Headers, "X-Call")}}, "");
    slow.reset();
  });
  caller.join();
  BOOST_TEST(reply.Status == 200);
}

// While all upstreams ask for a pause, calls are refused here. A service that
// looked less busy for it would get fewer replicas when it needs more.
BOOST_AUTO_TEST_CASE(calls_refused_during_a_pause_count_as_demand) {
  GatewayFixture fixture;
  fixture.PromptTokens = 1000;
  fixture.callUntil(200, "key");
  fixture.Upstream = [](const std::shared_ptr<HttpExchange> &it) {
    rejectAndAskForPause(it, "60");
  };
  fixture.call("key");
  const std::string demand =
      "sorrelbay_engine_demand_seconds{service=\"desk\"}";
  const double before = fixture.metric(demand);
  BOOST_TEST(before > 0);
  for (int n = 0; n < 20; ++n)
    BOOST_TEST(fixture.call("key").Status == 503);
  BOOST_TEST(fixture.metric(demand) > 2 * before);
}

// An upstream states in its responses that it leaves, and the store still shows
// it as ready. Calls that went on reaching it would end with it.
BOOST_AUTO_TEST_CASE(an_upstream_that_stated_its_leaving_gets_no_calls) {
  for (const char *path : {"/a/1", "/s/1"}) {
    GatewayFixture fixture;
    fixture.callUntil(200, "key");
    fixture.Upstream = [](const std::shared_ptr<HttpExchange> &it) {
      it->respond(200,
                  {{"X-Call", headerValue(it->request().Headers, "X-Call")},
                   {"X-Leaving", "1"}},
                  headerValue(it->request().Headers, "X-Replica"));
    };
    BOOST_TEST(fixture.call("key", path).Status == 200);
    const int before = fixture.UpstreamCalls;
    fixture.addReplica("r1");
    fixture.Store.discardHistory();
    fixture.waitUntilSeen(ResourceKind::Replicas);
    for (int n = 0; n < 5; ++n)
      BOOST_TEST(fixture.call("key", path).Status == 503);
    BOOST_TEST(fixture.UpstreamCalls == before, path);
    fixture.addReplica("r2");
    BOOST_TEST(fixture.callUntil(200, "key", path).Body == "r2");
  }
}

// A replica is reclaimed in the middle of an event of a stream. The caller must
// get neither a part of the response nor the same tokens twice.
BOOST_AUTO_TEST_CASE(a_resumable_stream_goes_on_at_another_upstream) {
  GatewayFixture fixture;
  fixture.addReplica("r2");
  fixture.waitUntilSeen(ResourceKind::Replicas);
  fixture.callUntil(200, "key");
  fixture.Upstream = [](const std::shared_ptr<HttpExchange> &it) {
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
  const HttpReply reply = fixture.callUntil(200, "key", "/s/1");
  BOOST_TEST(reply.Body ==
             "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
}

// A replica is reclaimed after an event without an id. A stream that went on
// after the last id would send that event twice.
BOOST_AUTO_TEST_CASE(a_stream_is_not_resumed_after_an_event_without_id) {
  GatewayFixture fixture;
  fixture.addReplica("r2");
  fixture.waitUntilSeen(ResourceKind::Replicas);
  fixture.callUntil(200, "key");
  std::atomic<int> resumed{0};
  fixture.Upstream = [&](const std::shared_ptr<HttpExchange> &it) {
    const HttpHeaders id = {
        {"X-Call", headerValue(it->request().Headers, "X-Call")}};
    resumed += headerValue(it->request().Headers, "X-After").empty() ? 0 : 1;
    it->begin(200, id, std::nullopt);
    it->write("id: 1\ndata: a\n\ndata: b\n\n");
    it->onDrained([it] { it->abort(); });
  };
  BOOST_CHECK_THROW(fixture.call("key", "/s/1"), HttpOutcomeUnknown);
  BOOST_TEST(resumed == 0);
}

namespace {

/// Calls until the rollout's status is `status`; returns how many calls went to
/// the new version meanwhile.
int callUntilRolloutIs(GatewayFixture &fixture, const std::string &status) {
  int callsToNew = 0;
  for (int n = 0; n < 4000; ++n) {
    if (fixture.Store.statusOf(ResourceKind::Moves, "desk") == status)
      return callsToNew;
    if (fixture.call("key").Body.find("new") != std::string::npos)
      ++callsToNew;
    std::this_thread::sleep_for(milliseconds(2));
  }
  BOOST_REQUIRE_MESSAGE(false, "the rollout's status never became " << status);
  return callsToNew;
}

/// Responds with the replica's name; with `isNewBad`, replicas of the new
/// version respond 500.
GatewayFixture::UpstreamHandler versionedHandler(bool isNewBad) {
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
// any others and would get half of all calls if the host did not read the
// order.
BOOST_AUTO_TEST_CASE(a_bad_version_is_rolled_back_and_gets_few_calls) {
  GatewayFixture fixture;
  fixture.Upstream = versionedHandler(true);
  fixture.callUntil(200, "key");
  fixture.Store.put(ResourceKind::Moves, "desk", "v2");
  fixture.addReplica("new1");
  const int callsToNew = callUntilRolloutIs(fixture, "rolled_back");
  BOOST_TEST(callsToNew < 60);
  for (int n = 0; n < 50; ++n)
    BOOST_TEST(fixture.call("key").Body == "r1");
}

// Half of a new version's responses are several times slower than those of the
// old one, and its replicas register one after the other. By its route's
// latency target it is as good, and it got all calls after a probe.
BOOST_AUTO_TEST_CASE(a_slower_version_is_rolled_back) {
  GatewayFixture fixture;
  std::atomic<int> callsToNew{0};
  fixture.Upstream = [&](const std::shared_ptr<HttpExchange> &it) {
    const std::string replica = headerValue(it->request().Headers, "X-Replica");
    const bool isNew = replica.substr(0, 3) == "new";
    std::this_thread::sleep_for(
        isNew && callsToNew++ % 2 == 0 ? milliseconds(40) : milliseconds(5));
    it->respond(200, {{"X-Call", headerValue(it->request().Headers, "X-Call")}},
                replica);
  };
  fixture.callUntil(200, "key");
  for (int n = 0; n < 40; ++n)
    fixture.call("key");
  fixture.Store.put(ResourceKind::Moves, "desk", "v2");
  fixture.addReplica("new1");
  fixture.waitUntilSeen(ResourceKind::Replicas);
  fixture.addReplica("new2");
  BOOST_TEST(callUntilRolloutIs(fixture, "rolled_back") < 200);
}

BOOST_AUTO_TEST_CASE(a_good_version_gets_all_calls_in_time) {
  GatewayFixture fixture;
  fixture.Upstream = versionedHandler(false);
  fixture.callUntil(200, "key");
  fixture.Store.put(ResourceKind::Moves, "desk", "v2");
  fixture.addReplica("new1");
  callUntilRolloutIs(fixture, "completed");
  for (int n = 0; n < 50; ++n)
    BOOST_TEST(fixture.call("key").Body == "new1");
}

// An upstream accepts four connections from all hosts together and resets any
// further ones. Whether a call on a reset connection has run is unknown.
BOOST_AUTO_TEST_CASE(no_more_connections_are_opened_than_an_upstream_accepts) {
  GatewayFixture fixture;
  fixture.callUntil(200, "key");
  std::vector<std::shared_ptr<HttpExchange>> open;
  fixture.Upstream = [&](std::shared_ptr<HttpExchange> it) {
    open.push_back(std::move(it));
  };
  std::vector<std::thread> callers;
  callers.reserve(4);
  for (int n = 0; n < 4; ++n)
    callers.emplace_back([&] { fixture.call("key"); });
  while (fixture.UpstreamCalls < 5)
    std::this_thread::sleep_for(milliseconds(5));
  const HttpReply reply = fixture.call("key");
  BOOST_TEST(reply.Status == 503);
  BOOST_TEST(hasHeader(reply.Headers, "Retry-After"));
  BOOST_TEST(fixture.UpstreamCalls == 5);
  for (std::thread &it : callers)
    it.join();
  fixture.onUpstream([&] { open.clear(); });
}

// A host is stopped while callers that still have its address send long calls.
// Those would be cut off when the process ends.
BOOST_AUTO_TEST_CASE(a_stopping_host_refuses_what_it_can_not_finish) {
  GatewayFixture fixture(seconds(60), seconds(6));
  fixture.callUntil(200, "key");
  // An open call keeps the host from stopping at once.
  std::shared_ptr<HttpExchange> open;
  fixture.Upstream = [&open](std::shared_ptr<HttpExchange> it) {
    if (!open)
      open = std::move(it);
    else
      it->respond(
          200, {{"X-Call", headerValue(it->request().Headers, "X-Call")}}, "");
  };
  std::thread caller([&] {
    try {
      fixture.call("key");
    } catch (const Error &) {
      // The process may end first.
    }
  });
  while (fixture.UpstreamCalls < 2)
    std::this_thread::sleep_for(milliseconds(5));
  std::thread stopping([&] { fixture.Served->stop(); });
  const HttpReply reply = fixture.callUntil(503, "key");
  BOOST_TEST(hasHeader(reply.Headers, "Retry-After"));
  stopping.join();
  fixture.Served.reset();
  caller.join();
  fixture.onUpstream([&] { open.reset(); });
}

BOOST_AUTO_TEST_SUITE_END()
