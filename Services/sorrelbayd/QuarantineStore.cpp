#include "QuarantineStore.h"
#include "LibBase/BootClock.h"
#include "LibBase/LogLine.h"
#include "LibOperator/QuarantineObject.h"
#include <algorithm>

namespace sorrelbay {

namespace {

/// A host that does not watch the store writes what the store lacks after
/// this time, and up to as long again later, so that few hosts do.
constexpr Duration FollowerDelay = seconds(2);
/// The delay between two attempts to write.
constexpr Duration RetryInterval = seconds(1);

} // namespace

ResourceWatcherHooks QuarantineStore::watcherHooks() {
  ResourceWatcherHooks hooks;
  hooks.OnObject = [this](const Resource &object) { apply(object); };
  hooks.OnRemoved = [this](const std::string &name) {
    if (name != QuarantineObjectName)
      return;
    StoredRevision = 0;
    Stored = {};
    ComparedRevision = 0;
  };
  hooks.OnConfirmed = [this](Instant begun) {
    State.QuarantineConfirmedAt = begun;
  };
  return hooks;
}

void QuarantineStore::apply(const Resource &object) {
  if (object.Name != QuarantineObjectName || object.Revision < StoredRevision)
    return;
  StoredRevision = object.Revision;
  ComparedRevision = 0;
  try {
    std::vector<std::string> refused;
    Stored = readQuarantineObject(object.Body, refused);
    State.Refused.noteParts(ResourceKind::Quarantines, object, refused);
    State.Quarantine.merge(Stored, State.Time.at(bootNow()));
  } catch (const QuarantineObjectMalformed &error) {
    Stored = {};
    State.Refused.note(ResourceKind::Quarantines);
    LogLine(Severity::Error, "quarantines refused")
        .field("revision", static_cast<std::int64_t>(object.Revision))
        .field("why", error.what());
  }
}

/// Whether the stored object lacks something.
bool QuarantineStore::isMissingInStore(const CrashKnowledge &known) const {
  const auto isMissingMark = [&](const auto &it) {
    const auto &[key, mark] = it;
    const auto stored = Stored.Quarantines.find(key);
    return stored == Stored.Quarantines.end() ||
           stored->second.DeclaredAt < mark.DeclaredAt ||
           stored->second.ReleasedAt < mark.ReleasedAt;
  };
  const auto isMissingCrash = [&](const UpstreamCrash &crash) {
    return std::none_of(Stored.Crashes.begin(), Stored.Crashes.end(),
                        [&](const UpstreamCrash &it) {
                          return it.Upstream == crash.Upstream &&
                                 it.StartedMs == crash.StartedMs &&
                                 it.Suspects.size() >= crash.Suspects.size();
                        });
  };
  return std::any_of(known.Quarantines.begin(), known.Quarantines.end(),
                     isMissingMark) ||
         std::any_of(known.Crashes.begin(), known.Crashes.end(),
                     isMissingCrash);
}

void QuarantineStore::tick(bool isFleetLeader, Instant now) {
  if (State.QuarantineConfirmedAt == Instant{})
    return;
  const std::uint64_t revision = State.Quarantine.revision();
  if (ComparedRevision != revision) {
    ComparedRevision = revision;
    if (!isMissingInStore(State.Quarantine.durableKnowledge())) {
      MissingSince.reset();
    } else if (!MissingSince) {
      MissingSince = now;
      Patience = FollowerDelay +
                 fromSeconds(toSeconds(FollowerDelay) * State.randomFraction());
    }
  }
  if (!MissingSince || IsWriting || now - TriedAt < RetryInterval)
    return;
  if (isFleetLeader || now - *MissingSince >= Patience)
    write(now);
}

void QuarantineStore::write(Instant now) {
  TriedAt = now;
  Resource object;
  object.Name = QuarantineObjectName;
  object.Body = renderQuarantineObject(State.Quarantine.durableKnowledge());
  object.Revision = StoredRevision;
  IsWriting = true;
  const auto done = [this](const StoreResult<Resource> &result) {
    onWritten(result);
  };
  if (StoredRevision == 0)
    State.Hooks.Store.Create(ResourceKind::Quarantines, object, done);
  else
    State.Hooks.Store.Replace(ResourceKind::Quarantines, object, done);
}

void QuarantineStore::onWritten(const StoreResult<Resource> &result) {
  IsWriting = false;
  if (result.Got) {
    LogLine(Severity::Info, "quarantines stored")
        .field("revision", static_cast<std::int64_t>(result.Got->Revision))
        .field("count", static_cast<std::int64_t>(
                            State.Quarantine.quarantines().size()));
    return apply(*result.Got);
  }
  // Another host was first, an operator has released some, or the write took
  // effect without a response.
  if (result.Failure == StoreFailure::Conflict ||
      result.Failure == StoreFailure::Missing ||
      result.Failure == StoreFailure::Unknown)
    read();
}

void QuarantineStore::read() {
  IsWriting = true;
  State.Hooks.Store.Read(ResourceKind::Quarantines, QuarantineObjectName,
                         [this](const StoreResult<Resource> &result) {
                           IsWriting = false;
                           if (result.Got)
                             apply(*result.Got);
                           else if (result.Failure == StoreFailure::Missing)
                             StoredRevision = 0;
                         });
}

} // namespace sorrelbay
