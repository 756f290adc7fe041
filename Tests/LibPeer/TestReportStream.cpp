#include "FleetReportSamples.h"
#include "LibPeer/FleetReportCodec.h"
#include "LibPeer/PeerFailures.h"
#include "LibPeer/ReportInbox.h"
#include "LibPeer/ReportOutbox.h"
#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>

using namespace sorrelbay;
namespace data = boost::unit_test::data;

namespace {

const HostId Receiver("edge-7");
constexpr ReportStream Stream = ReportStream::OtherZones;

/// A fault that the connection between a sender and a receiver may have.
struct Faults {
  const char *Name;
  double Lost;
  double Doubled;
  double Reordered;
  /// The share of reports after which the connection is replaced.
  double Reconnected;
  /// The share of reports after which the sender's process is replaced.
  double Restarted;
};

std::ostream &operator<<(std::ostream &out, const Faults &it) {
  return out << it.Name;
}

/// A sender and a receiver of one stream, with a connection between them that
/// loses, doubles and reorders messages as the faults say.
class FaultyConnection {
public:
  FaultyConnection(const Faults &faults, std::uint64_t seed)
      : Odds(faults), Random(seed), Current(drawReport(Size, Random)) {}

  /// Sends the next report. `isCalm` leaves out all faults.
  void step(bool isCalm) {
    changeReport(Current, Size, 4, Random);
    // Every fourth report lists members and usage.
    FleetReport sent = Current;
    const bool isFull = Current.Sequence % 4 == 0;
    if (!isFull) {
      sent.Members.clear();
      sent.Usage.clear();
    }
    Outbox.add(Stream, sent);
    LastSent = sent;
    if (isFull)
      LastListed = sent;
    for (const std::string &it : Outbox.messagesFor(Receiver, Stream))
      transmit(it, isCalm);
    while (!Way.empty())
      arrive();
    if (!isCalm && draw() < Odds.Reconnected)
      reconnect();
    if (!isCalm && draw() < Odds.Restarted)
      restartSender();
  }

  /// Whether the receiver has what was sent last.
  bool isUpToDate() const { return Held && haveSameContents(*Held, LastSent); }
  int wrongReports() const { return WrongReports; }

private:
  double draw() { return std::uniform_real_distribution<double>(0, 1)(Random); }

  /// Whether the report is the last one that was sent. A whole state also lists
  /// the members and the usage that the sender listed before.
  bool isAsSent(const FleetReport &report) const {
    FleetReport whole = LastSent;
    whole.Members = LastListed.Members;
    whole.Usage = LastListed.Usage;
    return haveSameContents(report, LastSent) ||
           haveSameContents(report, whole);
  }

  void transmit(const std::string &message, bool isCalm) {
    if (!isCalm && draw() < Odds.Lost)
      return;
    Way.push_back(message);
    if (!isCalm && draw() < Odds.Doubled)
      Way.push_back(message);
    if (!isCalm && draw() < Odds.Reordered)
      std::swap(Way.front(), Way.back());
    if (!isCalm && draw() < Odds.Reordered)
      Late.push_back(message);
    else if (!Late.empty()) {
      Way.push_back(Late.front());
      Late.pop_front();
    }
  }

  void arrive() {
    const std::string message = Way.front();
    Way.pop_front();
    ColumnReader reader(message);
    const ReportInbox::Arrival arrival = Inbox->receive(reader);
    if (arrival.Report) {
      Held = *arrival.Report;
      // Whatever is lost or late, a report that was rebuilt is one that was
      // sent.
      if (Held->Sequence == LastSent.Sequence && !isAsSent(*Held))
        ++WrongReports;
    }
    if (!arrival.Request)
      return;
    Outbox.noteRequest(Receiver, *arrival.Request);
    for (const std::string &it : Outbox.messagesFor(Receiver, Stream))
      Way.push_back(it);
  }

  void reconnect() {
    Outbox.forget(Receiver);
    Inbox = std::make_unique<ReportInbox>(Receiver);
    Way.clear();
    Late.clear();
  }

  void restartSender() {
    Outbox = {};
    LastListed = {};
    Current = drawReport(Size, Random);
    Current.Incarnation =
        IncarnationId("edge-0/" + std::to_string(++Processes));
    reconnect();
  }

