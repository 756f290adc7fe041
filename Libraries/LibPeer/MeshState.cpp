#include "LibPeer/MeshState.h"
#include "LibBase/LogLine.h"
#include "LibDecision/PeerChoice.h"

namespace sorrelbay {

/// Connections that have not proved who they are; more are turned away, or a
/// port scan could use up all files.
static constexpr std::size_t MaxGreetings = 64;
/// A host is held for living for the time of so many of its reports.
static constexpr int LivingReports = 5;

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
  while (!All.empty())
    drop(All.begin()->first);
}

void MeshState::detectPause(Instant at) {
  // After a pause (a stopped process, a frozen machine) the sockets still hold
  // messages from before it. Taken for signs of life they would make old
  // knowledge look fresh, so the connections go and new ones bring what holds
  // now.
  const bool wasPaused = at - LastEventAt > pace().SilenceTimeout;
  LastEventAt = at;
  if (wasPaused)
    dropAll();
}

void MeshState::addLink(ConnectionId connection, PeerRole role,
                        std::string address, Instant at) {
  PeerHello own{Settings.Self, Settings.Incarnation, makeNonce()};
  All.emplace(connection,
              PeerLink(role, std::move(address), std::move(own), at));
}

void MeshState::accepted(ConnectionId connection, Instant at) {
  detectPause(at);
  std::size_t greetings = 0;
  for (const auto &entry : All)
    greetings += entry.second.Stage == LinkStage::Handshaking ? 1 : 0;
  if (greetings >= MaxGreetings) {
    Transport.Close(connection);
    return;
  }
  addLink(connection, PeerRole::Accepter, "", at);
  greet(connection, at);
}

void MeshState::opened(ConnectionId connection, Instant at) {
  detectPause(at);
  if (All.count(connection) != 0)
    greet(connection, at);
}

void MeshState::greet(ConnectionId connection, Instant at) {
  PeerLink &link = All.at(connection);
  link.Stage = LinkStage::Handshaking;
  link.LastSeenAt = at;
  send(connection, link.own());
}

void MeshState::closed(ConnectionId connection, Instant at) {
  detectPause(at);
  All.erase(connection);
  Requests.connectionClosed(connection);
}

void MeshState::drop(ConnectionId connection) {
  All.erase(connection);
  Transport.Close(connection);
  Requests.connectionClosed(connection);
}

void MeshState::send(ConnectionId connection, const PeerMessage &message) {
  Transport.Send(connection, encodePeerMessage(message));
}

void MeshState::received(ConnectionId connection, const std::string &bytes,
                         Instant at) {
  detectPause(at);
  const auto it = All.find(connection);
  if (it == All.end())
    return;
  it->second.LastSeenAt = at;
  try {
    handle(connection, decodePeerMessage(bytes), at);
  } catch (const PeerHandshakeFailed &error) {
    ++Counts.HandshakeFailures;
    LogLine(Severity::Warning, "wrong peer hello").field("why", error.what());
    drop(connection);
  } catch (const PeerMessageRefused &error) {
    ++Counts.RefusedMessages;
    LogLine(Severity::Warning, "peer message refused")
        .field("why", error.what());
    drop(connection);
  }
}

void MeshState::handle(ConnectionId connection, const PeerMessage &message,
                       Instant at) {
  PeerLink &link = All.at(connection);
  if (const auto *hello = std::get_if<PeerHello>(&message)) {
    if (hello->Host == Settings.Self &&
        hello->Incarnation == Settings.Incarnation) {
      // A seed may be this daemon itself, under any of its addresses.
      if (!link.Address.empty())
        OwnAddresses.insert(link.Address);
      drop(connection);
      return;
    }
    send(connection, link.greet(*hello, Settings.Secrets.front()));
    return;
  }
  if (const auto *proof = std::get_if<PeerProof>(&message)) {
    link.prove(*proof, Settings.Secrets);
    becomeLive(connection, at);
    return;
  }
  if (link.Stage != LinkStage::Live)
    throw PeerHandshakeFailed("a peer spoke before it proved who it is");
  handleLive(connection, message, at);
}

