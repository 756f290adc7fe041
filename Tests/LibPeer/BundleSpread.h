#pragma once

#include "FakeNetwork.h"
#include "LibObjectApi/ObjectApi.h"
#include "LibOperator/ActiveBundle.h"
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sorrelbay {

/// The mechanism that is disabled in a run, to show that the checks detect its
/// absence.
enum class SpreadVariant {
  /// No mechanism is disabled.
  Sound,
  /// A daemon adopts every bundle that it receives, even an older one.
  LastSeenWins,
  /// A daemon adopts bundles without verifying the signature.
  Unverified,
  /// The object API accepts writes without comparing the version.
  UnconditionalRoll,
  /// Daemons do not send their bundle to peers.
  NoPeers,
};

/// Counts of events in a run, to show that it exercised all faults.
struct SpreadCounts {
  std::uint64_t Rolled = 0;
  std::uint64_t Outdated = 0;
  std::uint64_t Conflicts = 0;
  std::uint64_t LostReplies = 0;
  std::uint64_t Unknown = 0;
  std::uint64_t Outages = 0;
  std::uint64_t Starts = 0;
  std::uint64_t Pauses = 0;
  std::uint64_t Cuts = 0;
  std::uint64_t Replays = 0;
  std::uint64_t Forgeries = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Adoptions = 0;
  std::uint64_t AdoptionsFromPeers = 0;
};

/// Simulates entry hosts, two operators and an object API under random faults.
/// Checks after each event that no daemon reverts to an older bundle, that only
/// bundles stored by the object API come into force, and that no generation has
/// two bundles. Violations are reported through failInvariant().
class BundleSpread {
public:
  BundleSpread(std::uint64_t seed, SpreadVariant variant);

  /// Injects random faults for the given number of steps of 100 ms each.
  void runFaults(int steps);
  /// Ends all faults and rolls a new bundle. If `isOutage`, the object API then
  /// fails once one daemon has received it. Checks that all daemons have the
  /// bundle within seconds.
  void endFaultsAndCheck(bool isOutage);
  /// Restarts all daemons except one during an outage of the object API and
  /// checks that they get the bundle from their peers.
  void restartInOutageAndCheck();

  const SpreadCounts &counts() const { return Counts; }

private:
  struct Host {
    std::unique_ptr<ActiveBundle> Bundles;
    /// The bundle in force. LastSeenWins and Unverified use it instead of
    /// Bundles.
    std::uint64_t Generation = 0;
    std::string Bytes;
    std::uint64_t KnownVersion = 0;
    std::uint64_t ProcessNumber = 0;
    bool IsUp = false;
    bool IsPaused = false;
    std::deque<std::function<void()>> DeferredEvents;
  };

  void step();
  void start(const std::string &name);
  void pauseRandomHost();
  void resume(const std::string &name);
  void watch(const std::string &name);
  void applyStoredBundle(const std::string &name, const StoredObject &object);
  bool acceptFromPeer(const std::string &name, const BundleMark &mark);
  bool offer(const std::string &name, const BundleMark &mark);
  bool offerUnchecked(Host &host, const BundleMark &mark);
  void recordInForce(const std::string &name, const std::string &bytes);
  void roll();
  void rollOnce(const SignedBundle &bundle);
  void replay();
  void forge();
  ObjectApi objectApi();
  std::uint64_t write(const std::string &body, std::uint64_t expected);
  void recordCommitted(const std::string &body);
  bool chance(int perMille);
  std::string randomHost();

  SpreadVariant Variant;
  FakeNetwork Net;
  SigningKey Operators = SigningKey::generate();
  SigningKey Forger = SigningKey::generate();
  std::map<std::string, Host> Hosts;
  std::optional<StoredObject> Object;
  bool IsOutage = false;
  bool IsConcurrentRoll = false;
  bool HasFaults = true;
  std::vector<std::string> Committed;
  std::map<std::uint64_t, std::string> ByGeneration;
  std::uint64_t HighestGeneration = 0;
  std::uint64_t NextTeam = 0;
  std::uint64_t NextProcessNumber = 1;
  SpreadCounts Counts;
};

} // namespace sorrelbay
