#include "FakeNetwork.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

using namespace sorrelbay;

namespace {

constexpr Duration Settled = seconds(3);

PeerKnowledge bundleOf(std::uint64_t generation) {
  PeerKnowledge knowledge;
  knowledge.Bundle = {generation, "signed " + std::to_string(generation)};
  return knowledge;
}

/// Daemons named "a", "b", "c" and so on, all of which have "a" as their seed.
struct MeshFixture {
  FakeNetwork Net{7};

  void start(const std::string &name, FakeNetwork::NodeOptions options = {}) {
    if (options.Seeds.empty())
      options.Seeds = {"a:1"};
    Net.start(name, "zone-" + name, std::move(options));
  }
  void startThree() {
    for (const char *it : {"a", "b", "c"})
      start(it);
    Net.run(Settled);
  }
  std::uint64_t generation(const std::string &name) {
    return Net.mesh(name).knowledge().Bundle.Generation;
  }
  bool isLinked(const std::string &a, const std::string &b) {
    return Net.mesh(a).linkedHosts().count(HostId(b)) != 0;
  }
  /// Sends a request. The returned object receives its result.
  std::shared_ptr<std::optional<PeerRequestResult>>
  request(const std::string &from, const std::string &to, Duration waitLimit) {
    auto result = std::make_shared<std::optional<PeerRequestResult>>();
    Net.mesh(from).request(
        HostId(to), "ticket-call", "x", Net.at() + waitLimit,
        [result](const PeerRequestResult &it) { *result = it; });
    return result;
  }
};

/// A message that violates the handshake.
struct EarlyMessageRow {
  const char *Name;
  PeerMessage Message;
};

std::ostream &operator<<(std::ostream &out, const EarlyMessageRow &row) {
  return out << row.Name;
}

const PeerHello UnprovedHello{HostId("x"), IncarnationId("1"),
                              std::string(NonceBytes, 'n')};

const EarlyMessageRow EarlyMessageRows[] = {
    {"news", PeerUpdate{bundleOf(9)}},
    {"request", PeerRequest{1, "ticket-call", "x"}},
    {"heartbeat", PeerHeartbeat{}},
    {"proof without hello", PeerProof{"p"}},
    {"hello without nonce", PeerHello{HostId("x"), IncarnationId("1"), ""}},
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(MeshStateTests, MeshFixture)

BOOST_AUTO_TEST_CASE(daemons_find_each_other_through_one_seed) {
  startThree();
  BOOST_CHECK(isLinked("b", "c"));
  BOOST_CHECK(isLinked("c", "b"));
  for (const PeerView &it : Net.mesh("c").peers(Net.at()))
    BOOST_CHECK(it.IsLiving);
  Net.mesh("b").publish(bundleOf(4), Net.at());
  Net.run(milliseconds(50));
  BOOST_CHECK_EQUAL(generation("c"), 4);
}

// Two daemons are each other's seed and connect at the same time. If each kept
// a different connection and closed the other one, both connections would
// close, again at each attempt.
BOOST_AUTO_TEST_CASE(crossed_connections_leave_one) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    FakeNetwork net(seed);
    net.cut("a", "b");
    net.start("a", "z", {"a secret of the mesh", {"b:1"}, {}});
    net.start("b", "z", {"a secret of the mesh", {"a:1"}, {}});
    net.run(seconds(1));
    // Both attempts time out, so both are retried at the same time.
    net.clearCuts();
    net.run(Settled);
    BOOST_CHECK_EQUAL(net.mesh("a").linkedHosts().size(), 1);
    BOOST_CHECK_EQUAL(net.mesh("b").linkedHosts().size(), 1);
    BOOST_CHECK_EQUAL(net.connectionCount(), 4);
  }
}

// An attacker who can reach the peer port connects without the secret, to read
// updates or to inject bundles.
BOOST_AUTO_TEST_CASE(wrong_secret_is_rejected) {
  start("a");
  start("b", {"the secret of another mesh", {}, {}});
  Net.mesh("b").publish(bundleOf(9), Net.at());
  Net.run(Settled);
  BOOST_CHECK(!isLinked("a", "b"));
  BOOST_CHECK_EQUAL(generation("a"), 0);
  BOOST_CHECK_GE(Net.mesh("a").counts().HandshakeFailures, 1);
}

