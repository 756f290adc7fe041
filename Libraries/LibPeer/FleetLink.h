#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include "LibPeer/FleetCost.h"
#include "LibPeer/FleetReportCodec.h"
#include "LibPeer/ReportStream.h"
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace sorrelbay {

/// Exchanges messages with the other entry hosts. Each host opens one
/// connection to each peer that it sends to and sends only on connections that
/// it has opened itself; it receives on connections from any peer. A connection
/// that has failed or gone silent is replaced. Must be used only on the loop's
/// thread.
class FleetLink {
public:
  /// A peer to connect to.
  struct PeerEndpoint {
    /// The address that it listens on.
    std::string Address;
    /// See FleetMember::AcceptsUpdates.
    bool AcceptsUpdates = false;
  };

  struct Hooks {
    std::function<void(const FleetReport &)> OnReport;
    std::function<void(const RelayedChanges &)> OnRelayedChanges;
  };

  /// Listens on "ip:port". `self` is this host. Throws PeerListenFailed if it
  /// can't listen.
  FleetLink(boost::asio::io_context &loop, const std::string &listen,
            const HostId &self, Hooks hooks);
  ~FleetLink();
  FleetLink(const FleetLink &) = delete;
  FleetLink &operator=(const FleetLink &) = delete;

  std::string address() const;
  /// Sets the peers to connect to. Closes the connections to all other peers
  /// and starts to connect to the peers without a connection. To be called
  /// repeatedly; `now` is used for the timeout and the interval of the
  /// attempts.
  void keep(const std::map<HostId, PeerEndpoint> &peers, Instant now);
  /// Sends the message to each of the peers that has an open connection.
  void send(const std::vector<HostId> &peers, const RelayedChanges &relayed);
  /// Adds the next report of the stream and sends it to those of the peers that
  /// have an open connection: what has changed since the last report that they
  /// were sent, or the whole of it. Nothing is added to a connection on which
  /// many bytes still wait; such a peer gets the changes with a later report.
  void sendReport(ReportStream stream, const std::vector<HostId> &peers,
                  const FleetReport &report);
  /// The bytes that the stream's newest report takes at a receiver that has the
  /// one before.
  std::size_t stepBytes(ReportStream stream) const;
  const FleetCost &cost() const;

  struct Impl;

private:
  std::shared_ptr<Impl> Implementation;
};

} // namespace sorrelbay
