#pragma once

#include "LibBase/Time.h"
#include "LibPeer/PeerMessage.h"
#include <functional>
#include <string>

namespace sorrelbay {

/// Identifies a connection. Identifiers are never reused.
using ConnectionId = std::uint64_t;

/// The operations of a mesh on its connections. The transport calls MeshState
/// when a connection is opened or closed or has received a message, but never
/// from inside one of these functions.
struct MeshTransport {
  /// Starts to connect to "address:port".
  std::function<ConnectionId(const std::string &address)> Connect;
  std::function<void(ConnectionId, const std::string &bytes)> Send;
  /// Closes the connection immediately. No further event of it is reported.
  std::function<void(ConnectionId)> Close;
  /// Raises the limit on the size of received messages, once the peer is
  /// authenticated.
  std::function<void(ConnectionId)> RaiseMessageLimit;
};

/// Sends the reply to a peer's request. May be called once, from any thread.
using PeerRespond = std::function<void(const PeerReply &)>;

/// The callbacks of a mesh to its owner. They are called on the mesh's thread
/// without any of its locks held and must not block.
struct MeshHooks {
  /// Returns whether the signature of a peer's bundle is valid and the bundle
  /// has the generation that the mark names, even if it is not newer than the
  /// owner's. A bundle that is not accepted is dropped and counted.
  std::function<bool(const BundleMark &)> AcceptBundle;
  /// Called with the part of a peer's update that was not known before.
  std::function<void(const PeerKnowledge &)> OnKnowledge;
  /// Called when this host has received the peer's whole knowledge as of the
  /// given time, by this host's clock, except counters and reports of other
  /// hosts.
  std::function<void(const HostId &, Instant)> OnFresh;
  std::function<void(const HostId &, const PeerRequest &, PeerRespond)>
      OnRequest;
};

} // namespace sorrelbay
