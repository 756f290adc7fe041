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

/// What a run leaves out, to show that its checks see the harm.
enum class SpreadVariant {
  Sound,
  /// A daemon acts by whatever bundle it saw last.
  LastSeenWins,
  /// A daemon takes bundles without looking at the signature.
  Unverified,
  /// An operator's tool writes without a condition.
  UnconditionalRoll,
  /// Daemons do not tell each other their bundle.
  NoPeers,
};

/// What happened in a run, to show that it met what it was made for.
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

/// Entry hosts, two operators and an object API under random faults. After each
/// event it checks that no daemon goes back to an older bundle, that only
/// bundles which the object API took come into force, and that one generation
/// is one bundle. Breaks are reported as broken invariants.
class BundleSpread {
public:
  BundleSpread(std::uint64_t seed, SpreadVariant variant);

  /// Random faults for that many steps of a tenth of a second.
  void runFaults(int steps);
  /// Ends all faults but an outage if one is wanted, and checks that within
  /// seconds all daemons have the newest bundle.
  void healAndCheck(bool isOutage);
  /// In an outage, starts all daemons but one anew, and checks that they get
  /// the bundle from each other.
  void restartInOutageAndCheck();

  const SpreadCounts &counts() const { return Counts; }

private:
  struct Host {
    std::unique_ptr<ActiveBundle> Bundles;
    /// What LastSeenWins and Unverified act by in its place.
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
  void rollWithoutCondition(const SignedBundle &bundle);
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