  const SampleSize Size;
  Faults Odds;
  std::mt19937_64 Random;
  FleetReport Current;
  FleetReport LastSent;
  FleetReport LastListed;
  ReportOutbox Outbox;
  std::unique_ptr<ReportInbox> Inbox = std::make_unique<ReportInbox>(Receiver);
  std::deque<std::string> Way;
  std::deque<std::string> Late;
  std::optional<FleetReport> Held;
  int Processes = 1;
  int WrongReports = 0;
};

const Faults AllFaults[] = {
    {"none", 0, 0, 0, 0, 0},
    {"lost", 0.3, 0, 0, 0, 0},
    {"doubled", 0, 0.3, 0, 0, 0},
    {"late and out of order", 0, 0, 0.3, 0, 0},
    {"connections replaced", 0, 0, 0, 0.2, 0},
    {"processes replaced", 0, 0, 0, 0, 0.2},
    {"all", 0.2, 0.2, 0.2, 0.1, 0.1},
};

/// The first message for a receiver that has nothing.
std::string firstMessage(const FleetReport &report) {
  ReportOutbox outbox;
  outbox.add(Stream, report);
  return outbox.messagesFor(Receiver, Stream).front();
}

} // namespace

BOOST_AUTO_TEST_SUITE(report_stream)

// A change that is lost, or applied to another state than it was made from,
// would leave a wrong figure behind for as long as the entry does not change.
BOOST_DATA_TEST_CASE(randomised_streams_end_in_the_senders_state,
                     data::make(AllFaults) * data::xrange(5), faults, seed) {
  FaultyConnection connection(faults, static_cast<std::uint64_t>(seed) + 1);
  for (int n = 0; n < 60; ++n) {
    for (int it = 0; it < 5; ++it)
      connection.step(false);
    connection.step(true);
    connection.step(true);
    BOOST_TEST(connection.isUpToDate());
  }
  BOOST_TEST(connection.wrongReports() == 0);
}

BOOST_AUTO_TEST_CASE(a_step_holds_only_what_has_changed) {
  std::mt19937_64 random(1);
  const SampleSize size{800, 3000, 333};
  FleetReport report = drawReport(size, random);
  ReportOutbox outbox;
  outbox.add(Stream, report);
  const std::size_t whole = outbox.messagesFor(Receiver, Stream).front().size();
  changeReport(report, size, 10, random);
  outbox.add(Stream, report);
  const auto step = outbox.messagesFor(Receiver, Stream);
  BOOST_REQUIRE(step.size() == 1U);
  // Ten changes of each kind, a new key each at the most, and the header.
  BOOST_TEST(step.front().size() < 10U * 100 + 300);
  BOOST_TEST(whole > 30U * step.front().size());
}

// A receiver on a slow link is sent nothing for a while. Each report of the
// time would otherwise count as a pace of its own on arrival.
BOOST_AUTO_TEST_CASE(reports_that_were_held_back_arrive_as_one) {
  std::mt19937_64 random(2);
  const SampleSize size;
  FleetReport report = drawReport(size, random);
  ReportOutbox outbox;
  ReportInbox inbox(Receiver);
  int completed = 0;
  const auto deliver = [&] {
    for (const std::string &it : outbox.messagesFor(Receiver, Stream)) {
      ColumnReader message(it);
      const auto arrival = inbox.receive(message);
      if (!arrival.Report)
        continue;
      ++completed;
      BOOST_TEST(haveSameContents(*arrival.Report, report));
    }
  };
  outbox.add(Stream, report);
  deliver();
  for (int n = 0; n < 5; ++n) {
    changeReport(report, size, 3, random);
    outbox.add(Stream, report);
  }
  deliver();
  BOOST_TEST(completed == 2);
}

