#include "LibCloud/CloudNotices.h"
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;

namespace {

std::string listOf(const std::vector<std::string> &entries) {
  std::string out;
  for (const std::string &it : entries) {
    out += out.empty() ? "[" : ",";
    out += it;
  }
  return out + "]";
}

} // namespace

BOOST_AUTO_TEST_SUITE(cloud_notices)

// A notice that can't be parsed hid those beside it, whose hosts went away
// without their calls having been moved.
BOOST_AUTO_TEST_CASE(a_malformed_notice_costs_only_itself) {
  const std::string good =
      R"({"sequence":3,"address":"10.0.0.1:8","goes_at_ms":5000})";
  for (const std::string bad : {"7", "{}", "{\"sequence\":\"\xff\"}",
                                "{\"sequence\":4,\"address\":5}"}) {
    const auto notices = parseReclaimNotices(listOf({bad, good, bad}));
    BOOST_REQUIRE(notices.size() == 1U);
    BOOST_TEST(notices[0].Sequence == 3U);
    BOOST_CHECK_THROW(parseReclaimNotices(listOf({bad})), CloudUnavailable);
  }
  BOOST_TEST(parseReclaimNotices("[]").empty());
  BOOST_CHECK_THROW(parseReclaimNotices("{}"), CloudUnavailable);
}

BOOST_AUTO_TEST_SUITE_END()
