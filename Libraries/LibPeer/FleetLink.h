#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include "LibServing/FleetReport.h"
#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace sorrelbay {

/// Sends this host's reports to all peers that are known, and hears theirs.
/// Each host keeps a connection of its own to each peer and speaks only on
/// that one; a connection that has broken or gone silent is made anew. Belongs
/// to the loop's thread.
class FleetLink {
public:
  using ReportHook = std::function<void(const FleetReport &)>;

  /// Listens on "ip:port". Throws PeerListenFailed.
  FleetLink(boost::asio::io_context &loop, const std::string &listen,
            ReportHook onReport);
  ~FleetLink();
  FleetLink(const FleetLink &) = delete;
  FleetLink &operator=(const FleetLink &) = delete;

  std::string address() const;
  /// A peer and where it listens; again with another address if it has moved.
  void addPeer(const HostId &peer, const std::string &address);
  void removePeer(const HostId &peer);
  /// Sends the report on each connection that is open, and begins to connect
  /// where there is none.
  void publish(const FleetReport &report, Instant now);

  struct Impl;

private:
  std::shared_ptr<Impl> All;
};

} // namespace sorrelbay