// Upstreams come and go for weeks. Without an end, the table of keys would grow
// with each of them.
BOOST_AUTO_TEST_CASE(keys_that_are_gone_do_not_accumulate) {
  FleetReport report;
  report.Incarnation = IncarnationId("edge-0/1");
  ReportOutbox outbox;
  ReportInbox inbox(Receiver);
  std::size_t largest = 0;
  for (int n = 0; n < 20000; ++n) {
    report.Open.clear();
    report.Open[UpstreamId("engine-" + std::to_string(n))] = {1, 0, 0};
    ++report.Sequence;
    outbox.add(Stream, report);
    for (const std::string &it : outbox.messagesFor(Receiver, Stream)) {
      largest = std::max(largest, it.size());
      ColumnReader message(it);
      const auto arrival = inbox.receive(message);
      BOOST_REQUIRE(arrival.Report);
      BOOST_REQUIRE((arrival.Report->Open == report.Open));
    }
  }
  BOOST_TEST(largest < 1000U * 20);
}

// Each host of a zone needs to know which of its own reports the sum includes.
// A list of all would grow with the square of the zone.
BOOST_AUTO_TEST_CASE(a_receiver_gets_its_own_included_report_only) {
  FleetReport report;
  report.Scope = ReportScope::OwnZone;
  report.Incarnation = IncarnationId("edge-0/1");
  report.Included = {{HostId("edge-6"), 5}, {Receiver, 9}};
  ReportOutbox outbox;
  ReportInbox inbox(Receiver);
  outbox.add(ReportStream::OwnZone, report);
  ColumnReader message(
      outbox.messagesFor(Receiver, ReportStream::OwnZone).front());
  const auto arrival = inbox.receive(message);
  BOOST_REQUIRE(arrival.Report);
  BOOST_REQUIRE(arrival.Report->Included.size() == 1U);
  BOOST_TEST(arrival.Report->Included.at(Receiver) == 9U);
}

// A malformed message closes the connection; it must neither crash the host nor
// leave a state that later steps are applied to.
BOOST_AUTO_TEST_CASE(malformed_messages_are_refused) {
  std::mt19937_64 random(3);
  const std::string good = firstMessage(drawReport({}, random));
  int refused = 0;
  for (int n = 0; n < 3000; ++n) {
    std::string bad = good;
    const std::size_t at = random() % bad.size();
    if (n % 3 == 0)
      bad.resize(at);
    else
      bad[at] = static_cast<char>(random());
    ReportInbox inbox(Receiver);
    try {
      ColumnReader message(bad);
      inbox.receive(message);
    } catch (const PeerMessageRefused &) {
      ++refused;
    }
  }
  BOOST_TEST(refused > 1000);
}

BOOST_AUTO_TEST_CASE(a_version_from_the_future_is_asked_for_as_a_whole) {
  std::mt19937_64 random(4);
  FleetReport report = drawReport({}, random);
  ReportOutbox outbox;
  outbox.add(Stream, report);
  outbox.messagesFor(Receiver, Stream);
  changeReport(report, {}, 2, random);
  outbox.add(Stream, report);
  ColumnReader step(outbox.messagesFor(Receiver, Stream).front());
  ReportInbox inbox(Receiver);
  const auto arrival = inbox.receive(step);
  BOOST_TEST(!arrival.Report);
  BOOST_REQUIRE(arrival.Request.has_value());
  ColumnReader request(encodeStateRequest(*arrival.Request));
  BOOST_TEST((streamOf(request) == Stream));
}

// Hosts are upgraded one after the other. The kinds of messages must stay apart
// for both.
BOOST_AUTO_TEST_CASE(whole_reports_and_updates_are_told_apart) {
  std::mt19937_64 random(5);
  const FleetReport report = drawReport({}, random);
  const std::string whole = encodeFleetMessage(report);
  const std::string step = firstMessage(report);
  BOOST_TEST(messageKindOf(whole, FleetFormatNumber) ==
             static_cast<int>(FleetMessageKind::Report));
  BOOST_TEST(messageKindOf(step, FleetFormatNumber) ==
             static_cast<int>(FleetMessageKind::ReportUpdate));
  BOOST_TEST(
      messageKindOf(encodeFleetMessage(RelayedChanges{}), FleetFormatNumber) ==
      static_cast<int>(FleetMessageKind::RelayedChanges));
  BOOST_CHECK_THROW(decodeFleetMessage(step), PeerMessageRefused);
  const auto decoded = std::get<FleetReport>(decodeFleetMessage(whole));
  BOOST_TEST(haveSameContents(decoded, report));
}

BOOST_AUTO_TEST_SUITE_END()
