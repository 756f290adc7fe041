#include "BundleSpread.h"
#include "LibBase/Invariant.h"
#include "LibOperator/BundleRoll.h"

namespace sorrelbay {

namespace {

constexpr int HostCount = 6;
constexpr Duration StepTime = milliseconds(100);
constexpr Duration WatchInterval = milliseconds(200);
/// The time within which a bundle must be in force on all daemons once there
/// are no more faults.
constexpr Duration InForceDeadline = seconds(4);

std::uint64_t generationOf(const std::string &bytes) {
  return decodeBundle(decodeSignedBundle(bytes).Payload).Generation;
}

Bundle bundleOf(std::uint64_t generation, std::uint64_t team) {
  Bundle bundle;
  bundle.Generation = generation;
  // Makes the bundles of two operators with the same generation differ.
  bundle.Teams = {{TeamId("team-" + std::to_string(team)), 1}};
  return bundle;
}

} // namespace

BundleSpread::BundleSpread(std::uint64_t seed, SpreadVariant variant)
    : Variant(variant), Net(seed) {
  for (int n = 0; n < HostCount; ++n)
    start("h" + std::to_string(n));
  Net.run(seconds(2));
}

bool BundleSpread::chance(int perMille) {
  return static_cast<int>(Net.random()() % 1000) < perMille;
}

std::string BundleSpread::randomHost() {
  return "h" + std::to_string(Net.random()() % HostCount);
}

void BundleSpread::start(const std::string &name) {
  Host &host = Hosts[name];
  host = Host();
  host.Bundles = std::make_unique<ActiveBundle>(
      std::vector<PublicKey>{Operators.publicKey()});
  host.ProcessNumber = NextProcessNumber++;
  host.IsUp = true;
  ++Counts.Starts;
  FakeNetwork::NodeOptions options;
  options.Seeds = {"h0:1", "h1:1"};
  options.Hooks.AcceptBundle = [this, name](const BundleMark &mark) {
    return acceptFromPeer(name, mark);
  };
  Net.start(name, "zone-" + name, std::move(options));
  watch(name);
}

void BundleSpread::pauseRandomHost() {
  const std::string name = randomHost();
  Host &host = Hosts[name];
  if (!host.IsUp || host.IsPaused)
    return;
  ++Counts.Pauses;
  host.IsPaused = true;
  Net.pause(name);
  const std::uint64_t processNumber = host.ProcessNumber;
  Net.schedule(milliseconds(Net.random()() % 8000),
               [this, name, processNumber] {
                 if (Hosts[name].ProcessNumber == processNumber)
                   resume(name);
               });
}

void BundleSpread::resume(const std::string &name) {
  Host &host = Hosts[name];
  if (!host.IsPaused)
    return;
  host.IsPaused = false;
  std::deque<std::function<void()>> deferredEvents;
  deferredEvents.swap(host.DeferredEvents);
  // The messages in the sockets and the reply of the object API may be
  // processed in either order.
  if (chance(500))
    Net.resume(name);
  for (const auto &it : deferredEvents)
    it();
  Net.resume(name);
}

/// One poll of the object API by a daemon. The reply is the object as of the
/// request; a paused daemon may process it much later.
void BundleSpread::watch(const std::string &name) {
  Host &host = Hosts[name];
  const std::uint64_t processNumber = host.ProcessNumber;
  if (!host.IsUp)
    return;
  if (!host.IsPaused && !IsOutage && Object &&
      Object->Version != host.KnownVersion) {
    const StoredObject storedObject = *Object;
    const auto applyReply = [this, name, processNumber, storedObject] {
      if (Hosts[name].ProcessNumber == processNumber)
        applyStoredBundle(name, storedObject);
    };
    Net.schedule(milliseconds(1 + Net.random()() % 300),
                 [this, name, applyReply] {
                   if (Hosts[name].IsPaused)
                     Hosts[name].DeferredEvents.push_back(applyReply);
                   else
                     applyReply();
                 });
  }
  Net.schedule(WatchInterval, [this, name, processNumber] {
    if (Hosts[name].ProcessNumber == processNumber)
      watch(name);
  });
}

void BundleSpread::applyStoredBundle(const std::string &name,
                                     const StoredObject &object) {
  Host &host = Hosts[name];
  if (!host.IsUp)
    return;
  host.KnownVersion = object.Version;
  const BundleMark mark{generationOf(object.Body), object.Body};
  if (!offer(name, mark) || Variant == SpreadVariant::NoPeers)
    return;
  PeerKnowledge peerKnowledge;
  peerKnowledge.Bundle = mark;
  Net.mesh(name).publish(peerKnowledge, Net.at());
}

bool BundleSpread::acceptFromPeer(const std::string &name,
                                  const BundleMark &mark) {
  try {
    Counts.AdoptionsFromPeers += offer(name, mark) ? 1 : 0;
    return true;
  } catch (const BundleRefused &) {
    ++Counts.Refused;
    return false;
  }
}

bool BundleSpread::offer(const std::string &name, const BundleMark &mark) {
  Host &host = Hosts[name];
  const bool skipsChecks = Variant == SpreadVariant::LastSeenWins ||
                           Variant == SpreadVariant::Unverified;
  const bool isAdopted =
      skipsChecks ? offerUnchecked(host, mark)
                  : host.Bundles->offer(mark) == BundleOfferResult::Adopted;
  if (isAdopted)
    recordInForce(name, mark.Signed);
  return isAdopted;
}

bool BundleSpread::offerUnchecked(Host &host, const BundleMark &mark) {
  if (Variant == SpreadVariant::Unverified)
    return generationOf(mark.Signed) > host.Generation;
  verifyBundle(decodeSignedBundle(mark.Signed), {Operators.publicKey()});
  return mark.Signed != host.Bytes;
}

void BundleSpread::recordInForce(const std::string &name,
                                 const std::string &bytes) {
  Host &host = Hosts[name];
  const std::uint64_t generation = generationOf(bytes);
  ++Counts.Adoptions;
  if (generation < host.Generation)
    failInvariant("bundle-never-reverts", name + " reverted from generation " +
                                              std::to_string(host.Generation) +
                                              " to " +
                                              std::to_string(generation));
  const auto it = ByGeneration.find(generation);
  if (it == ByGeneration.end() || it->second != bytes)
    failInvariant("only-rolled-bundles-in-force",
                  name + " has a bundle in force that was never rolled");
  host.Generation = generation;
  host.Bytes = bytes;
}

void BundleSpread::recordCommitted(const std::string &body) {
  const std::uint64_t generation = generationOf(body);
  const auto [it, isNew] = ByGeneration.emplace(generation, body);
  if (!isNew && it->second != body)
    failInvariant("one-generation-one-bundle", "generation " +
                                                   std::to_string(generation) +
                                                   " was rolled twice");
  if (generation < HighestGeneration)
    failInvariant("rolled-bundle-never-reverts",
                  "an older bundle overwrote generation " +
                      std::to_string(HighestGeneration));
  HighestGeneration = generation;
  Committed.push_back(body);
}

std::uint64_t BundleSpread::write(const std::string &body,
                                  std::uint64_t expected) {
  if (IsOutage)
    throw ObjectApiUnavailable("outage");
  if (HasFaults && chance(100)) {
    ++Counts.LostReplies;
    throw WriteOutcomeUnknown("lost before it took effect");
  }
  if (!IsConcurrentRoll && HasFaults && chance(200)) {
    IsConcurrentRoll = true;
    roll();
    IsConcurrentRoll = false;
  }
  const std::uint64_t version = Object ? Object->Version : AbsentVersion;
  if (version != expected && Variant != SpreadVariant::UnconditionalRoll)
    throw VersionConflict("another version is stored");
  Object = StoredObject{body, version + 1};
  recordCommitted(body);
  if (HasFaults && chance(150)) {
    ++Counts.LostReplies;
    // Sometimes the reply is lost because an outage begins at that moment.
    IsOutage = chance(300);
    Counts.Outages += IsOutage ? 1 : 0;
    throw WriteOutcomeUnknown("lost after it took effect");
  }
  return version + 1;
}

ObjectApi BundleSpread::objectApi() {
  ObjectApi api;
  api.Read = [this](const std::string &) {
    if (IsOutage)
      throw ObjectApiUnavailable("outage");
    return Object;
  };
  api.Write = [this](const std::string &, const std::string &body,
                     std::uint64_t expected) { return write(body, expected); };
  return api;
}

void BundleSpread::rollOnce(const SignedBundle &bundle) {
  const std::string body = encodeSignedBundle(bundle);
  const auto isCommitted = [&] {
    const auto it = ByGeneration.find(generationOf(body));
    return it != ByGeneration.end() && it->second == body;
  };
  try {
    rollBundle(objectApi(), bundle);
    ++Counts.Rolled;
    if (!isCommitted())
      failInvariant("successful-roll-is-stored",
                    "a roll succeeded but its bundle was not stored");
  } catch (const RollOutdated &) {
    ++Counts.Outdated;
  } catch (const RollConflict &) {
    ++Counts.Conflicts;
  } catch (const WriteOutcomeUnknown &) {
    ++Counts.Unknown;
  } catch (const ObjectApiUnavailable &) {
    if (isCommitted())
      failInvariant("failed-roll-is-not-stored",
                    "a roll failed but its bundle was stored");
  }
}

void BundleSpread::roll() {
  if (IsOutage)
    return;
  const std::uint64_t next = (Object ? generationOf(Object->Body) : 0) + 1;
  const SignedBundle bundle = signBundle(bundleOf(next, NextTeam++), Operators);
  if (IsConcurrentRoll) {
    rollOnce(bundle);
    return;
  }
  // An operator has a delay between reading the generation and rolling.
  Net.schedule(milliseconds(Net.random()() % 500),
               [this, bundle] { rollOnce(bundle); });
}

void BundleSpread::replay() {
  if (Committed.empty())
    return;
  const std::string &old = Committed[Net.random()() % Committed.size()];
  const std::string from = randomHost();
  if (!Net.isUp(from))
    return;
  ++Counts.Replays;
  PeerKnowledge peerKnowledge;
  // An old bundle must be rejected even if the mark names a newer generation.
  peerKnowledge.Bundle = {
      chance(500) ? generationOf(old) : HighestGeneration + 5, old};
  for (int n = 0; n < HostCount; ++n)
    Net.inject(from, "h" + std::to_string(n), PeerUpdate{peerKnowledge});
}

void BundleSpread::forge() {
  const std::string from = randomHost();
  if (!Net.isUp(from))
    return;
  ++Counts.Forgeries;
  const std::uint64_t generation = HighestGeneration + 1 + Net.random()() % 5;
  SignedBundle forged = signBundle(bundleOf(generation, 0), Forger);
  if (chance(300))
    forged.SignedBy = Operators.publicKey().id();
  if (chance(300))
    forged.Signature.clear();
  PeerKnowledge peerKnowledge;
  peerKnowledge.Bundle = {generation, encodeSignedBundle(forged)};
  for (int n = 0; n < HostCount; ++n)
    Net.inject(from, "h" + std::to_string(n), PeerUpdate{peerKnowledge});
}

void BundleSpread::step() {
  if (chance(80))
    roll();
  if (chance(IsOutage ? 25 : 10)) {
    IsOutage = !IsOutage;
    Counts.Outages += IsOutage ? 1 : 0;
  }
  if (chance(15)) {
    const std::string name = randomHost();
    Hosts[name] = Host();
    Net.kill(name);
  }
  if (chance(30)) {
    const std::string name = randomHost();
    if (!Hosts[name].IsUp)
      start(name);
  }
  if (chance(20))
    pauseRandomHost();
  if (chance(20)) {
    ++Counts.Cuts;
    Net.cut(randomHost(), randomHost());
  }
  if (chance(20))
    Net.clearCuts();
  if (chance(10))
    Net.silence(randomHost(), randomHost());
  if (chance(30))
    replay();
  if (chance(20))
    forge();
  Net.run(StepTime);
}

void BundleSpread::runFaults(int steps) {
  for (int n = 0; n < steps; ++n)
    step();
}

void BundleSpread::endFaultsAndCheck(bool isOutage) {
  HasFaults = false;
  Net.clearCuts();
  for (auto &[name, host] : Hosts) {
    if (!host.IsUp)
      start(name);
    resume(name);
  }
  IsOutage = false;
  rollOnce(signBundle(bundleOf(HighestGeneration + 1, NextTeam++), Operators));
  if (isOutage) {
    // One daemon has received the bundle before the object API fails.
    applyStoredBundle("h0", *Object);
    IsOutage = true;
  }
  Net.run(InForceDeadline);
  for (const auto &[name, host] : Hosts)
    if (host.Generation != HighestGeneration)
      failInvariant("in-force-everywhere-within-seconds",
                    name + " still uses generation " +
                        std::to_string(host.Generation) + " instead of " +
                        std::to_string(HighestGeneration));
}

void BundleSpread::restartInOutageAndCheck() {
  IsOutage = true;
  for (int n = 1; n < HostCount; ++n) {
    const std::string name = "h" + std::to_string(n);
    Net.kill(name);
    start(name);
  }
  Net.run(InForceDeadline);
  for (const auto &[name, host] : Hosts)
    if (host.Generation != HighestGeneration)
      failInvariant("started-in-outage-gets-bundle",
                    name + " did not get the bundle from its peers");
}

} // namespace sorrelbay
