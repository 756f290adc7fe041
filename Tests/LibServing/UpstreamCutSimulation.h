#pragma once

#include "LibServing/AddressLookup.h"
#include "LibServing/DeferredFailures.h"
#include "LibServing/RelayPeers.h"
#include "LibServing/UpstreamReachability.h"
#include "SimulatedHost.h"
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace sorrelbay {

/// Which paths between hosts and upstreams a cut affects.
enum class CutExtent {
  /// A third of the hosts, from all upstreams.
  ThirdOfHosts,
  /// All hosts of a zone, from all upstreams.
  Zone,
  /// All hosts but one, from all upstreams.
  AllButOne,
  /// Half of the hosts, from the upstreams of one service.
  OneService,
  /// All upstreams are down; no host is cut off.
  AllUpstreams,
};

/// What happens to connections on a path that is cut.
enum class CutManner {
  /// Open connections are silent, new ones time out.
  Hang,
  /// Open connections are reset, new ones refused.
  Reset,
  /// Open connections go on, new ones are refused.
  RefuseNew,
};

/// What a host does about a service that it can't reach. Some are disabled to
/// compare them, and to verify that the checks detect their absence.
struct CutMeasures {
  /// Address lookups leave it out.
  bool LeavesLookups = true;
  /// It relays calls to a host that reaches the service.
  bool RelaysCalls = true;
  /// Its failures are no evidence against versions.
  bool DefersFailures = true;
};

/// The parameters of one random run. Values are drawn from the seed.
struct UpstreamCutPlan {
  std::uint64_t Seed = 0;
  int Hosts = 6;
  int Zones = 4;
  CutExtent Extent = CutExtent::ThirdOfHosts;
  CutManner Manner = CutManner::Hang;
  /// The first cut begins when the hosts start.
  bool BeginsAtStart = false;
  /// Hosts are killed and start again.
  bool HasKills = false;
  CutMeasures Measures;
  /// The run goes on after a violation, to compare measures.
  bool GoesOnAfterViolation = false;
};

/// Several hosts that serve callers from the upstreams of two services. A few
/// cuts follow each other, some shortly. Callers look up addresses and keep
/// them for 2 s, a third of them for 6 s. Simulated time; what hosts decide and
/// report is the daemon's code. The check is the platform's rule: from 3 s
/// after a cut began until its end, first tries at the cut hosts are not served
/// less than two thirds as often as those at the others while more than 10 + 1
/// in 50 of all first tries fail there. Besides: a cut is noticed within a
/// second, no call that begins after its end fails, no failure of a cut host
/// counts against a version, no call that may run only once runs twice, relayed
/// calls are spread over the hosts, none is relayed if no host reaches the
/// upstreams, and lookups never lead all callers to a minority of the hosts.
class UpstreamCutSimulation {
public:
  explicit UpstreamCutSimulation(const UpstreamCutPlan &plan);

  /// Runs until the last cut is over and returns the first violation; empty if
  /// there is none.
  std::string simulate();

  int relayedCalls() const { return RelayedCalls; }
  /// Of the first tries at cut hosts that the rule counts, those not served and
  /// all.
  int failedTries() const { return FailedTries; }
  int countedTries() const { return CountedTries; }

private:
  struct Host : SimulatedHost {
    UpstreamReachability Paths;
    RelayPeers Relays;
    DeferredFailures Failures;
    /// When the idle connections to each upstream were last used.
    std::map<UpstreamId, std::vector<Instant>> Idle;
  };
  struct Cut {
    Instant From{};
    Instant Until{};
    std::set<std::size_t> Hosts;
    /// Empty for all services.
    ServiceId Service;
    int Tries = 0;
    int Served = 0;
    int OtherTries = 0;
    int OtherServed = 0;
    std::map<std::size_t, int> RelayedTo;
    /// The calls that each host got since the cut began.
    std::map<std::size_t, int> Calls;
  };
  enum class CallState { Relaying, Connecting, UnderWay, Answering };
  struct Call {
    CallState State = CallState::Connecting;
    Instant BegunAt{};
    Instant NextAt{};
    Instant SentAt{};
    std::size_t Caller = 0;
    bool IsFirstTry = true;
    ServiceId Service;
    /// The host that the caller sent it to, and the one that sends it to an
    /// upstream.
    std::size_t Entry = 0;
    std::size_t Worker = 0;
    IncarnationId EntryProcess;
    IncarnationId WorkerProcess;
    UpstreamId Upstream;
    bool IsNewConnection = false;
    bool IsWaiting = false;
    bool WillFail = false;
    int FailedConnects = 0;
    int Runs = 0;
    std::vector<UpstreamId> Tried;
    std::vector<HostId> TriedPeers;
    bool IsDone = false;
  };
  struct Probe {
    Instant At{};
    std::size_t Host = 0;
    IncarnationId Process;
    ServiceId Service;
    UpstreamId Upstream;
    bool IsConnected = false;
  };
  struct Caller {
    std::vector<std::string> Addresses;
    Instant FetchedAt{};
    Duration TimeToLive{};
    std::set<std::string> Failed;
  };

  void planCuts();
  std::set<std::size_t> cutHosts(int number);
  void startProcess(Host &host);
  void injectKill();
  const Cut *cutOf(std::size_t host, const ServiceId &service,
                   Instant at) const;
  bool isConnectable(std::size_t host, const ServiceId &service) const;
  void resetConnections();
  FleetMember member(const Host &host) const;
  void updateMember(Host &host);
  void sendReports(std::size_t from);
  void deliver();
  void lookUp(Caller &caller);
  std::optional<std::size_t> chooseHost(Caller &caller);
  void beginCalls();
  void begin(Call call);
  void place(Call &call);
  bool relay(Call &call);
  bool chooseUpstream(Call &call);
  void advance(Call &call);
  void onRelayed(Call &call);
  void onConnected(Call &call);
  void send(Call &call);
  void onArrival(Call &call);
  void onResponse(Call &call);
  void failSend(Call &call);
  void endSend(Call &call, SendResult result);
  void finish(Call &call, bool isServed);
  void noteReachability(std::size_t host, const ServiceId &service,
                        const UpstreamId &upstream, bool isConnected);
  void probe(std::size_t host);
  void endProbes();
  void countFailures(std::size_t host);
  void checkRule(const Cut &cut);
  void checkNoticed(const Cut &cut);
  void checkSpread(const Cut &cut);
  void violate(const std::string &what);
  double draw();

  UpstreamCutPlan Plan;
  std::mt19937_64 Random;
  std::vector<Host> Hosts;
  std::vector<ReplicaRecord> Upstreams;
  std::vector<FleetMember> Registered;
  std::vector<Caller> Callers;
  std::vector<Cut> Cuts;
  std::vector<Call> Calls;
  std::vector<Call> Begun;
  std::vector<Probe> Probes;
  std::vector<SimulatedMessage> InFlightMessages;
  Instant Start{seconds(5000)};
  Instant Now;
  Instant End{};
  int RelayedCalls = 0;
  int FailedTries = 0;
  int CountedTries = 0;
  std::string Violation;
};

} // namespace sorrelbay
