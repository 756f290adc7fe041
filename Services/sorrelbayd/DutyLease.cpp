#include "DutyLease.h"
#include "LibBase/BootClock.h"
#include "LibBase/LogLine.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace sorrelbay {

static constexpr const char *LeaseName = "duties";
/// Added to the bound on the lease, so that two hosts never exercise the duties
/// alternately within it.
static constexpr Duration TermMargin = seconds(1);
/// Number of hosts of a group that stand by to take the lease. If all did, a
/// large fleet would query the store for it hundreds of times a second.
static constexpr std::size_t StandbyCount = 3;

static LeaderLeaseSettings leaseSettings(const GatewayBounds &bounds) {
  LeaderLeaseSettings settings;
  settings.Term = bounds.Lease + TermMargin;
  settings.CommandTimeout = Duration::zero();
  return settings;
}

DutyLease::DutyLease(GatewayState &state)
    : State(state),
      Lease(state.Incarnation, leaseSettings(state.Settings.Bounds)) {}

LeaseHolder DutyLease::leaseHolder() const {
  return {State.Settings.Host, FencingToken};
}

bool DutyLease::mayStandBy(Instant now) const {
  return !State.isStopping() && !State.Fleet.holdsDuties(now) &&
         State.Fleet.isAmongFirst(State.Self(), StandbyCount, now);
}

void DutyLease::tick(Instant now) {
  if (WasHeld != Lease.isHeld(now)) {
    WasHeld = !WasHeld;
    LogLine(Severity::Info, WasHeld ? "duties taken" : "duties lost")
        .field("fencing", static_cast<std::int64_t>(FencingToken))
        .field("revision", static_cast<std::int64_t>(Lease.fencing()));
  }
  noteReportedHolders(now);
  if (IsCallPending)
    return;
  if (!WasHeld && !mayStandBy(now))
    return;
  switch (Lease.step(now)) {
  case LeaseStep::None:
    return;
  case LeaseStep::Read:
    return read(now);
  case LeaseStep::Write:
    // A stopping host lets the lease expire instead of releasing it, so that
    // the next holder never acts within the old holder's term.
    if (!State.isStopping())
      write(now);
    return;
  }
}

void DutyLease::addLeaseTo(FleetMember &self, Instant now) const {
  self.HoldsDuties = isHeld(now);
  if (!self.HoldsDuties)
    return;
  self.LeaseRevision = Lease.fencing();
  self.FencingToken = FencingToken;
}

void DutyLease::noteReportedHolders(Instant now) {
  for (const auto &[host, it] : State.Fleet.members()) {
    if (it.Member.LeaseRevision == 0)
      continue;
    HighestFencingToken = std::max(HighestFencingToken, it.Member.FencingToken);
    Lease.noteReported(
        {IncarnationId(it.Member.Host.text()), it.Member.LeaseRevision}, now);
  }
}

namespace {

/// The lease as it is stored.
struct StoredLease {
  LeaseState State;
  HostId Host;
  std::uint64_t FencingToken = 0;
};

/// Parses the stored lease. Returns nothing if it is malformed.
std::optional<StoredLease> storedLease(const Resource &object) {
  try {
    const auto body = nlohmann::json::parse(object.Body);
    StoredLease out;
    out.State.Version = object.Revision;
    out.State.Holder = IncarnationId(body.at("holder").get<std::string>());
    out.FencingToken = body.at("fencing").get<std::uint64_t>();
    out.Host = HostId(body.value("host", ""));
    return out;
  } catch (const nlohmann::json::exception &) {
    return std::nullopt;
  }
}

} // namespace

/// Without the fencing token of the holder before, this host can't hold the
/// lease.
void DutyLease::noteMalformed(std::uint64_t revision) {
  if (MalformedRevision == revision)
    return;
  MalformedRevision = revision;
  State.Refused.note(ResourceKind::Duties);
  LogLine(Severity::Error, "lease can't be read")
      .field("revision", static_cast<std::int64_t>(revision));
}

void DutyLease::read(Instant /*now*/) {
  IsCallPending = true;
  State.Hooks.Store.Read(ResourceKind::Duties, LeaseName,
                         [this](const StoreResult<Resource> &result) {
                           IsCallPending = false;
                           const Instant now = bootNow();
                           if (!result.Got) {
                             if (result.Failure == StoreFailure::Missing)
                               Lease.noteRead({}, now);
                             return;
                           }
                           const auto stored = storedLease(*result.Got);
                           if (!stored)
                             return noteMalformed(result.Got->Revision);
                           const LeaseState &seen = stored->State;
                           const std::uint64_t fencing = stored->FencingToken;
                           HighestFencingToken =
                               std::max(HighestFencingToken, fencing);
                           const bool isFromEarlierProcess =
                               stored->Host == State.Settings.Host &&
                               seen.Holder != State.Incarnation;
                           Lease.noteRead(seen, now);
                           if (isFromEarlierProcess)
                             Lease.noteReleased();
                           // This host's own write, whose response was lost
                           // along with the fencing token.
                           if (Lease.isHeld(now))
                             FencingToken = fencing;
                         });
}

void DutyLease::write(Instant now) {
  const bool isRenewal = Lease.isHeld(now);
  const std::uint64_t fencing =
      isRenewal ? FencingToken : HighestFencingToken + 1;
  Resource object;
  object.Name = LeaseName;
  object.Revision = Lease.expectedVersion();
  object.Body = nlohmann::json{
      {"holder", State.Incarnation.text()},
      {"host", State.Settings.Host.text()},
      // A write that changes nothing gets no new revision from the store, and
      // other hosts would see a lease that is not renewed.
      {"renewals", ++LeaseWrites},
      {"fencing",
       fencing}}.dump();
  IsCallPending = true;
  const auto done = [this, now, fencing](const StoreResult<Resource> &result) {
    IsCallPending = false;
    const Instant at = bootNow();
    if (result.Got) {
      Lease.noteWritten(result.Got->Revision, now, at);
      FencingToken = fencing;
      HighestFencingToken = fencing;
    } else if (result.Failure == StoreFailure::Unknown) {
      Lease.noteUnknown(now, at);
    } else if (result.Failure != StoreFailure::Unavailable) {
      Lease.noteConflict(at);
    }
  };
  if (object.Revision == 0)
    State.Hooks.Store.Create(ResourceKind::Duties, object, done);
  else
    State.Hooks.Store.Replace(ResourceKind::Duties, object, done);
}

} // namespace sorrelbay
