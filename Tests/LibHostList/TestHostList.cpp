#include "LibHostList/HostList.h"
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

BOOST_AUTO_TEST_SUITE(host_list)

// One byte of one entry that can't be parsed made the whole list unavailable:
// the daemon kept the upstreams that it had, leaving ones included.
BOOST_AUTO_TEST_CASE(an_entry_that_cannot_be_parsed_costs_only_itself) {
  const std::string good = R"({"address":"10.0.0.1:8","role":"engine"})";
  for (const std::string bad :
       {"{\"address\":\"\xff\"}", "{\"address\":\"\\x\"}", "7",
        "{\"address\":5}", "{\"address\":\"a\",\"role\":\"odd\"}", "{}"}) {
    const auto list = parseHostList(listOf({good, bad, good}));
    BOOST_TEST(list.size() == 2U, bad);
  }
  for (const std::string text : {"", "7", "{}", "[", "\xff"})
    BOOST_CHECK_THROW(parseHostList(text), HostListUnavailable);
}

BOOST_AUTO_TEST_SUITE_END()
