#include "LibCaller/Problem.h"
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace sorrelbay;

BOOST_AUTO_TEST_SUITE(problem)

// A daemon that stops refuses a call. Without the other daemons' addresses its
// caller would wait for its next lookup.
BOOST_AUTO_TEST_CASE(a_refusal_names_the_addresses_of_other_daemons) {
  const Problem draining(503, "draining", "the daemon stops", Outcome::NotRun,
                         milliseconds(1500));
  const HttpResponse alone = renderProblem(draining);
  const auto withoutAddresses = nlohmann::json::parse(alone.Body);
  BOOST_TEST(withoutAddresses.count("addresses") == 0U);
  BOOST_TEST(withoutAddresses.at("retry_after_ms") == 1500);
  const HttpResponse response =
      renderProblem(draining.withAlternatives({"10.0.0.1:80", "10.0.0.2:80"}));
  const auto body = nlohmann::json::parse(response.Body);
  const nlohmann::json expected = {"10.0.0.1:80", "10.0.0.2:80"};
  BOOST_REQUIRE(body.count("addresses") == 1U);
  BOOST_TEST(body.at("addresses") == expected);
}

BOOST_AUTO_TEST_SUITE_END()
