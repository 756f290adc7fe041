#include "Deployment.h"
#include "LibObjectApi/HttpObjectApi.h"
#include "LibOperator/BundleFile.h"
#include "LibOperator/BundleRoll.h"
#include <boost/test/unit_test.hpp>
#include <mutex>
#include <thread>

using namespace sorrelbay;

namespace {

constexpr Duration Timeout = seconds(5);
constexpr std::size_t OperatorsAtOnce = 6;

SignedBundle bundleSignedWith(int generation, const SigningKey &key) {
  return signBundle(
      parseBundle(standardBundle(generation, SingleVersionToml), "b"), key);
}

/// Three daemons that each reach the platform through their own proxy.
struct ProxiedDaemons {
  Deployment All;

  ProxiedDaemons() {
    for (const char *zone : {"zone-a", "zone-b", "zone-c"})
      All.addDaemon(zone, All.addProxy(All.platform()).Address);
    roll(1);
    All.waitReady(1);
  }
  void roll(int generation) {
    All.roll(standardBundle(generation, SingleVersionToml));
  }
  /// Closes all connections between the daemon and the platform.
  void cutPlatformConnection(std::size_t n) const {
    All.Proxies[n]->setMode("cut");
  }
  std::int64_t generation(std::size_t n) const {
    return Deployment::number(
        Deployment::get(All.Daemons[n]->Address, "/readyz"), "generation");
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(Bundles)

// A daemon is restarted while the object API is down. Without its peers it
// could not serve callers until the outage is over.
BOOST_AUTO_TEST_CASE(daemon_started_in_an_outage_gets_the_bundle_from_peers) {
  Deployment deployment;
  for (const char *zone : {"zone-a", "zone-b", "zone-c"})
    deployment.addDaemon(zone);
  deployment.roll(standardBundle(1, SingleVersionToml));
  deployment.waitReady(1);
  deployment.setPlatformFaults("{\"down\": true}");
  TestDaemon &daemon = *deployment.Daemons[2];
  daemon.Process->kill();
  deployment.restart(daemon);
  deployment.waitReady(1);
  BOOST_TEST(daemon.Process->hasLogged("\"from\":\"peer\""));
}

// Only one daemon reaches the object API when a bundle is rolled. The others
// must receive the bundle from it, or they would serve callers with the old one
// until the outage is over.
BOOST_AUTO_TEST_CASE(bundle_spreads_from_the_one_daemon_that_reads_it) {
  ProxiedDaemons daemons;
  daemons.cutPlatformConnection(1);
  daemons.cutPlatformConnection(2);
  daemons.roll(2);
  daemons.All.waitReady(2);
  BOOST_TEST(daemons.All.Daemons[1]->Process->hasLogged("\"from\":\"peer\""));
}

// A daemon is paused while two bundles are rolled and resumes with stale data
// in its sockets. It must load the newest bundle and not stop at an older one.
BOOST_AUTO_TEST_CASE(paused_daemon_loads_the_newest_bundle) {
  ProxiedDaemons daemons;
  daemons.All.Daemons[1]->Process->pause();
  daemons.roll(2);
  daemons.roll(3);
  waitUntil("generation 3", [&] { return daemons.generation(0) == 3; });
  daemons.All.Daemons[1]->Process->resume();
  daemons.All.waitReady(3);
  BOOST_TEST(daemons.generation(1) == 3);
}

// A client with write access to the object API stores a bundle that no accepted
// key has signed, and then bytes that are not a bundle. The daemon must keep
// the current bundle and still load the next valid one.
BOOST_AUTO_TEST_CASE(bundle_signed_with_an_unaccepted_key_is_never_loaded) {
  Deployment deployment;
  deployment.addDaemon("zone-a");
  deployment.roll(standardBundle(1, SingleVersionToml));
  deployment.waitReady(1);
  const ObjectApi api = connectObjectApi(deployment.platform(), Timeout);
  rollBundle(api, bundleSignedWith(50, SigningKey::generate()));
  const TestDaemon &daemon = *deployment.Daemons[0];
  waitUntil("rejection of the bundle with an unaccepted key", [&] {
    return daemon.Process->hasLogged("is not an accepted key");
  });
  const auto stored = api.Read(CurrentBundleObject);
  api.Write(CurrentBundleObject, "not a bundle", stored->Version);
  waitUntil("rejection of the bytes that are not a bundle",
            [&] { return daemon.Process->hasLogged("can't be decoded"); });
  const std::string ready = Deployment::get(daemon.Address, "/readyz");
  BOOST_TEST(Deployment::number(ready, "generation") == 1);
  deployment.roll(standardBundle(2, SingleVersionToml));
  deployment.waitReady(2);
}

// The object API stores the bundle, and its reply is lost. The operator's tool
// must not report the roll as failed.
BOOST_AUTO_TEST_CASE(roll_with_a_lost_reply_is_resolved) {
  Deployment deployment;
  TestProxy &proxy = deployment.addProxy(deployment.platform());
  proxy.setMode("drop_reply");
  ObjectApi api = connectObjectApi(deployment.platform(), Timeout);
  int lost = 0;
  const auto writeThroughProxy = connectObjectApi(proxy.Address, Timeout).Write;
  api.Write = [&](const std::string &name, const std::string &body,
                  std::uint64_t expected) {
    try {
      return writeThroughProxy(name, body, expected);
    } catch (const WriteOutcomeUnknown &) {
      ++lost;
      throw;
    }
  };
  const SignedBundle bundle = bundleSignedWith(1, SigningKey::generate());
  BOOST_TEST(rollBundle(api, bundle).Generation == 1);
  BOOST_TEST(lost == 1);
  BOOST_TEST(rollBundle(api, bundle).WasCurrent);
}

// Several operators concurrently roll different bundles with the same
// generation. Only one roll may succeed, and the others must be refused.
BOOST_AUTO_TEST_CASE(
    of_concurrent_operators_one_wins_and_the_rest_get_its_key_id) {
  Deployment deployment;
  std::vector<SigningKey> keys;
  std::vector<std::thread> operators;
  std::mutex mutex;
  std::vector<KeyId> winners;
  std::vector<KeyId> namedWinners;
  keys.reserve(OperatorsAtOnce);
  operators.reserve(OperatorsAtOnce);
  for (std::size_t n = 0; n < OperatorsAtOnce; ++n)
    keys.push_back(SigningKey::generate());
  for (const SigningKey &key : keys)
    operators.emplace_back([&] {
      const ObjectApi api = connectObjectApi(deployment.platform(), Timeout);
      const SignedBundle bundle = bundleSignedWith(1, key);
      try {
        rollBundle(api, bundle);
        const std::lock_guard<std::mutex> lock(mutex);
        winners.push_back(bundle.SignedBy);
      } catch (const RollRefused &error) {
        const std::lock_guard<std::mutex> lock(mutex);
        namedWinners.push_back(error.current().SignedBy);
      }
    });
  for (std::thread &it : operators)
    it.join();
  BOOST_REQUIRE(winners.size() == 1);
  BOOST_TEST(namedWinners.size() == OperatorsAtOnce - 1);
  for (const KeyId &it : namedWinners)
    BOOST_TEST((it == winners[0]));
}

BOOST_AUTO_TEST_SUITE_END()
