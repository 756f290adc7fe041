#include "platform/CallHeaders.h"
#include "platform/StoreObjects.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace sorrelbay;
using namespace sorrelbay::platform;

namespace {

const char *const Config = R"({"Version":7,"Routes":[
{"Name":"r1","Host":"h.example","PathPrefix":"/a/","RouteKind":"streaming","TimeoutMs":10000,"LatencyGoalMs":800,
 "Priority":1,"Split":[{"Service":"s1","Weight":90},{"Service":"s2","Weight":10}],"MaxAttempts":1,"Public":false,
 "Sticky":true,"Resumable":false,"ItlTargetMs":400},
{"Name":"r2","Host":"h.example","PathPrefix":"/b/","RouteKind":"streaming","Service":"s1","MaxAttempts":2,"Resumable":true,
 "AllowedRegions":["north","south"]},
{"Name":"r3","Host":"h.example","PathPrefix":"/c/","RouteKind":"idempotent","Service":"s2"},
{"Name":"r4","Host":"h.example","PathPrefix":"/d/","RouteKind":"non_idempotent","Service":"s2","Public":true}],
"Services":[{"Name":"s1","MaxConns":300,"ColdS":3.0,"ColdPerS":18.0,"Engine":{"Slots":48,"KvCapacity":444000,"Moves":true,"HandleTtlS":5.0},
 "Scaling":{"Min":1,"Max":6,"BootS":4.0,"SpotPrice":0.22,"ZonePrices":{"z1":1.0,"z2":0.8}}},{"Name":"s2","MaxConns":100}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"t1","ApiKeys":["k1","k2"],"Priority":1,"Unit":"tokens","PlainTokens":200,"RatePerS":100,"Burst":50,
 "AllowedRegions":["south"]}],
"Unknown":{"New":1}})";

