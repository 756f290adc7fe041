#pragma once

#include "GatewayState.h"
#include "LibPeer/FleetLink.h"
#include "LibServing/FleetReportMerger.h"
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace sorrelbay {

/// What the rest of the daemon adds to its reports and takes from others'.
struct GatewayFleetHooks {
  /// This host as its peers should know it; its addresses are filled in here.
  std::function<FleetMember()> Self;
  /// What is known of moves by the hosts that the scope covers.
  std::function<std::string(ReportScope)> Moves;
  std::function<void(const std::string &)> OnPeerRollouts;
  /// Another host has passed on news of the store.
  std::function<void(const RelayedChanges &)> OnRelayedChanges;
};

/// This host's part in the fleet: finds the others in the store, tells them
/// what is open here, takes in what they tell, and passes on what the store
/// told where it aggregates for others. Belongs to the loop's thread.
class GatewayFleet {
public:
  GatewayFleet(GatewayState &state, GatewayFleetHooks hooks);

  /// Listens for peers. Throws PeerListenFailed.
  void listen();
  /// Begins to look for peers.
  void start();
  /// Gets out of the store's list of hosts.
  void leave();
  /// To be called several times a second.
  void tick(Instant now);
  void publish(Instant now);
  /// Tells the peers at once what is open, but no more than every few
  /// milliseconds.
  void publishSoon();
  /// The store has reported to this host; it passes that on to those that it
  /// aggregates for.
  void passOn(ResourceKind kind, std::uint64_t from,
              const ResourceChanges &changes, Instant begun);
  /// Whether this host aggregates for others.
  bool aggregates(Instant now) const {
    return State.Fleet.aggregates(self(), now);
  }
  /// Whether this host asks the store for all others.
  bool leads(Instant now) const { return State.Fleet.leads(self(), now); }
  FleetMember self() const;
  std::string address() const { return Link->address(); }

private:
  void heard(const FleetReport &report);
  FleetReport ownReport(Instant now) const;
  void sendOwnReport(const FleetReport &own, Instant now);
  void publishAggregates(const FleetReport &own, Instant now);
  void updateLinks(Instant now);
  void registerIfMissing(const std::vector<FleetMember> &members);
  void registerHost();
  void findPeers();

  GatewayState &State;
  GatewayFleetHooks Hooks;
  std::unique_ptr<FleetLink> Link;
  boost::asio::steady_timer SearchTimer;
  Instant ProcessStartedAt;
  FleetReportMerger ReportMerger;
  std::uint64_t Sequence = 0;
  Instant PublishedAt{};
  /// When a report last named all members, and who they were.
  Instant MembersSentAt{};
  std::map<ReportScope, std::vector<FleetMember>> Named;
  /// What each peer's clock showed when it last spoke.
  std::map<HostId, std::int64_t> PeerClocks;
  int PeerLookups = 0;
  bool IsRegistered = false;
};

} // namespace sorrelbay