bool MeshState::dropDuplicateLink(ConnectionId connection) {
  const PeerLink &link = All.at(connection);
  for (const auto &[twinConnection, twin] : All) {
    if (twinConnection == connection || twin.Stage != LinkStage::Live ||
        twin.host() != link.host())
      continue;
    // Both hosts may have connected at once. Both must keep the same one, so
    // the lower id's counts; in all other cases the peer has given the older
    // one up.
    const bool isCrossed =
        twin.incarnation() == link.incarnation() && twin.Role != link.Role;
    const bool isLowersOwn =
        (Settings.Self < link.host()) == (link.Role == PeerRole::Opener);
    if (isCrossed && !isLowersOwn) {
      drop(connection);
      return true;
    }
    drop(twinConnection);
    return false;
  }
  return false;
}

void MeshState::becomeLive(ConnectionId connection, Instant at) {
  if (dropDuplicateLink(connection))
    return;
  PeerLink &link = All.at(connection);
  Transport.Trust(connection);
  link.UsedAt = at;
  Heard.noteAlive(link.host(), at);
  sendUpdate(connection, Mine);
  sendRequests();
}

void MeshState::handleLive(ConnectionId connection, const PeerMessage &message,
                           Instant at) {
  const HostId host = All.at(connection).host();
  Heard.noteAlive(host, at);
  if (const auto *news = std::get_if<PeerUpdate>(&message))
    takeNews(connection, news->Knowledge, at);
  else if (const auto *heartbeat = std::get_if<PeerHeartbeat>(&message))
    answerHeartbeat(connection, *heartbeat);
  else if (const auto *alive = std::get_if<PeerHeartbeatReply>(&message))
    Hooks.OnFresh(host, alive->AskedAt);
  else if (const auto *reply = std::get_if<PeerReply>(&message))
    Requests.replied(connection, *reply);
  else if (const auto *request = std::get_if<PeerRequest>(&message))
    Hooks.OnRequest(host, *request,
                    [this, connection](const PeerReply &answer) {
                      respond(connection, answer);
                    });
}

void MeshState::answerHeartbeat(ConnectionId connection,
                                const PeerHeartbeat &heartbeat) {
  sendUpdate(connection, promptUpdate());
  send(connection, PeerHeartbeatReply{heartbeat.AskedAt});
}

void MeshState::takeNews(ConnectionId connection, PeerKnowledge news,
                         Instant at) {
  if (Mine.Bundle < news.Bundle && !Hooks.AcceptBundle(news.Bundle)) {
    ++Counts.RefusedBundles;
    LogLine(Severity::Warning, "peer's bundle refused")
        .field("peer", All.at(connection).host().text());
    news.Bundle = {};
  }
  merge(All.at(connection).Theirs, news);
  const PeerKnowledge fresh = deltaFor(news, Mine);
  if (isEmpty(fresh))
    return;
  merge(Mine, fresh);
  Heard.noteNews(fresh.Hosts, at);
  supersedeOlderIncarnation(at);
  Hooks.OnKnowledge(fresh);
  // These must be known everywhere soon; counts and reports go with the next
  // rounds.
  const bool isUrgent =
      fresh.Bundle.Generation != 0 || !fresh.Leaving.empty() ||
      !fresh.Rollout.Vetoes.empty() || !fresh.Rollout.Stages.empty();
  if (isUrgent)
    sendUpdateToAll(promptUpdate());
}

void MeshState::renewOwnReport(Instant at) {
  ReportedAt = at;
  ++OwnReport.Sequence;
  Mine.Hosts[Settings.Self] = OwnReport;
}

void MeshState::supersedeOlderIncarnation(Instant at) {
  // Peers may hold a report of an earlier life whose clock was ahead of ours;
  // they would take it for the newer one and send nobody here.
  const HostReport &known = Mine.Hosts[Settings.Self];
  if (known.Incarnation == Settings.Incarnation)
    return;
  OwnReport.StartedAt = known.StartedAt + Duration(1);
  renewOwnReport(at);
}

