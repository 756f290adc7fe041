#pragma once

#include "LibPeer/ReportInbox.h"
#include "LibPeer/ReportOutbox.h"
#include "LibPeer/SumSchedule.h"
#include "LibServing/FleetView.h"
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <ostream>
#include <random>
#include <vector>

namespace sorrelbay {

/// The size of a fleet in six zones. Each host takes about one call a second.
struct FleetSize {
  int Hosts = 0;
  int Upstreams = 0;
  int Teams = 0;

  friend std::ostream &operator<<(std::ostream &out, const FleetSize &it) {
    return out << it.Hosts << " hosts";
  }
};

/// What the messages of one role cost in the counted time.
struct RoleCost {
  std::int64_t MessagesReceived = 0;
  std::int64_t BytesReceived = 0;
  std::int64_t ValuesDecoded = 0;
  std::int64_t MessagesSent = 0;
  std::int64_t BytesSent = 0;
};

/// Calls that begin and end, as a report shows them.
class SampleCalls {
public:
  SampleCalls(const FleetSize &size, double callsPerSecond)
      : Size(size), CallsPerSecond(callsPerSecond) {}

  /// Lets time pass and changes the report accordingly.
  void advance(FleetReport &report, Duration span, Instant now,
               std::mt19937_64 &random);

private:
  struct Call {
    Instant EndsAt{};
    UpstreamId Upstream;
    OutstandingWork Work;
  };

  void begin(FleetReport &report, Instant now, std::mt19937_64 &random);
  void end(FleetReport &report, const Call &call);

  FleetSize Size;
  double CallsPerSecond;
  std::deque<Call> Open;
  std::map<TeamId, Instant> RefilledAt;
};

/// One zone's reports as its aggregator and one of its ordinary hosts get them:
/// the daemon's units without sockets. The other hosts only report.
class FleetCostModel {
public:
  explicit FleetCostModel(const FleetSize &size);

  /// Lets that many reports of each host go round, and counts them if asked to.
  void rounds(int count, bool isCounted);

  const RoleCost &ordinaryHost() const { return Ordinary; }
  const RoleCost &aggregator() const { return Aggregator; }
  /// The zone's sum and the sum of the others as the ordinary host holds them;
  /// null before it got one.
  const FleetReport *ownZoneSum() const {
    return OrdinaryView->reportOf(SourceId("own zone"));
  }
  const FleetReport *otherZonesSum() const {
    return OrdinaryView->reportOf(SourceId("other zones"));
  }
  /// What hosts of the zone, and of other zones, have open.
  int openInZone() const;
  int openInOtherZones() const;

private:
  struct Host {
    FleetMember Member;
    FleetReport Report;
    SampleCalls Calls;
    ReportOutbox Outbox;
    ReportInbox InboxAtAggregator;
  };

  void reportToAggregator(Host &host);
  void reportOfOtherZones();
  void publishSums();
  void publish(ReportStream stream, FleetReport sum, std::size_t receivers);
  void deliverToOrdinaryHost(ReportStream stream);
  static std::int64_t valuesIn(const std::string &message);

  FleetSize Size;
  Instant Now{seconds(1000)};
  std::mt19937_64 Random{7};
  std::vector<Host> Hosts;
  std::vector<Host> OtherZones;
  std::unique_ptr<FleetView> AggregatorView;
  std::unique_ptr<FleetView> OrdinaryView;
  ReportOutbox SumOutbox;
  ReportInbox OrdinaryInbox;
  SumSchedule Sums;
  std::uint64_t Sequence = 0;
  bool IsCounted = false;
  RoleCost Ordinary;
  RoleCost Aggregator;
};

} // namespace sorrelbay
