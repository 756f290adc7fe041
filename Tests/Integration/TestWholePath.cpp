#include "Deployment.h"
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;

BOOST_AUTO_TEST_SUITE(WholePath)

BOOST_AUTO_TEST_CASE(callers_are_served_through_every_daemon) {
  Deployment deployment;
  deployment.addEngine("zone-a", "v1");
  deployment.addDesk("zone-a");
  deployment.addDaemon("zone-a");
  deployment.addDaemon("zone-b");
  deployment.roll(standardBundle(1, SingleVersionToml));
  deployment.waitReady();
  for (const auto &it : deployment.Daemons) {
    const ChatAnswer chat = streamChat(it->Address, "Which oak?", 12);
    BOOST_TEST(chat.IsWhole);
    BOOST_TEST(chat.Text == expectedText("Which oak?", 12));
    const HttpReply booked =
        callDeskAt(it->Address, "booking", "visit-" + it->PeerAddress);
    BOOST_TEST(booked.Status == 200);
    BOOST_TEST(callDeskAt(it->Address, "lookup", "").Status == 200);
  }
}

BOOST_AUTO_TEST_SUITE_END()
