#pragma once

#include "FleetCostLog.h"
#include "GatewayState.h"
#include "LibPeer/FleetLink.h"
#include "LibPeer/SumSchedule.h"
#include "LibServing/FleetReportMerger.h"
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace sorrelbay {

/// Callbacks by which the rest of the daemon adds to this host's reports and
/// receives data from peers.
struct GatewayFleetHooks {
  /// This host's entry for its reports. GatewayFleet fills in host, zone, peer
  /// address and capacity.
  std::function<FleetMember()> Self;
  /// Encoded rollout knowledge of the hosts that the scope covers.
  std::function<std::string(ReportScope)> EncodedRollouts;
  std::function<void(const std::string &)> OnPeerRollouts;
  /// A peer relayed changes from the store.
  std::function<void(const RelayedChanges &)> OnRelayedChanges;
};

/// Connects this host to the fleet: discovers peers through the store,
/// publishes this host's open work, merges peers' reports, and relays store
/// changes to the hosts it aggregates for. Used only on the event loop's
/// thread.
class GatewayFleet {
public:
  GatewayFleet(GatewayState &state, GatewayFleetHooks hooks);

  /// Opens the listener for peers. Throws PeerListenFailed.
  void listen();
  /// Starts peer discovery.
  void start();
  /// Removes this host's entry from the store.
  void leave();
  /// To be called several times a second.
  void tick(Instant now);
  void publish(Instant now);
  /// Publishes a report now, unless the last one is only milliseconds old.
  void publishPromptly();
  /// The same for news about crashes, which no later news displaces.
  void publishCrashes();
  /// Relays the changes that a store watch returned to the hosts this host
  /// aggregates for; does nothing if there are none. `begun` is the start of
  /// the store call.
  void relayChanges(ResourceKind kind, std::uint64_t from,
                    const ResourceChanges &changes, Instant begun);
  /// Whether this host aggregates reports for its group of hosts.
  bool aggregates(Instant now) const {
    return State.Fleet.aggregates(self(), now);
  }
  /// Whether this host watches the store for the whole fleet.
  bool isFleetLeader(Instant now) const {
    return State.Fleet.isFleetLeader(self(), now);
  }
  FleetMember self() const;
  std::string address() const { return Link->address(); }
  /// What the messages between hosts have cost this one.
  const FleetCost &cost() const { return Link->cost(); }

private:
  void applyReport(const FleetReport &report);
  FleetReport withoutImplausible(FleetReport report);
  FleetReport ownReport(Instant now);
  void sendOwnReport(const FleetReport &own, Instant now);
  void publishAggregates(const FleetReport &own, Instant now);
  void publishSum(ReportStream stream, const std::vector<HostId> &to,
                  FleetReport sum, Instant now);
  void confirmRelayedChanges(RelayedChanges confirmation,
                             const std::vector<HostId> &peers);
  void updateLinks(Instant now);
  void registerIfMissing(const std::vector<FleetMember> &members,
                         bool isLatest);
  void registerHost();
  void lookUpPeers();
  void listPeers();

  GatewayState &State;
  GatewayFleetHooks Hooks;
  std::unique_ptr<FleetLink> Link;
  boost::asio::steady_timer LookupTimer;
  /// Set while a prompt report waits for MinPublishInterval to pass.
  boost::asio::steady_timer PublishTimer;
  bool IsPublishDue = false;
  Instant ProcessStartedAt;
  FleetReportMerger ReportMerger;
  std::uint64_t Sequence = 0;
  Instant PublishedAt{};
  SumSchedule Sums;
  RepeatFilter OwnRepeats;
  FleetCostLog CostLog;
  /// Each peer's boot clock in its last report, in microseconds. It is sent
  /// back with relayed changes.
  std::map<HostId, std::int64_t> PeerClocks;
  /// Processes of peers whose reports had implausible figures, once logged.
  std::set<IncarnationId> ImplausibleReporters;
  int PeerLookups = 0;
  bool IsRegistered = false;
};

} // namespace sorrelbay