HttpRequest request() {
  HttpRequest out;
  out.Method = "POST";
  out.Path = "/a/1";
  out.Body = "body";
  out.Headers = {{"Host", "h.example"},
                 {"attempt-id", "id1"},
                 {"Deadline-Ms", "1500"},
                 {"Api-Key", "k1"},
                 {"Tenant", "somebody else"},
                 {"Token-Usage", "1460,80"},
                 {"Prefix-Hash", "5c:800, 91:410,e4:250"},
                 {"Connection", "keep-alive"},
                 {"Kv-From", "10.0.0.1:1/x"},
                 {"X-Other", "kept"}};
  return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(translation)

BOOST_AUTO_TEST_CASE(a_configuration_becomes_a_plan) {
  const ServingPlan plan = parseServingPlan(nlohmann::json::parse(Config));
  BOOST_TEST(plan.Version == 7U);
  BOOST_REQUIRE(plan.Routes.size() == 4U);
  BOOST_TEST(plan.Routes[0].IsStream);
  BOOST_TEST((plan.Routes[0].Kind == Repeatability::NonIdempotent));
  BOOST_TEST(plan.Routes[0].ServiceWeights.size() == 2U);
  BOOST_TEST((plan.Routes[1].Kind == Repeatability::Idempotent));
  BOOST_TEST((plan.Routes[2].Kind == Repeatability::Idempotent));
  BOOST_TEST((plan.Routes[3].Kind == Repeatability::NonIdempotent));
  BOOST_TEST(plan.Routes[3].IsPublic);
  BOOST_TEST(plan.Services[0].Engine->Slots == 48);
  BOOST_TEST(plan.Services[0].Scaling->ZonePrices.at(ZoneId("z2")) == 0.8);
  BOOST_TEST(plan.Services[0].ColdRate == 18.0);
  BOOST_TEST(!plan.Services[1].Engine);
  BOOST_TEST(plan.Services[1].ColdRate == 0.0);
  BOOST_TEST(plan.Teams[0].CountsTokens);
  BOOST_TEST(plan.Teams[0].Keys.size() == 2U);
  BOOST_TEST(plan.Teams[0].PermittedRegions.size() == 1U);
  BOOST_TEST(plan.Routes[0].PermittedRegions.empty());
  BOOST_TEST(plan.Routes[1].PermittedRegions.size() == 2U);
  BOOST_TEST((plan.Limits.IdleTimeout == seconds(15)));
}

// A component other than an upstream may write a malformed entry. With default
// values for its invalid fields, the entry would receive calls; as a failure of
// the whole listing, it would hide all other upstreams.
BOOST_AUTO_TEST_CASE(malformed_upstream_entries_are_refused) {
  const std::pair<const char *, const char *> changes[] = {
      {"Service", "7"},     {"Service", "null"},  {"Address", "[]"},
      {"State", "\"odd\""}, {"Zone", "{}"},       {"Slots", "\"x\""},
      {"Spot", "3"},        {"ColdLeftMs", "-5"}, {"ColdLeftMs", "\"x\""}};
  const auto good = nlohmann::json::parse(
      R"({"Service":"s","Address":"10.0.0.1:8","Zone":"z","Version":"v1","Slots":48,"State":"ready","Seq":4})");
  BOOST_TEST(parseReplica("i", good).Slots == 48);
  BOOST_TEST((parseReplica("i", good).ColdDuration == Duration::zero()));
  auto cold = good;
  cold["ColdLeftMs"] = 1500;
  BOOST_TEST((parseReplica("i", cold).ColdDuration == milliseconds(1500)));
  for (const auto &[key, value] : changes) {
    auto bad = good;
    bad[key] = nlohmann::json::parse(value);
    BOOST_CHECK_THROW(parseReplica("i", bad), ObjectMalformed);
  }
  BOOST_CHECK_THROW(parseReplica("i", nlohmann::json("text")), ObjectMalformed);
  BOOST_CHECK_THROW(parseServingPlan(nlohmann::json::array()), ObjectMalformed);
}

BOOST_AUTO_TEST_CASE(a_request_is_parsed_from_its_headers) {
  const ServingCall call = parseServingCall(request());
  BOOST_TEST(call.Id == "id1");
  BOOST_TEST(call.Key == "k1");
  BOOST_TEST((call.WaitLimit == Duration(milliseconds(1500))));
  BOOST_TEST(*call.PromptTokens == 1460);
  BOOST_TEST(call.MaxOutputTokens == 80);
  BOOST_REQUIRE(call.Prompt.size() == 3U);
  BOOST_TEST(call.Prompt[1].Id == "91");
  BOOST_TEST(call.Prompt[2].Tokens == 250);
}

// A caller sets the headers of another team, or of the KV cache of another
// call, in its request. If they were forwarded, the call would be billed to
// that team or read the prompt of that call.
BOOST_AUTO_TEST_CASE(an_upstream_gets_the_systems_headers_not_the_callers) {
  UpstreamAttempt attempt;
  attempt.Replica = UpstreamId("i-1");
  attempt.WaitLimit = milliseconds(1200);
  attempt.Team = TeamId("t1");
  attempt.Priority = 12;
  const HttpCall call = makeUpstreamCall(request(), attempt);
  const auto value = [&](const char *name) {
    return headerValue(call.Headers, name);
  };
  BOOST_TEST(value("Tenant") == "t1");
  BOOST_TEST(value("Deadline-Ms") == "1200");
  BOOST_TEST(value("Expect-Instance") == "i-1");
  BOOST_TEST(value("Request-Priority") == "9");
  BOOST_TEST(value("Attempt-Id") == "id1");
  BOOST_TEST(value("X-Other") == "kept");
  BOOST_TEST(!hasHeader(call.Headers, "Api-Key"));
  BOOST_TEST(!hasHeader(call.Headers, "Kv-From"));
  BOOST_TEST(!hasHeader(call.Headers, "Connection"));
  BOOST_TEST(call.Body == "body");
}

BOOST_AUTO_TEST_CASE(only_an_explicit_header_or_status_marks_a_call_not_run) {
  const std::pair<HttpReplyHead, bool> cases[] = {
      {{503, {{"Not-Executed", "1"}}, {}}, true},
      {{421, {{"Instance-Id", "x"}}, {}}, true},
      {{503, {}, {}}, false},
      {{429, {}, {}}, false},
      {{500, {}, {}}, false}};
  for (const auto &[head, isNotRun] : cases)
    BOOST_TEST(parseUpstreamReplyInfo(head).DidNotRun == isNotRun);
}

// Another upstream that has the address of the expected one states its own
// limit.
BOOST_AUTO_TEST_CASE(a_rate_limit_is_read_from_the_expected_upstream_only) {
  const std::pair<HttpReplyHead, std::optional<double>> cases[] = {
      {{200, {{"Server-Limit", "2.2"}}, {}}, 2.2},
      {{503, {{"Not-Executed", "1"}, {"server-limit", "1"}}, {}}, 1.0},
      {{200, {{"Server-Limit", "0"}}, {}}, 0.0},
      {{200, {}, {}}, std::nullopt},
      {{200, {{"Server-Limit", "-1"}}, {}}, std::nullopt},
      {{200, {{"Server-Limit", "2,2"}}, {}}, std::nullopt},
      {{200, {{"Server-Limit", "inf"}}, {}}, std::nullopt},
      {{421, {{"Server-Limit", "2.2"}}, {}}, std::nullopt}};
  for (const auto &[head, limit] : cases)
    BOOST_TEST((parseUpstreamReplyInfo(head).RateLimit == limit));
}

// A limit of rejections that is read wrongly lets an upstream fail, or keeps it
// without calls.
BOOST_AUTO_TEST_CASE(
    a_rejection_limit_is_read_from_the_expected_upstream_only) {
  const std::pair<HttpReplyHead, std::optional<double>> cases[] = {
      {{200, {{"Server-Brittle", "5"}}, {}}, 5.0},
      {{503, {{"Not-Executed", "1"}, {"server-brittle", "1"}}, {}}, 1.0},
      {{500, {{"Server-Brittle", "0"}}, {}}, 0.0},
      {{200, {}, {}}, std::nullopt},
      {{200, {{"Server-Brittle", "-1"}}, {}}, std::nullopt},
      {{200, {{"Server-Brittle", "yes"}}, {}}, std::nullopt},
      {{421, {{"Server-Brittle", "5"}}, {}}, std::nullopt}};
  for (const auto &[head, limit] : cases)
    BOOST_TEST((parseUpstreamReplyInfo(head).RejectionLimit == limit));
}

// A malformed time would keep an upstream without calls for ever, or not at
// all.
BOOST_AUTO_TEST_CASE(a_requested_pause_is_read_from_an_unavailable_upstream) {
  using Reason = IgnoredReason;
  struct Case {
    int Status;
    const char *Value;
    std::optional<Duration> Pause;
    std::optional<Reason> Ignored;
  };
  const Case cases[] = {
      {503, "3", seconds(3), {}},
      {503, "0.25", milliseconds(250), {}},
      {503, "0", Duration::zero(), {}},
      {503, "", {}, Reason::Malformed},
      {503, "3 s", {}, Reason::Malformed},
      {503, "-1", {}, Reason::Malformed},
      {503, "1,5", {}, Reason::Malformed},
      {503, "nan", {}, Reason::Malformed},
      {503, "1e300", {}, Reason::Malformed},
      {503, "Thu, 03 Dec 2026 18:00:00 GMT", {}, Reason::Malformed},
      {200, "3", {}, Reason::OtherStatus},
      {429, "3", {}, Reason::OtherStatus},
      {421, "3", {}, Reason::OtherUpstream}};
  for (const Case &it : cases) {
    const auto info = parseUpstreamReplyInfo(
        {it.Status, {{"Not-Executed", "1"}, {"retry-after", it.Value}}, {}});
    BOOST_TEST((info.Pause == it.Pause), it.Status << " " << it.Value);
    BOOST_TEST(info.Ignored.empty() != it.Ignored.has_value());
    if (it.Ignored)
      BOOST_TEST(
          (info.Ignored == std::vector<IgnoredStatement>{
                               {StatementKind::Pause, *it.Ignored, it.Value}}));
  }
  BOOST_TEST(!parseUpstreamReplyInfo({503, {}, {}}).Pause.has_value());
}

// Another value than the agreed one must not take an upstream out of service.
BOOST_AUTO_TEST_CASE(an_upstream_that_leaves_states_it_by_one_value) {
  struct Case {
    int Status;
    const char *Value;
    bool IsLeaving;
    std::optional<IgnoredReason> Ignored;
  };
  const Case cases[] = {{200, "1", true, {}},
                        {500, "1", true, {}},
                        {503, "1", true, {}},
                        {200, "0", false, IgnoredReason::Malformed},
                        {200, "", false, IgnoredReason::Malformed},
                        {200, "11", false, IgnoredReason::Malformed},
                        {200, "true", false, IgnoredReason::Malformed},
                        {421, "1", false, IgnoredReason::OtherUpstream}};
  for (const Case &it : cases) {
    const auto info =
        parseUpstreamReplyInfo({it.Status, {{"server-leaving", it.Value}}, {}});
    BOOST_TEST(info.IsLeaving == it.IsLeaving, it.Status << " " << it.Value);
    BOOST_TEST(info.Ignored.empty() != it.Ignored.has_value());
    if (it.Ignored)
      BOOST_TEST((info.Ignored.front().Reason == *it.Ignored));
  }
}

// A figure that is misread sends calls to a full desk, or none to an idle one.
BOOST_AUTO_TEST_CASE(a_stated_load_is_read) {
  const auto read = [](int status, const std::string &value) {
    return parseUpstreamReplyInfo({status, {{"server-load", value}}, {}});
  };
  const auto three = read(200, "-1,2,6").Load;
  BOOST_REQUIRE(three);
  BOOST_TEST(
      (three->Running == -1 && three->Waiting == 2 && three->Slots == 6));
  BOOST_TEST(!three->Slowness);
  BOOST_TEST((read(503, "6, 0, 6, 250").Load->Slowness == 2.5));
  for (const char *it : {"", "1,2", "1,2,6,100,1", "1,,6", "1,2,6,", "1,2,six",
                         "1,2,6.0", "1,2,99999999999"}) {
    BOOST_TEST(!read(200, it).Load);
    BOOST_TEST((read(200, it).Ignored ==
                std::vector<IgnoredStatement>{
                    {StatementKind::Load, IgnoredReason::Malformed, it}}));
  }
  BOOST_TEST(!read(421, "1,2,6").Load);
  BOOST_TEST(!parseUpstreamReplyInfo({200, {}, {}}).Load);
}

// Upstreams begin to state something that this version does not know. Dropped
// without a trace, it shows only when upstreams break down.
BOOST_AUTO_TEST_CASE(unknown_statements_of_upstreams_are_noticed) {
  const auto info = parseUpstreamReplyInfo({200,
                                            {{"Server-Signature", "a"},
                                             {"server-load", "1,2,3"},
                                             {"Server-Limit", "2"},
                                             {"Server-Leaving", "1"},
                                             {"Server-Brittle", "3"},
                                             {"Server", "b"},
                                             {"X-Server-Mood", "c"},
                                             {"server-mood", "low"}},
                                            {}});
  BOOST_REQUIRE(info.Ignored.size() == 1U);
  BOOST_TEST((info.Ignored.front() ==
              IgnoredStatement{StatementKind::Unknown,
                               IgnoredReason::UnknownKind, "server-mood"}));
}

// A single malformed entry kept a whole configuration from coming into force,
// with all keys and routes that it added or removed.
BOOST_AUTO_TEST_CASE(a_malformed_entry_of_a_plan_costs_only_itself) {
  auto config = nlohmann::json::parse(Config);
  config["Routes"][0]["TimeoutMs"] = -1;
  config["Routes"].push_back(7);
  config["Services"][1]["MaxConns"] = 1e300;
  config["Tenants"].push_back({{"Name", 5}, {"ApiKeys", {"k9"}}});
  config["Limits"]["IdleTimeoutMs"] = "x";
  const ServingPlan plan = parseServingPlan(config);
  BOOST_TEST(plan.Refused.size() == 5U);
  BOOST_REQUIRE(plan.Routes.size() == 4U);
  // Its calls must not take a route with a shorter prefix.
  BOOST_TEST(plan.Routes[0].PathPrefix == "/a/");
  BOOST_TEST(plan.Routes[0].ServiceWeights.empty());
  BOOST_TEST(plan.Routes[1].ServiceWeights.size() == 1U);
  BOOST_TEST(plan.Services.size() == 1U);
  BOOST_REQUIRE(plan.Teams.size() == 1U);
  BOOST_TEST(plan.Teams[0].Keys.size() == 2U);
}

// A status of another type made the handler of all rollout orders fail, so that
// the host learned of no further one.
BOOST_AUTO_TEST_CASE(a_rollout_status_of_another_type_is_ignored) {
  const auto spec = nlohmann::json::parse(R"({"Service":"s","Target":"v2"})");
  for (const char *status :
       {"7", "[]", R"({"Target":5})", R"({"Target":"v2","State":5})"})
    BOOST_TEST(
        (parseRolloutOrder(spec, nlohmann::json::parse(status)).Outcome ==
         RolloutOutcome::NotStarted));
}

BOOST_AUTO_TEST_SUITE_END()
