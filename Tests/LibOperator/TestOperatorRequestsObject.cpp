#include "LibOperator/OperatorRequestsObject.h"
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;

namespace {

const Instant Now{seconds(1'800'000'000)};

OperatorRequests sampleRequests() {
  OperatorRequests out;
  out.Upstreams[UpstreamId("10.0.0.1:80")] = {Now + seconds(60), "anna"};
  out.Hosts[HostId("h")] = {std::nullopt, "ben"};
  out.Hosts[HostId("i")] = {Now - seconds(60), "ben"};
  out.TeamWeights[TeamId("t")] = 100;
  return out;
}

std::string bodyWith(const std::string &upstreams, const std::string &hosts,
                     const std::string &teams) {
  return R"({"upstreams":[)" + upstreams + R"(],"hosts":[)" + hosts +
         R"(],"teams":[)" + teams + "]}";
}

} // namespace

BOOST_AUTO_TEST_SUITE(operator_requests_object)

BOOST_AUTO_TEST_CASE(an_object_is_read_as_it_was_written) {
  const OperatorRequests written = sampleRequests();
  const std::string body = renderOperatorRequests(written);
  BOOST_CHECK(parseOperatorRequests(body) == written);
  BOOST_TEST(body.find(R"("until_ms":1800000060000)") != std::string::npos);
}

// A malformed request must not be put into force in part, and a weight of 0 or
// of millions would starve a team.
BOOST_AUTO_TEST_CASE(an_object_out_of_bounds_is_refused) {
  const std::string hold = R"({"name":"h","until_ms":0,"by":"b"})";
  const auto team = [](const std::string &weight) {
    return R"({"name":"t","weight":)" + weight + "}";
  };
  for (const char *weight : {"1", "100"})
    BOOST_CHECK_NO_THROW(
        parseOperatorRequests(bodyWith("", hold, team(weight))));
  const std::string refused[] = {
      "",
      "[]",
      "{}",
      R"({"upstreams":{},"hosts":[]})",
      bodyWith("7", "", ""),
      bodyWith("{}", "", ""),
      bodyWith(hold, "", ""),
      bodyWith("", hold + "," + hold, ""),
      bodyWith("", R"({"name":"","until_ms":0,"by":"b"})", ""),
      bodyWith("", R"({"name":"h","until_ms":-1,"by":"b"})", ""),
      bodyWith("", R"({"name":"h","until_ms":9000000000001,"by":"b"})", ""),
      bodyWith("", R"({"name":"h","until_ms":"soon","by":"b"})", ""),
      bodyWith("", R"({"name":"h","until_ms":0,"by":"a\nb"})", ""),
      bodyWith("", R"({"name":"h","until_ms":0})", ""),
      bodyWith("", "", team("0")),
      bodyWith("", "", team("101")),
      bodyWith("", "", team("-1")),
      bodyWith("", "", team("4294967297")),
      bodyWith("", "", team("1") + "," + team("2")),
      bodyWith("", "", "") + std::string(MaxOperatorRequestsBytes, ' ')};
  for (const std::string &body : refused)
    BOOST_TEST_CONTEXT(body.substr(0, 100))
  BOOST_CHECK_THROW(parseOperatorRequests(body), OperatorRequestsMalformed);
}

// An operator's typing error must not end the other requests, such as a hold.
BOOST_AUTO_TEST_CASE(a_malformed_request_costs_only_itself) {
  std::vector<std::string> refused;
  const OperatorRequests requests = readOperatorRequests(
      bodyWith(R"({"id":"u","until_ms":0,"by":"anna"},{},7)",
               R"({"name":"h","until_ms":-1,"by":"b"})",
               R"({"name":"t","weight":2},{"name":"t","weight":3})"),
      refused);
  BOOST_TEST(requests.Upstreams.size() == 1U);
  BOOST_TEST(requests.Hosts.empty());
  BOOST_TEST(requests.TeamWeights.at(TeamId("t")) == 2);
  BOOST_TEST(refused.size() == 4U);
  BOOST_CHECK_THROW(readOperatorRequests("[]", refused),
                    OperatorRequestsMalformed);
}

// A list that grows without bound would delay all hosts.
BOOST_AUTO_TEST_CASE(requests_beyond_the_bounds_are_not_written) {
  OperatorRequests requests;
  for (std::size_t n = 0; n < MaxOperatorRequests; ++n)
    requests.Upstreams[UpstreamId("u" + std::to_string(n))] = {Now, "anna"};
  BOOST_CHECK(parseOperatorRequests(renderOperatorRequests(requests)) ==
              requests);
  requests.TeamWeights[TeamId("t")] = 2;
  BOOST_CHECK_THROW(renderOperatorRequests(requests),
                    OperatorRequestsMalformed);
  dropEndedRequests(requests, Now + seconds(1800));
  BOOST_TEST(requests.Upstreams.size() == MaxOperatorRequests);
  dropEndedRequests(requests, Now + seconds(3601));
  BOOST_TEST(requests.Upstreams.empty());
  requests.TeamWeights[TeamId("t")] = 101;
  BOOST_CHECK_THROW(renderOperatorRequests(requests),
                    OperatorRequestsMalformed);
}

BOOST_AUTO_TEST_CASE(the_table_names_all_requests) {
  BOOST_TEST(renderOperatorRequestsTable(sampleRequests(), Now) ==
             "upstream 10.0.0.1:80 held until 2027-01-15T08:01:00Z by anna\n"
             "host h held until released by ben\n"
             "host i was held until 2027-01-15T07:59:00Z by ben\n"
             "team t weight 100\n");
}

BOOST_AUTO_TEST_SUITE_END()