void MeshState::publish(const PeerKnowledge &news, Instant at) {
  detectPause(at);
  // Each call counts as evidence; telling each one by itself would cost more
  // than the calls.
  const bool isOnlyEvidence =
      news.Bundle.Generation == 0 && news.Leaving.empty() &&
      news.Rollout.Vetoes.empty() && news.Rollout.Stages.empty();
  if (merge(Mine, news) && !isOnlyEvidence)
    sendUpdateToAll(promptUpdate());
}

void MeshState::keepEvidence(const std::set<VersionId> &versions) {
  Mine.Rollout.Evidence.keepOnly(versions);
  for (auto &entry : All)
    entry.second.Theirs.Rollout.Evidence.keepOnly(versions);
}

PeerKnowledge MeshState::promptUpdate() const {
  return promptPart(Mine, {Settings.Self, Settings.Incarnation});
}

void MeshState::sendUpdateIfDue(Instant at) {
  if (at - FullUpdateSentAt >= pace().FullUpdateInterval) {
    FullUpdateSentAt = at;
    UpdateSentAt = at;
    sendUpdateToAll(Mine);
  } else if (at - UpdateSentAt >= pace().UpdateInterval) {
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
  PeerLink &link = All.at(connection);
  const PeerKnowledge news = deltaFor(part, link.Theirs);
  if (isEmpty(news))
    return;
  const std::string bytes = encodePeerMessage(PeerUpdate{news});
  ++Counts.UpdatesSent;
  Counts.UpdateBytesSent += bytes.size();
  merge(link.Theirs, news);
  Transport.Send(connection, bytes);
}

void MeshState::sendUpdateToAll(const PeerKnowledge &part) {
  for (const auto &[connection, link] : All)
    if (link.Stage == LinkStage::Live)
      sendUpdate(connection, part);
}

void MeshState::request(const HostId &host, std::string kind, std::string body,
                        Instant deadline, OnPeerResult onResult) {
  if (Mine.Hosts.count(host) == 0) {
    onResult({PeerRequestEnd::Unreachable, "no such host is known"});
    return;
  }
  Requests.add(host, std::move(kind), std::move(body), deadline,
               std::move(onResult));
  sendRequests();
}

void MeshState::sendRequests() {
  for (auto &[connection, link] : All) {
    if (link.Stage != LinkStage::Live)
      continue;
    for (const PeerRequest &it : Requests.takeUnsent(link.host(), connection)) {
      link.UsedAt = LastEventAt;
      send(connection, it);
    }
  }
}

void MeshState::respond(ConnectionId connection, const PeerReply &reply) {
  const auto it = All.find(connection);
  if (it != All.end() && it->second.Stage == LinkStage::Live)
    send(connection, reply);
}

void MeshState::tick(Instant at) {
  detectPause(at);
  dropSilent(at);
  Requests.expire(at);
  if (at - ReportedAt >= pace().ReportEvery)
    renewOwnReport(at);
  eraseExpiredLeaving(Mine, at);
  Heard.eraseDeadHosts(Mine, Settings.Self, at);
  sendUpdateIfDue(at);
  askAll(at);
  reselectPeers(at);
}

void MeshState::reselectPeers(Instant at) {
  const bool isDue = at - ChosenAt >= Settings.ConnectRetryInterval;
  if (!isDue && Requests.awaitedHosts().empty())
    return;
  ChosenAt = at;
  const std::set<std::string> wanted = wantedAddresses(at);
  connectTo(wanted, at);
  dropUnwanted(wanted, at);
}

const MeshIntervals &MeshState::pace() const {
  return Mine.Hosts.size() > FullMeshLimit ? Settings.LargeMeshIntervals
                                           : Settings.Pace;
}

void MeshState::dropSilent(Instant at) {
  std::vector<ConnectionId> silent;
  for (const auto &[connection, link] : All) {
    const bool isLive = link.Stage == LinkStage::Live;
    const bool isSilent = isLive
                              ? at - link.LastSeenAt > pace().SilenceTimeout
                              : at - link.OpenedAt > Settings.HandshakeTimeout;
    if (isSilent)
      silent.push_back(connection);
  }
  Counts.SilenceTimeouts += silent.size();
  for (const ConnectionId it : silent)
    drop(it);
}

void MeshState::askAll(Instant at) {
  for (auto &[connection, link] : All) {
    if (link.Stage != LinkStage::Live ||
        at - link.AskedAt < pace().HeartbeatInterval)
      continue;
    link.AskedAt = at;
    send(connection, PeerHeartbeat{at});
  }
}

void MeshState::dropUnwanted(const std::set<std::string> &wanted, Instant at) {
  // Choices change as hosts come and go; without this a large mesh would grow
  // towards a full one.
  std::vector<ConnectionId> unwanted;
  for (const auto &[connection, link] : All)
    if (link.Role == PeerRole::Opener && link.Stage == LinkStage::Live &&
        wanted.count(addressOf(link)) == 0 &&
        at - link.UsedAt > Settings.UnselectedLinkIdleTimeout)
      unwanted.push_back(connection);
  for (const ConnectionId it : unwanted)
    drop(it);
}

std::string MeshState::addressOf(const PeerLink &link) const {
  const auto it = Mine.Hosts.find(link.host());
  return it == Mine.Hosts.end() ? link.Address : it->second.PeerAddress;
}

bool MeshState::isConnected(const std::string &address) const {
  for (const auto &[connection, link] : All) {
    if (link.Address == address ||
        (link.Stage == LinkStage::Live && addressOf(link) == address))
      return true;
  }
  return false;
}

std::set<std::string> MeshState::wantedAddresses(Instant at) const {
  std::set<std::string> wanted(Settings.Seeds.begin(), Settings.Seeds.end());
  std::vector<PeerCandidate> candidates;
  for (const auto &[host, report] : Mine.Hosts) {
    // A seed whose host is known needs no connection for its own sake.
    wanted.erase(report.PeerAddress);
    if (host != Settings.Self && Heard.isWorthConnecting(host, at))
      candidates.push_back({host, report.Zone});
  }
  std::set<HostId> hosts = Requests.awaitedHosts();
  for (const HostId &it : choosePeers(Settings.Self, candidates))
    hosts.insert(it);
  for (const HostId &it : hosts) {
    const auto known = Mine.Hosts.find(it);
    if (known != Mine.Hosts.end())
      wanted.insert(known->second.PeerAddress);
  }
  for (const std::string &it : OwnAddresses)
    wanted.erase(it);
  return wanted;
}

void MeshState::connectTo(const std::set<std::string> &wanted, Instant at) {
  for (auto it = TriedAt.begin(); it != TriedAt.end();)
    it = wanted.count(it->first) == 0 ? TriedAt.erase(it) : std::next(it);
  for (const std::string &address : wanted) {
    if (address.empty() || isConnected(address))
      continue;
    const auto [it, isFirst] = TriedAt.emplace(address, at);
    if (!isFirst && at - it->second < Settings.ConnectRetryInterval)
      continue;
    it->second = at;
    addLink(Transport.Connect(address), PeerRole::Opener, address, at);
  }
}

std::vector<PeerView> MeshState::peers(Instant at) const {
  const Duration livingFor = LivingReports * pace().ReportEvery;
  std::vector<PeerView> out;
  for (const auto &[host, report] : Mine.Hosts)
    if (host != Settings.Self)
      out.push_back({host, report.Zone, report.CallerAddress, report.IsLeaving,
                     Heard.isLiving(host, at, livingFor)});
  return out;
}

std::set<HostId> MeshState::linkedHosts() const {
  std::set<HostId> out;
  for (const auto &[connection, link] : All)
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
