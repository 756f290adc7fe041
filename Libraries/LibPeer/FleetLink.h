#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include "LibPeer/FleetReportCodec.h"
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
  struct Hooks {
    std::function<void(const FleetReport &)> OnReport;
    std::function<void(const RelayedChanges &)> OnRelayedChanges;
  };

  /// Listens on "ip:port". Throws PeerListenFailed if it can't.
  FleetLink(boost::asio::io_context &loop, const std::string &listen,
            Hooks hooks);
  ~FleetLink();
  FleetLink(const FleetLink &) = delete;
  FleetLink &operator=(const FleetLink &) = delete;

  std::string address() const;
  /// Sets the peers to connect to, with the addresses that they listen on.
  /// Closes the connections to all other peers and starts to connect to the
  /// peers without a connection. To be called repeatedly; `now` is used for the
  /// timeout and the interval of the attempts.
  void keep(const std::map<HostId, std::string> &peers, Instant now);
  /// Sends the message to each of the peers that has an open connection.
  void send(const std::vector<HostId> &peers, const std::string &bytes);

  struct Impl;

private:
  std::shared_ptr<Impl> Implementation;
};

} // namespace sorrelbay
