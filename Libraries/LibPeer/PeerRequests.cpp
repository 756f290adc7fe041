#include "LibPeer/PeerRequests.h"

namespace sorrelbay {

std::uint64_t PeerRequests::add(const HostId &host, std::string kind,
                                std::string body, Instant deadline,
                                OnPeerResult onResult) {
  const std::uint64_t number = ++LastNumber;
  PendingRequests[number] = {host,
                             {number, std::move(kind), std::move(body)},
                             deadline,
                             std::move(onResult),
                             0};
  return number;
}

std::vector<PeerRequest> PeerRequests::takeUnsent(const HostId &host,
                                                  ConnectionId connection) {
  std::vector<PeerRequest> out;
  for (auto &[number, pendingRequest] : PendingRequests) {
    if (pendingRequest.SentOver != 0 || pendingRequest.Host != host)
      continue;
    pendingRequest.SentOver = connection;
    out.push_back(std::move(pendingRequest.Request));
  }
  return out;
}

void PeerRequests::finish(std::uint64_t number,
                          const PeerRequestResult &result) {
  const auto it = PendingRequests.find(number);
  const OnPeerResult onResult = std::move(it->second.OnResult);
  PendingRequests.erase(it);
  onResult(result);
}

void PeerRequests::replied(ConnectionId connection, const PeerReply &reply) {
  const auto it = PendingRequests.find(reply.Number);
  // A reply over a connection other than the request's is for a request of an
  // earlier incarnation or of another peer.
  if (it == PendingRequests.end() || it->second.SentOver != connection)
    return;
  finish(reply.Number, {reply.IsDone ? PeerRequestOutcome::Done
                                     : PeerRequestOutcome::Declined,
                        reply.Body});
}

void PeerRequests::connectionClosed(ConnectionId connection) {
  std::vector<std::uint64_t> lostRequests;
  for (const auto &[number, pendingRequest] : PendingRequests)
    if (pendingRequest.SentOver == connection)
      lostRequests.push_back(number);
  for (const std::uint64_t it : lostRequests)
    finish(it,
           {PeerRequestOutcome::Unknown, "connection closed before the reply"});
}

void PeerRequests::expire(Instant at) {
  std::vector<std::uint64_t> expiredRequests;
  for (const auto &[number, pendingRequest] : PendingRequests)
    if (pendingRequest.Deadline <= at)
      expiredRequests.push_back(number);
  for (const std::uint64_t it : expiredRequests) {
    const bool wasSent = PendingRequests.at(it).SentOver != 0;
    finish(it, {wasSent ? PeerRequestOutcome::Unknown
                        : PeerRequestOutcome::Unreachable,
                "no reply before the deadline"});
  }
}

std::set<HostId> PeerRequests::hostsWithUnsentRequests() const {
  std::set<HostId> out;
  for (const auto &[number, pendingRequest] : PendingRequests)
    if (pendingRequest.SentOver == 0)
      out.insert(pendingRequest.Host);
  return out;
}

} // namespace sorrelbay
