#include "LibPeer/MeshState.h"
#include "LibBase/LogLine.h"
#include "LibDecision/PeerChoice.h"

namespace sorrelbay {

/// The maximum number of connections in the handshake. Further ones are closed,
/// since a port scan could otherwise exhaust the file descriptors.
static constexpr std::size_t MaxHandshakes = 64;
/// A host counts as recently seen for this many report intervals.
static constexpr int RecentReportIntervals = 5;

MeshState::MeshState(MeshSettings settings, MeshTransport transport,
                     MeshHooks hooks, Instant at)
    : Settings(std::move(settings)), Transport(std::move(transport)),
      Hooks(std::move(hooks)), LastEventAt(at) {
  OwnReport.Zone = Settings.Zone;
  OwnReport.Incarnation = Settings.Incarnation;
  OwnReport.PeerAddress = Settings.PeerAddress;
  OwnReport.CallerAddress = Settings.CallerAddress;
  OwnReport.StartedAt = at;
  OwnAddresses.insert(Settings.PeerAddress);
  renewOwnReport(at);
}

void MeshState::stop() {
  dropAll();
  Requests.expire(Instant::max());
}

void MeshState::dropAll() {
  while (!LinksByConnection.empty())
    drop(LinksByConnection.begin()->first);
}

void MeshState::detectPause(Instant at) {
  // After a pause (a stopped process, a frozen machine) the sockets still hold
  // messages from before it, which would make stale knowledge look fresh. New
  // connections bring the current state.
  const bool wasPaused = at - LastEventAt > intervals().SilenceTimeout;
  LastEventAt = at;
  if (wasPaused)
    dropAll();
}

void MeshState::addLink(ConnectionId connection, PeerRole role,
                        std::string address, Instant at) {
  PeerHello own{Settings.Self, Settings.Incarnation, makeNonce()};
  LinksByConnection.emplace(
      connection, PeerLink(role, std::move(address), std::move(own), at));
}

void MeshState::accepted(ConnectionId connection, Instant at) {
  detectPause(at);
  std::size_t handshakes = 0;
  for (const auto &entry : LinksByConnection)
    handshakes += entry.second.Stage == LinkStage::Handshaking ? 1 : 0;
  if (handshakes >= MaxHandshakes) {
    Transport.Close(connection);
    return;
  }
  addLink(connection, PeerRole::Accepter, "", at);
  startHandshake(connection, at);
}

void MeshState::opened(ConnectionId connection, Instant at) {
  detectPause(at);
  if (LinksByConnection.count(connection) != 0)
    startHandshake(connection, at);
}

void MeshState::startHandshake(ConnectionId connection, Instant at) {
  PeerLink &link = LinksByConnection.at(connection);
  link.Stage = LinkStage::Handshaking;
  link.LastSeenAt = at;
  send(connection, link.own());
}

void MeshState::closed(ConnectionId connection, Instant at) {
  detectPause(at);
  LinksByConnection.erase(connection);
  Requests.connectionClosed(connection);
}

void MeshState::drop(ConnectionId connection) {
  LinksByConnection.erase(connection);
  Transport.Close(connection);
  Requests.connectionClosed(connection);
}

void MeshState::send(ConnectionId connection, const PeerMessage &message) {
  Transport.Send(connection, encodePeerMessage(message));
}

void MeshState::received(ConnectionId connection, const std::string &bytes,
                         Instant at) {
  detectPause(at);
  const auto it = LinksByConnection.find(connection);
  if (it == LinksByConnection.end())
    return;
  it->second.LastSeenAt = at;
  try {
    handle(connection, decodePeerMessage(bytes), at);
  } catch (const PeerHandshakeFailed &error) {
    ++Counts.HandshakeFailures;
    LogLine(Severity::Warning, "peer handshake failed")
        .field("why", error.what());
    drop(connection);
  } catch (const PeerMessageRefused &error) {
    ++Counts.RefusedMessages;
    LogLine(Severity::Warning, "refused a message from a peer")
        .field("why", error.what());
    drop(connection);
  }
}

void MeshState::handle(ConnectionId connection, const PeerMessage &message,
                       Instant at) {
  PeerLink &link = LinksByConnection.at(connection);
  if (const auto *hello = std::get_if<PeerHello>(&message)) {
    if (hello->Host == Settings.Self &&
        hello->Incarnation == Settings.Incarnation) {
      // A seed may be an address of this daemon itself.
      if (!link.Address.empty())
        OwnAddresses.insert(link.Address);
      drop(connection);
      return;
    }
    send(connection, link.acceptHello(*hello, Settings.Secrets.front()));
    return;
  }
  if (const auto *proof = std::get_if<PeerProof>(&message)) {
    link.verifyProof(*proof, Settings.Secrets);
    becomeLive(connection, at);
    return;
  }
  if (link.Stage != LinkStage::Live)
    throw PeerHandshakeFailed(
        "peer sent a message before the handshake was complete");
  handleLive(connection, message, at);
}

bool MeshState::dropDuplicateLink(ConnectionId connection) {
  const PeerLink &link = LinksByConnection.at(connection);
  for (const auto &[duplicateConnection, duplicateLink] : LinksByConnection) {
    if (duplicateConnection == connection ||
        duplicateLink.Stage != LinkStage::Live ||
        duplicateLink.host() != link.host())
      continue;
    // Both hosts may have connected at the same time. They must keep the same
    // connection, so they keep the one opened by the host with the lower id. In
    // all other cases the peer has already dropped the older connection.
    const bool isCrossed = duplicateLink.incarnation() == link.incarnation() &&
                           duplicateLink.Role != link.Role;
    const bool isOpenedByLowerId =
        (Settings.Self < link.host()) == (link.Role == PeerRole::Opener);
    if (isCrossed && !isOpenedByLowerId) {
      drop(connection);
      return true;
    }
    drop(duplicateConnection);
    return false;
  }
  return false;
}

void MeshState::becomeLive(ConnectionId connection, Instant at) {
  if (dropDuplicateLink(connection))
    return;
  PeerLink &link = LinksByConnection.at(connection);
  Transport.RaiseMessageLimit(connection);
  link.UsedAt = at;
  SeenHosts.recordContact(link.host(), at);
  sendUpdate(connection, LocalKnowledge);
  sendRequests();
}

void MeshState::handleLive(ConnectionId connection, const PeerMessage &message,
                           Instant at) {
  const HostId host = LinksByConnection.at(connection).host();
  SeenHosts.recordContact(host, at);
  if (const auto *peerUpdate = std::get_if<PeerUpdate>(&message))
    mergeUpdate(connection, peerUpdate->Knowledge, at);
  else if (const auto *heartbeat = std::get_if<PeerHeartbeat>(&message))
    replyToHeartbeat(connection, *heartbeat);
  else if (const auto *heartbeatReply =
               std::get_if<PeerHeartbeatReply>(&message))
    Hooks.OnFresh(host, heartbeatReply->HeartbeatSentAt);
  else if (const auto *reply = std::get_if<PeerReply>(&message))
    Requests.replied(connection, *reply);
  else if (const auto *request = std::get_if<PeerRequest>(&message))
    Hooks.OnRequest(host, *request,
                    [this, connection](const PeerReply &peerReply) {
                      respond(connection, peerReply);
                    });
}

void MeshState::replyToHeartbeat(ConnectionId connection,
                                 const PeerHeartbeat &heartbeat) {
  sendUpdate(connection, promptUpdate());
  send(connection, PeerHeartbeatReply{heartbeat.HeartbeatSentAt});
}

void MeshState::mergeUpdate(ConnectionId connection,
                            PeerKnowledge receivedKnowledge, Instant at) {
  if (LocalKnowledge.Bundle < receivedKnowledge.Bundle &&
      !Hooks.AcceptBundle(receivedKnowledge.Bundle)) {
    ++Counts.RefusedBundles;
    LogLine(Severity::Warning, "refused a bundle from a peer")
        .field("peer", LinksByConnection.at(connection).host().text());
    receivedKnowledge.Bundle = {};
  }
  merge(LinksByConnection.at(connection).KnownToPeer, receivedKnowledge);
  const PeerKnowledge newKnowledge =
      deltaFor(receivedKnowledge, LocalKnowledge);
  if (isEmpty(newKnowledge))
    return;
  merge(LocalKnowledge, newKnowledge);
  SeenHosts.recordNewReports(newKnowledge.Hosts, at);
  supersedeOlderIncarnation(at);
  Hooks.OnKnowledge(newKnowledge);
  // These must reach all hosts quickly; counters and reports are sent with the
  // next periodic update.
  const bool isUrgent = newKnowledge.Bundle.Generation != 0 ||
                        !newKnowledge.Leaving.empty() ||
                        !newKnowledge.Rollout.Vetoes.empty() ||
                        !newKnowledge.Rollout.Stages.empty();
  if (isUrgent)
    sendUpdateToAll(promptUpdate());
}

void MeshState::renewOwnReport(Instant at) {
  ReportedAt = at;
  ++OwnReport.Sequence;
  LocalKnowledge.Hosts[Settings.Self] = OwnReport;
}

void MeshState::supersedeOlderIncarnation(Instant at) {
  // Peers may have a report of an earlier incarnation whose clock was ahead of
  // this one's. They would treat it as the newer one and send no callers here.
  const HostReport &known = LocalKnowledge.Hosts[Settings.Self];
  if (known.Incarnation == Settings.Incarnation)
    return;
  OwnReport.StartedAt = known.StartedAt + Duration(1);
  renewOwnReport(at);
}

void MeshState::publish(const PeerKnowledge &ownKnowledge, Instant at) {
  detectPause(at);
  // Each call adds evidence; sending it for each call would cost more than the
  // calls themselves.
  const bool isOnlyEvidence = ownKnowledge.Bundle.Generation == 0 &&
                              ownKnowledge.Leaving.empty() &&
                              ownKnowledge.Rollout.Vetoes.empty() &&
                              ownKnowledge.Rollout.Stages.empty();
  if (merge(LocalKnowledge, ownKnowledge) && !isOnlyEvidence)
    sendUpdateToAll(promptUpdate());
}

void MeshState::keepEvidence(const std::set<VersionId> &versions) {
  LocalKnowledge.Rollout.Evidence.keepOnly(versions);
  for (auto &entry : LinksByConnection)
    entry.second.KnownToPeer.Rollout.Evidence.keepOnly(versions);
}

PeerKnowledge MeshState::promptUpdate() const {
  return promptPart(LocalKnowledge, {Settings.Self, Settings.Incarnation});
}

void MeshState::sendUpdateIfDue(Instant at) {
  if (at - FullUpdateSentAt >= intervals().FullUpdateInterval) {
    FullUpdateSentAt = at;
    UpdateSentAt = at;
    sendUpdateToAll(LocalKnowledge);
  } else if (at - UpdateSentAt >= intervals().UpdateInterval) {
    UpdateSentAt = at;
    sendUpdateToAll(promptUpdate());
  }
}

void MeshState::report(bool isLeaving,
                       std::map<UpstreamId, std::uint32_t> inFlight) {
  const bool isUrgent = isLeaving != OwnReport.IsLeaving;
  OwnReport.IsLeaving = isLeaving;
  OwnReport.InFlight = std::move(inFlight);
  if (isUrgent)
    ReportedAt = Instant();
}

void MeshState::sendUpdate(ConnectionId connection, const PeerKnowledge &part) {
  PeerLink &link = LinksByConnection.at(connection);
  const PeerKnowledge peerDelta = deltaFor(part, link.KnownToPeer);
  if (isEmpty(peerDelta))
    return;
  const std::string bytes = encodePeerMessage(PeerUpdate{peerDelta});
  ++Counts.UpdatesSent;
  Counts.UpdateBytesSent += bytes.size();
  merge(link.KnownToPeer, peerDelta);
  Transport.Send(connection, bytes);
}

void MeshState::sendUpdateToAll(const PeerKnowledge &part) {
  for (const auto &[connection, link] : LinksByConnection)
    if (link.Stage == LinkStage::Live)
      sendUpdate(connection, part);
}

void MeshState::request(const HostId &host, std::string kind, std::string body,
                        Instant deadline, OnPeerResult onResult) {
  if (LocalKnowledge.Hosts.count(host) == 0) {
    onResult({PeerRequestOutcome::Unreachable, "host is unknown"});
    return;
  }
  Requests.add(host, std::move(kind), std::move(body), deadline,
               std::move(onResult));
  sendRequests();
}

void MeshState::sendRequests() {
  for (auto &[connection, link] : LinksByConnection) {
    if (link.Stage != LinkStage::Live)
      continue;
    for (const PeerRequest &it : Requests.takeUnsent(link.host(), connection)) {
      link.UsedAt = LastEventAt;
      send(connection, it);
    }
  }
}

void MeshState::respond(ConnectionId connection, const PeerReply &reply) {
  const auto it = LinksByConnection.find(connection);
  if (it != LinksByConnection.end() && it->second.Stage == LinkStage::Live)
    send(connection, reply);
}

void MeshState::tick(Instant at) {
  detectPause(at);
  dropSilent(at);
  Requests.expire(at);
  if (at - ReportedAt >= intervals().HostReportInterval)
    renewOwnReport(at);
  eraseExpiredLeaving(LocalKnowledge, at);
  SeenHosts.eraseSilentHosts(LocalKnowledge, Settings.Self, at);
  sendUpdateIfDue(at);
  sendHeartbeats(at);
  reselectPeers(at);
}

void MeshState::reselectPeers(Instant at) {
  const bool isDue = at - PeersSelectedAt >= Settings.ConnectRetryInterval;
  if (!isDue && Requests.hostsWithUnsentRequests().empty())
    return;
  PeersSelectedAt = at;
  const std::set<std::string> wanted = wantedAddresses(at);
  connectTo(wanted, at);
  dropUnwanted(wanted, at);
}

const MeshIntervals &MeshState::intervals() const {
  return LocalKnowledge.Hosts.size() > FullMeshLimit
             ? Settings.LargeMeshIntervals
             : Settings.SmallMeshIntervals;
}

void MeshState::dropSilent(Instant at) {
  std::vector<ConnectionId> silent;
  for (const auto &[connection, link] : LinksByConnection) {
    const bool isLive = link.Stage == LinkStage::Live;
    const bool isSilent =
        isLive ? at - link.LastSeenAt > intervals().SilenceTimeout
               : at - link.OpenedAt > Settings.HandshakeTimeout;
    if (isSilent)
      silent.push_back(connection);
  }
  Counts.SilenceTimeouts += silent.size();
  for (const ConnectionId it : silent)
    drop(it);
}

void MeshState::sendHeartbeats(Instant at) {
  for (auto &[connection, link] : LinksByConnection) {
    if (link.Stage != LinkStage::Live ||
        at - link.HeartbeatSentAt < intervals().HeartbeatInterval)
      continue;
    link.HeartbeatSentAt = at;
    send(connection, PeerHeartbeat{at});
  }
}

void MeshState::dropUnwanted(const std::set<std::string> &wanted, Instant at) {
  // The selected peers change as hosts join and leave. Without this, a large
  // mesh would gradually become a full mesh.
  std::vector<ConnectionId> unwanted;
  for (const auto &[connection, link] : LinksByConnection)
    if (link.Role == PeerRole::Opener && link.Stage == LinkStage::Live &&
        wanted.count(addressOf(link)) == 0 &&
        at - link.UsedAt > Settings.UnselectedLinkIdleTimeout)
      unwanted.push_back(connection);
  for (const ConnectionId it : unwanted)
    drop(it);
}

std::string MeshState::addressOf(const PeerLink &link) const {
  const auto it = LocalKnowledge.Hosts.find(link.host());
  return it == LocalKnowledge.Hosts.end() ? link.Address
                                          : it->second.PeerAddress;
}

bool MeshState::isConnected(const std::string &address) const {
  for (const auto &[connection, link] : LinksByConnection) {
    if (link.Address == address ||
        (link.Stage == LinkStage::Live && addressOf(link) == address))
      return true;
  }
  return false;
}

std::set<std::string> MeshState::wantedAddresses(Instant at) const {
  std::set<std::string> wanted(Settings.Seeds.begin(), Settings.Seeds.end());
  std::vector<PeerCandidate> candidates;
  for (const auto &[host, report] : LocalKnowledge.Hosts) {
    // A seed whose host is known is needed only if that host is selected.
    wanted.erase(report.PeerAddress);
    if (host != Settings.Self && SeenHosts.isWorthConnecting(host, at))
      candidates.push_back({host, report.Zone});
  }
  std::set<HostId> hosts = Requests.hostsWithUnsentRequests();
  for (const HostId &it : choosePeers(Settings.Self, candidates))
    hosts.insert(it);
  for (const HostId &it : hosts) {
    const auto known = LocalKnowledge.Hosts.find(it);
    if (known != LocalKnowledge.Hosts.end())
      wanted.insert(known->second.PeerAddress);
  }
  for (const std::string &it : OwnAddresses)
    wanted.erase(it);
  return wanted;
}

void MeshState::connectTo(const std::set<std::string> &wanted, Instant at) {
  for (auto it = LastAttemptAt.begin(); it != LastAttemptAt.end();)
    it = wanted.count(it->first) == 0 ? LastAttemptAt.erase(it) : std::next(it);
  for (const std::string &address : wanted) {
    if (address.empty() || isConnected(address))
      continue;
    const auto [it, isFirst] = LastAttemptAt.emplace(address, at);
    if (!isFirst && at - it->second < Settings.ConnectRetryInterval)
      continue;
    it->second = at;
    addLink(Transport.Connect(address), PeerRole::Opener, address, at);
  }
}

std::vector<PeerView> MeshState::peers(Instant at) const {
  const Duration seenWithin =
      RecentReportIntervals * intervals().HostReportInterval;
  std::vector<PeerView> out;
  for (const auto &[host, report] : LocalKnowledge.Hosts)
    if (host != Settings.Self)
      out.push_back({host, report.Zone, report.CallerAddress, report.IsLeaving,
                     SeenHosts.wasSeenRecently(host, at, seenWithin)});
  return out;
}

std::set<HostId> MeshState::linkedHosts() const {
  std::set<HostId> out;
  for (const auto &[connection, link] : LinksByConnection)
    if (link.Stage == LinkStage::Live)
      out.insert(link.host());
  return out;
}

MeshCounts MeshState::counts() const {
  MeshCounts out = Counts;
  out.LiveLinks = linkedHosts().size();
  return out;
}

} // namespace sorrelbay