// A peer sends a message before it has authenticated, or an incomplete hello or
// proof.
BOOST_DATA_TEST_CASE(message_before_proof_closes_the_connection,
                     boost::unit_test::data::make(EarlyMessageRows), row) {
  std::vector<ConnectionId> closedConnections;
  std::vector<PeerMessage> sent;
  MeshTransport transport;
  transport.Send = [&](ConnectionId, const std::string &bytes) {
    sent.push_back(decodePeerMessage(bytes));
  };
  transport.Close = [&](ConnectionId it) { closedConnections.push_back(it); };
  MeshSettings settings;
  settings.Self = HostId("a");
  settings.Secrets = {"a secret of the mesh"};
  MeshState mesh(settings, transport, {}, Instant(hours(1)));
  mesh.accepted(5, Instant(hours(1)));
  mesh.received(5, encodePeerMessage(row.Message), Instant(hours(1)));
  BOOST_CHECK(closedConnections == std::vector<ConnectionId>{5});
  BOOST_CHECK_EQUAL(sent.size(), 1);
  BOOST_CHECK_EQUAL(mesh.counts().HandshakeFailures, 1);
}

// An attacker reflects a daemon's own messages. Without the role in the proof,
// the daemon would accept its own proof as that of the attacker.
BOOST_AUTO_TEST_CASE(reflected_own_proof_is_refused) {
  const std::string secret = "a secret of the mesh";
  const PeerHello own{HostId("a"), IncarnationId("1"),
                      std::string(NonceBytes, 'a')};
  PeerLink link(PeerRole::Accepter, "", own, Instant());
  link.Stage = LinkStage::Handshaking;
  const PeerProof proof = link.acceptHello(own, secret);
  BOOST_CHECK_THROW(link.verifyProof(proof, {secret}), PeerHandshakeFailed);
}

// A middlebox drops the state of an open connection: no message gets through,
// but neither side is notified. Bundles would not get through until TCP times
// out, many minutes later.
BOOST_AUTO_TEST_CASE(silent_connection_is_replaced) {
  start("a");
  start("b");
  Net.run(Settled);
  Net.silence("a", "b");
  const auto result = request("a", "b", seconds(5));
  Net.mesh("a").publish(bundleOf(5), Net.at());
  Net.run(seconds(4));
  BOOST_CHECK_EQUAL(generation("b"), 5);
  BOOST_CHECK_GE(Net.mesh("a").counts().SilenceTimeouts, 1);
  BOOST_REQUIRE(*result);
  BOOST_CHECK((*result)->RequestOutcome == PeerRequestOutcome::Unknown);
}

// A daemon is paused and resumed. Its sockets hold heartbeat replies from
// before the pause, which must not make its stale knowledge count as fresh.
BOOST_AUTO_TEST_CASE(messages_from_before_a_pause_are_not_fresh) {
  Instant resumedAt{};
  int freshCount = 0;
  int staleCount = 0;
  FakeNetwork::NodeOptions options;
  options.Hooks.OnFresh = [&](const HostId &, Instant sentAt) {
    ++(sentAt < resumedAt ? staleCount : freshCount);
  };
  start("a");
  start("b", std::move(options));
  // Pauses at various times between two heartbeats, so that some pauses begin
  // between a heartbeat and its reply.
  for (int n = 0; n < 10; ++n) {
    Net.run(Settled + n * milliseconds(50));
    Net.pause("b");
    Net.run(seconds(20));
    resumedAt = Net.at();
    Net.resume("b");
  }
  Net.run(Settled);
  BOOST_CHECK(isLinked("b", "a"));
  BOOST_CHECK_EQUAL(staleCount, 0);
  BOOST_CHECK_GT(freshCount, 0);
}

