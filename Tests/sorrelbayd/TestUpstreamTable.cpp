#include "UpstreamTable.h"
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;

namespace {

const Instant Now{seconds(1000)};
const UpstreamId Id("10.0.0.1:80");

HostListEntry desk(const UpstreamId &id) {
  HostListEntry out;
  out.Address = id.text();
  out.Role = HostRole::Desk;
  out.Service = ServiceId("desk");
  return out;
}

int openCallsAt(const UpstreamTable &table, const UpstreamId &id) {
  for (const UpstreamState &it : table.snapshot())
    if (it.Id == id)
      return it.OwnOpenCalls;
  return -1;
}

} // namespace

BOOST_AUTO_TEST_SUITE(upstream_table)

// An upstream is missing from a list of hosts and listed again while calls are
// open there. Counted from zero, it would get more calls than it can take.
BOOST_AUTO_TEST_CASE(open_calls_outlive_a_list_without_their_upstream) {
  UpstreamTable table("10.0.0.9:80", ZoneId("a"),
                      [](const UpstreamId &) { return std::nullopt; });
  table.applyHostList({desk(Id)}, Now);
  table.beginAt(Id, {}, Now);
  table.beginAt(Id, {}, Now);
  table.applyHostList({}, Now);
  table.finish(Id, ConversationKey(), 0, Now);
  table.applyHostList({desk(Id)}, Now);
  BOOST_TEST(openCallsAt(table, Id) == 1);
  table.finish(Id, ConversationKey(), 0, Now);
  table.finish(Id, ConversationKey(), 0, Now);
  BOOST_TEST(openCallsAt(table, Id) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
