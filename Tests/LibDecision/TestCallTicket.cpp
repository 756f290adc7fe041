#include "LibDecision/TicketTable.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;
namespace data = boost::unit_test::data;

static const std::string OtherKeyRows[] = {"",
                                           "booking-1",
                                           "ticket:",
                                           "ticket:a:1:2",
                                           "ticket:a@b:1",
                                           "ticket:@b:1:2",
                                           "ticket:a@b:1:",
                                           "ticket:a@b:x:1",
                                           "ticket:a@b:1:-2",
                                           "ticket:a@b:1:99999999999999999999"};

BOOST_DATA_TEST_CASE(ticket_is_distinguished_from_a_callers_own_key,
                     data::make(OtherKeyRows), text) {
  BOOST_CHECK(!parseTicket(IdempotencyKey(text)));
}

BOOST_AUTO_TEST_CASE(ticket_is_parsed_as_it_was_encoded) {
  const CallTicket ticket{IncarnationId("a1"), "127.0.0.1:80",
                          Instant(hours(5)), 7};
  BOOST_CHECK(parseTicket(ticketKey(ticket)) == ticket);
}

struct ValidityRow {
  const char *Name;
  const char *Owner;
  Duration Age;
  bool IsValid;
};

static std::ostream &operator<<(std::ostream &out, const ValidityRow &row) {
  return out << row.Name;
}

static const ValidityRow ValidityRows[] = {
    {"fresh", "self", seconds(0), true},
    {"nearly expired", "self", TicketLifetime - seconds(1), true},
    {"expired", "self", TicketLifetime, false},
    {"from the future", "self", -seconds(1), false},
    {"another incarnation's", "other", seconds(0), false},
};

BOOST_DATA_TEST_CASE(ticket_is_valid_for_its_incarnation_and_time,
                     data::make(ValidityRows), row) {
  const Instant issued{hours(10)};
  TicketTable table{IncarnationId("self"), LedgerLimits{}};
  const CallTicket ticket{IncarnationId(row.Owner), "127.0.0.1:80",
                          issued + TicketLifetime, 1};
  BOOST_TEST(table.isValid(ticket, issued + row.Age) == row.IsValid);
}

// The host's clock is set back by hours. If an expired ticket became valid
// again after its entry was dropped, the call would run twice.
BOOST_AUTO_TEST_CASE(ticket_stays_expired_when_the_clock_is_set_back) {
  const Instant issued{hours(10)};
  TicketTable table{IncarnationId("self"), LedgerLimits{}};
  const CallTicket ticket = table.issue("127.0.0.1:80", issued);
  BOOST_TEST(table.isValid(ticket, issued));
  BOOST_TEST(!table.isValid(ticket, issued + hours(3)));
  BOOST_TEST(!table.isValid(ticket, issued));
}