BOOST_AUTO_TEST_CASE(requests_get_replies_and_failures_have_outcomes) {
  FakeNetwork::NodeOptions options;
  options.Hooks.OnRequest = [](const HostId &, const PeerRequest &request,
                               const PeerRespond &respond) {
    respond({request.Number, false, "no such thing"});
  };
  start("a");
  start("b");
  start("c", std::move(options));
  Net.run(Settled);
  const auto done = request("a", "b", seconds(1));
  const auto declined = request("a", "c", seconds(1));
  const auto unknownHost = request("a", "z", seconds(1));
  Net.run(seconds(1));
  BOOST_CHECK((*done)->RequestOutcome == PeerRequestOutcome::Done);
  BOOST_CHECK_EQUAL((*done)->Body, "re: x");
  BOOST_CHECK((*declined)->RequestOutcome == PeerRequestOutcome::Declined);
  BOOST_CHECK((*unknownHost)->RequestOutcome ==
              PeerRequestOutcome::Unreachable);
}

// The peer fails while it has a forwarded call. The caller may get the result
// "not run" only if the call was never sent.
BOOST_AUTO_TEST_CASE(request_to_a_dead_peer_distinguishes_sent_from_unsent) {
  FakeNetwork::NodeOptions options;
  options.Hooks.OnRequest = [](const HostId &, const PeerRequest &,
                               const PeerRespond &) {};
  start("a");
  start("b", std::move(options));
  Net.run(Settled);
  const auto sent = request("a", "b", seconds(5));
  Net.run(milliseconds(100));
  Net.kill("b");
  Net.run(milliseconds(100));
  const auto unsent = request("a", "b", seconds(2));
  Net.run(seconds(3));
  BOOST_REQUIRE(*sent && *unsent);
  BOOST_CHECK((*sent)->RequestOutcome == PeerRequestOutcome::Unknown);
  BOOST_CHECK((*unsent)->RequestOutcome == PeerRequestOutcome::Unreachable);
}

// A peer that was disconnected for a long time sends an old bundle, or a
// malicious peer sends an unsigned one.
BOOST_AUTO_TEST_CASE(old_and_forged_bundles_change_nothing) {
  FakeNetwork::NodeOptions options;
  options.Hooks.AcceptBundle = [](const BundleMark &mark) {
    return mark.Signed.rfind("signed", 0) == 0;
  };
  start("a");
  start("b", std::move(options));
  Net.mesh("a").publish(bundleOf(5), Net.at());
  Net.run(Settled);
  PeerKnowledge forged;
  forged.Bundle = {8, "unsigned 8"};
  Net.inject("a", "b", PeerUpdate{bundleOf(4)});
  Net.inject("a", "b", PeerUpdate{forged});
  Net.run(seconds(1));
  BOOST_CHECK_EQUAL(generation("b"), 5);
  BOOST_CHECK_EQUAL(Net.mesh("b").counts().RefusedBundles, 1);
  BOOST_CHECK(isLinked("b", "a"));
}

// A host is replaced by one whose clock is behind. Peers would treat the last
// report of the earlier incarnation as newer and send no callers to the new
// host.
BOOST_AUTO_TEST_CASE(later_incarnation_with_an_older_clock_is_accepted) {
  startThree();
  PeerKnowledge old;
  HostReport report;
  report.Incarnation = IncarnationId("earlier");
  report.StartedAt = Net.at() + hours(2);
  old.Hosts[HostId("b")] = report;
  Net.mesh("c").publish(old, Net.at());
  Net.run(Settled);
  const auto &hosts = Net.mesh("a").knowledge().Hosts;
  BOOST_CHECK(hosts.at(HostId("b")).CallerAddress == "b:2");
}

// A host fails before another one starts. The new host receives reports of the
// failed one from its peers and must not send callers there.
BOOST_AUTO_TEST_CASE(dead_host_is_not_recently_seen_by_a_new_host) {
  startThree();
  Net.kill("b");
  Net.run(seconds(7));
  start("d");
  Net.run(seconds(1));
  for (const PeerView &it : Net.mesh("d").peers(Net.at()))
    BOOST_CHECK_EQUAL(it.IsLiving, it.Host != HostId("b"));
}

