#include "UsageReporter.h"
#include "LibBase/BootClock.h"
#include "LibBase/LogLine.h"

namespace sorrelbay {

static constexpr const char *RecordName = "recent";
/// Time after a window's end within which all hosts' counts of it arrive.
static constexpr Duration SettleTime = milliseconds(1200);
/// Share of the due time for which a window waits for silent hosts.
static constexpr double MaxSettleShare = 0.5;
/// A window does not wait if at most this share of all hosts is silent: what
/// they counted changes the sum too little to matter.
static constexpr double NegligibleSilentShare = 0.025;
/// Interval at which the counts known so far of unsettled windows are stored.
static constexpr Duration SaveInterval = seconds(1);
/// Number of windows kept in the record.
static constexpr std::size_t MaxRecordedWindows = 12;

UsageReporter::UsageReporter(GatewayState &state, const DutyLease &duties)
    : State(state), Duties(duties),
      FirstWindow(state.Usage.windowAt(state.Time.at(bootNow()))) {}

void UsageReporter::tick(Instant now) {
  State.Usage.forgetBefore(State.Usage.windowAt(State.Time.at(now)) -
                           static_cast<WindowNumber>(MaxRecordedWindows));
  if (!Duties.isHeld(now) || IsCallPending)
    return;
  if (RecordTerm != Duties.term())
    return read();
  for (const auto &[window, it] : Settled)
    if (!it.IsAccepted)
      return report();
  settle(now);
}

void UsageReporter::read() {
  IsCallPending = true;
  const std::uint64_t term = Duties.term();
  State.Hooks.Store.Read(ResourceKind::Usage, RecordName,
                         [this, term](const StoreResult<Resource> &result) {
                           IsCallPending = false;
                           if (result.Got) {
                             Revision = result.Got->Revision;
                             applyRecord(result.Got->Body);
                           } else if (result.Failure != StoreFailure::Missing) {
                             return;
                           } else {
                             Revision = 0;
                             Settled.clear();
                           }
                           RecordTerm = term;
                           tick(bootNow());
                         });
}

/// Whether the window's counts are final. A silent host may have been suspended
/// and hold counts that no other host has received; it is waited for as long as
/// the report is not late.
bool UsageReporter::isSettled(WindowNumber window, Instant now) const {
  const Duration age = State.Time.at(now) - State.Usage.endOf(window);
  const Duration maxSettleTime =
      fromSeconds(toSeconds(State.Settings.Bounds.UsageDue) * MaxSettleShare);
  const bool hasEnoughReports =
      State.Fleet.silentFraction(now) <= NegligibleSilentShare;
  return age >= SettleTime && (hasEnoughReports || age >= maxSettleTime);
}

void UsageReporter::settle(Instant now) {
  const WindowNumber next =
      Settled.empty() ? FirstWindow : Settled.rbegin()->first + 1;
  if (isSettled(next, now)) {
    Settled[next].Counts = State.Usage.sum(next);
    while (Settled.size() > MaxRecordedWindows)
      Settled.erase(Settled.begin());
  } else if (now - SavedAt < SaveInterval) {
    return;
  }
  saveRecord(now);
}

void UsageReporter::saveRecord(Instant now) {
  SavedAt = now;
  const WindowNumber next =
      Settled.empty() ? FirstWindow : Settled.rbegin()->first + 1;
  Resource object;
  object.Name = RecordName;
  object.Revision = Revision;
  object.Body = encodeUsageRecord({Settled, State.Usage.snapshotFrom(next)});
  IsCallPending = true;
  const auto done = [this](const StoreResult<Resource> &result) {
    IsCallPending = false;
    if (result.Got) {
      Revision = result.Got->Revision;
      tick(bootNow());
      return;
    }
    // The record was not written, or it is not known whether it was: nothing
    // may be reported from it before the store has been read again.
    Settled.clear();
    RecordTerm.reset();
  };
  if (Revision == 0)
    State.Hooks.Store.Create(ResourceKind::Usage, object, done);
  else
    State.Hooks.Store.Replace(ResourceKind::Usage, object, done);
}

void UsageReporter::report() {
  std::vector<WindowNumber> open;
  for (const auto &[number, it] : Settled)
    if (!it.IsAccepted)
      open.push_back(number);
  const GatewayBounds &bounds = State.Settings.Bounds;
  const auto next = mostUrgentWindow(open, bounds.UsageWindow, bounds.UsageDue,
                                     State.Time.at(bootNow()));
  if (!next)
    return;
  const WindowNumber window = *next;
  IsCallPending = true;
  State.Hooks.Cloud.ReportUsage(
      Duties.leaseHolder(), window, Settled[window].Counts,
      [this, window](CloudResult result) {
        IsCallPending = false;
        LogLine(Severity::Info, "usage reported")
            .field("window", window)
            .field("result", static_cast<std::int64_t>(result));
        if (result != CloudResult::Accepted)
          return;
        Settled[window].IsAccepted = true;
        // A new holder may have more windows to
        // report.
        tick(bootNow());
      });
}

void UsageReporter::applyRecord(const std::string &text) {
  Settled.clear();
  try {
    const UsageRecord record = decodeUsageRecord(text);
    Settled = record.Settled;
    for (const auto &[window, known] : record.Known)
      State.Usage.mergeSnapshot(window, known);
  } catch (const UsageRecordMalformed &error) {
    LogLine(Severity::Error, "usage record is malformed")
        .field("why", error.what());
  }
}

} // namespace sorrelbay
