#include "DutyLease.h"
#include "LibBase/BootClock.h"
#include "LibBase/LogLine.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace sorrelbay {

static constexpr const char *LeaseName = "duties";
/// Beyond the bound, so that two holders never act by turns within it.
static constexpr Duration TermMargin = seconds(1);
/// Hosts of a group that stand by to take the duties; were it all, a large
/// fleet would ask the store for the lease hundreds of times a second.
static constexpr std::size_t Standbys = 3;

static LeaderLeaseSettings leaseSettings(const GatewayBounds &bounds) {
  LeaderLeaseSettings settings;
  settings.Term = bounds.Lease + TermMargin;
  settings.OrderTimeout = Duration::zero();
  return settings;
}

DutyLease::DutyLease(GatewayState &state)
    : State(state),
      Lease(state.Incarnation, leaseSettings(state.Settings.Bounds)) {}

LeaseHolder DutyLease::stamp() const {
  return {State.Settings.Host, FencingToken};
}

bool DutyLease::mayStandBy(Instant now) const {
  return !State.isStopping() && !State.Fleet.holdsDuties(now) &&
         State.Fleet.isAmongFirst(State.Self(), Standbys, now);
}

void DutyLease::tick(Instant now) {
  if (WasHeld != Lease.isHeld(now)) {
    WasHeld = !WasHeld;
    LogLine(Severity::Info, WasHeld ? "duties taken" : "duties lost")
        .field("fencing", static_cast<std::int64_t>(FencingToken))
        .field("revision", static_cast<std::int64_t>(Lease.fencing()));
  }
  noteReportedHolders(now);
  if (IsWaiting)
    return;
  if (!WasHeld && !mayStandBy(now))
    return;
  switch (Lease.step(now)) {
  case LeaseStep::None:
    return;
  case LeaseStep::Read:
    return read(now);
  case LeaseStep::Write:
    // A host that stops lets the lease run out instead of handing it over:
    // the next holder then never acts within the old one's lease.
    if (!State.isStopping())
      write(now);
    return;
  }
}

void DutyLease::tell(FleetMember &self, Instant now) const {
  self.HoldsDuties = isHeld(now);
  if (!self.HoldsDuties)
    return;
  self.LeaseRevision = Lease.fencing();
  self.FencingToken = FencingToken;
}

void DutyLease::noteReportedHolders(Instant now) {
  for (const KnownMember &it : State.Fleet.members()) {
    if (it.Member.LeaseRevision == 0)
      continue;
    SeenFencing = std::max(SeenFencing, it.Member.FencingToken);
    Lease.noteReported(
        {IncarnationId(it.Member.Host.text()), it.Member.LeaseRevision}, now);
  }
}

void DutyLease::read(Instant /*now*/) {
  IsWaiting = true;
  State.Hooks.Store.Read(
      ResourceKind::Duties, LeaseName,
      [this](const StoreResult<Resource> &result) {
        IsWaiting = false;
        const Instant now = bootNow();
        if (!result.Got) {
          if (result.Failure == StoreFailure::Missing)
            Lease.noteRead({}, now);
          return;
        }
        const auto body =
            nlohmann::json::parse(result.Got->Body, nullptr, false);
        LeaseState seen;
        std::uint64_t fencing = 0;
        bool isOwnEarlier = false;
        seen.Version = result.Got->Revision;
        if (body.is_object()) {
          seen.Holder = IncarnationId(body.value("holder", ""));
          fencing = body.value("fencing", std::uint64_t{0});
          SeenFencing = std::max(SeenFencing, fencing);
          isOwnEarlier = body.value("host", "") == State.Settings.Host.text() &&
                         seen.Holder != State.Incarnation;
        }
        Lease.noteRead(seen, now);
        if (isOwnEarlier)
          Lease.noteReleased();
        // Its own write, whose answer was lost: the number
        // went with it.
        if (Lease.isHeld(now))
          FencingToken = fencing;
      });
}

void DutyLease::write(Instant now) {
  const bool isRenewal = Lease.isHeld(now);
  const std::uint64_t fencing = isRenewal ? FencingToken : SeenFencing + 1;
  Resource object;
  object.Name = LeaseName;
  object.Revision = Lease.expectedVersion();
  object.Body = nlohmann::json{
      {"holder", State.Incarnation.text()},
      {"host", State.Settings.Host.text()},
      // A write that changes nothing leaves the revision as it is: the others
      // would see a lease that nobody renews.
      {"renewals", ++Renewals},
      {"fencing",
       fencing}}.dump();
  IsWaiting = true;
  const auto done = [this, now, fencing](const StoreResult<Resource> &result) {
    IsWaiting = false;
    const Instant at = bootNow();
    if (result.Got) {
      Lease.noteWritten(result.Got->Revision, now, at);
      FencingToken = fencing;
      SeenFencing = fencing;
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