// A version is found bad while the object API is down. Each daemon has evidence
// of its own calls only; without its peers' evidence and veto it would keep
// sending calls to that version.
BOOST_AUTO_TEST_CASE(veto_and_evidence_spread_between_daemons) {
  startThree();
  const EvidenceKey key{VersionId("v2"), RouteId("quote")};
  for (const char *it : {"a", "b", "c"}) {
    const auto &report = Net.mesh(it).knowledge().Hosts.at(HostId(it));
    PeerKnowledge counted;
    counted.Rollout.Evidence.mergeCount({HostId(it), report.Incarnation}, key,
                                        {100, 7, 3});
    Net.mesh(it).publish(counted, Net.at());
  }
  Net.run(milliseconds(100));
  for (const char *it : {"a", "b", "c"})
    BOOST_CHECK_EQUAL(
        Net.mesh(it).knowledge().Rollout.Evidence.total(key).Failures, 21);
  Veto veto;
  veto.Version = VersionId("v2");
  veto.At = Net.at();
  veto.By = HostId("b");
  veto.Reason = RollbackReason::Lateness;
  veto.OnRoute = RouteId("quote");
  veto.Statistic = 4.5;
  veto.New = {300, 21, 9};
  PeerKnowledge decided;
  decided.Rollout.Vetoes[veto.Version] = veto;
  decided.Rollout.Stages[VersionId("v2")] = {2, Net.at()};
  Net.mesh("b").publish(decided, Net.at());
  Net.run(milliseconds(10));
  for (const char *it : {"a", "c"})
    BOOST_CHECK(Net.mesh(it).knowledge().Rollout ==
                Net.mesh("b").knowledge().Rollout);
}

// Two daemons can't reach each other, but both can reach a third one.
BOOST_AUTO_TEST_CASE(updates_are_relayed_by_a_third_daemon) {
  startThree();
  Net.cut("a", "b");
  Net.run(Settled);
  const EvidenceKey key{VersionId("v2"), RouteId("quote")};
  const auto &report = Net.mesh("a").knowledge().Hosts.at(HostId("a"));
  PeerKnowledge counted;
  counted.Rollout.Evidence.mergeCount({HostId("a"), report.Incarnation}, key,
                                      {100, 7, 3});
  Net.mesh("a").publish(counted, Net.at());
  Net.run(seconds(2));
  BOOST_CHECK_EQUAL(Net.mesh("b").knowledge().Rollout.Evidence.total(key).Calls,
                    100);
}

// A peer sends malformed bytes, or a hello on a connection that is already
// live. Only that connection may be closed.
BOOST_AUTO_TEST_CASE(malformed_bytes_close_only_their_connection) {
  startThree();
  const auto decode = [](const std::string &it) { decodePeerMessage(it); };
  for (const char *it : {"", "{}", "\xa0", "\xff\xff"})
    BOOST_CHECK_THROW(decode(it), PeerMessageRefused);
  Net.inject("a", "b", UnprovedHello);
  Net.run(Settled);
  BOOST_CHECK_GE(Net.mesh("b").counts().HandshakeFailures, 1);
  BOOST_CHECK(isLinked("a", "b"));
}

BOOST_AUTO_TEST_CASE(large_mesh_has_few_links_and_spreads_in_a_second) {
  constexpr int Count = 40;
  for (int n = 0; n < Count; ++n) {
    FakeNetwork::NodeOptions options;
    options.Seeds = {"n0:1", "n1:1"};
    Net.start("n" + std::to_string(n), "z" + std::to_string(n % 4),
              std::move(options));
  }
  Net.run(seconds(60));
  std::uint64_t bytesBefore = 0;
  for (int n = 0; n < Count; ++n)
    bytesBefore += Net.mesh("n" + std::to_string(n)).counts().UpdateBytesSent;
  Net.run(seconds(60));
  std::uint64_t bytesAfter = 0;
  for (int n = 0; n < Count; ++n)
    bytesAfter += Net.mesh("n" + std::to_string(n)).counts().UpdateBytesSent;
  const std::uint64_t bytesPerSecond = (bytesAfter - bytesBefore) / Count / 60;
  Net.mesh("n39").publish(bundleOf(3), Net.at());
  Net.run(milliseconds(100));
  std::size_t most = 0;
  for (int n = 0; n < Count; ++n) {
    const std::string name = "n" + std::to_string(n);
    BOOST_CHECK_EQUAL(generation(name), 3);
    most = std::max(most, Net.mesh(name).linkedHosts().size());
  }
  BOOST_TEST_MESSAGE("maximum links of one daemon: "
                     << most
                     << ", update bytes per second: " << bytesPerSecond);
  BOOST_CHECK_LE(most, 26);
}

BOOST_AUTO_TEST_SUITE_END()
