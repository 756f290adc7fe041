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

/// Sends this host's messages to those peers that it has something to tell, and
/// hears what any peer tells. Each host keeps a connection of its own to each
/// of them and speaks only on that one; a connection that has broken or gone
/// silent is made anew. Belongs to the loop's thread.
class FleetLink {
public:
  struct Hooks {
    std::function<void(const FleetReport &)> OnReport;
    std::function<void(const RelayedChanges &)> OnRelayedChanges;
  };

  /// Listens on "ip:port". Throws PeerListenFailed.
  FleetLink(boost::asio::io_context &loop, const std::string &listen,
            Hooks hooks);
  ~FleetLink();
  FleetLink(const FleetLink &) = delete;
  FleetLink &operator=(const FleetLink &) = delete;

  std::string address() const;
  /// The peers to be connected to, and where they listen; connections to
  /// others end. Begins to connect where there is no connection.
  void keep(const std::map<HostId, std::string> &peers, Instant now);
  /// Sends the message to those of the peers whose connection is open.
  void send(const std::vector<HostId> &peers, const std::string &bytes);

  struct Impl;

private:
  std::shared_ptr<Impl> All;
};

} // namespace sorrelbay
