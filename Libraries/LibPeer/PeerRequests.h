#pragma once

#include "LibPeer/MeshActions.h"
#include <map>
#include <set>
#include <vector>

namespace sorrelbay {

/// The outcome of a request to a peer. See the exceptions in PeerFailures.h.
enum class PeerRequestOutcome { Done, Declined, Unreachable, Unknown };

struct PeerRequestResult {
  PeerRequestOutcome RequestOutcome = PeerRequestOutcome::Unreachable;
  std::string Body;
};

using OnPeerResult = std::function<void(const PeerRequestResult &)>;

/// The pending requests to peers. Each is sent at most once, since the peer may
/// have executed it even if the reply was lost, and each gets exactly one
/// result.
class PeerRequests {
public:
  /// Adds a request that is not sent yet and returns its number.
  std::uint64_t add(const HostId &host, std::string kind, std::string body,
                    Instant deadline, OnPeerResult onResult);
  /// Returns the unsent requests for the host and marks them as sent over the
  /// connection.
  std::vector<PeerRequest> takeUnsent(const HostId &host,
                                      ConnectionId connection);
  void replied(ConnectionId connection, const PeerReply &reply);
  void connectionClosed(ConnectionId connection);
  void expire(Instant at);
  /// The hosts for which a request has not been sent yet.
  std::set<HostId> hostsWithUnsentRequests() const;

private:
  struct PendingRequest {
    HostId Host;
    PeerRequest Request;
    Instant Deadline{};
    OnPeerResult OnResult;
    /// 0 until the request is sent.
    ConnectionId SentOver = 0;
  };
  void finish(std::uint64_t number, const PeerRequestResult &result);

  std::map<std::uint64_t, PendingRequest> PendingRequests;
  std::uint64_t LastNumber = 0;
};

} // namespace sorrelbay
