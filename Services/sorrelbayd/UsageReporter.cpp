#include "UsageReporter.h"
#include "LibBase/BootClock.h"
#include "LibBase/LogLine.h"
#include <nlohmann/json.hpp>

namespace sorrelbay {

static constexpr const char *RecordName = "recent";
/// After a window's end until all hosts' counts of it have arrived.
static constexpr Duration SettleTime = milliseconds(1200);
/// Windows that are kept in the record.
static constexpr std::size_t MostRecorded = 12;

UsageReporter::UsageReporter(GatewayState &state, const DutyKeeper &duties)
    : State(state), Duties(duties),
      First(state.Usage.windowAt(state.Time.at(bootNow()))) {}

void UsageReporter::tick(Instant now) {
  State.Usage.forgetBefore(State.Usage.windowAt(State.Time.at(now)) -
                           static_cast<WindowNumber>(MostRecorded));
  if (!Duties.isHeld(now) || IsWaiting)
    return;
  if (ReadInTerm != Duties.term())
    return read();
  for (const auto &[window, it] : Recorded)
    if (!it.IsAccepted)
      return report();
  record(now);
}

void UsageReporter::read() {
  IsWaiting = true;
  const std::uint64_t term = Duties.term();
  State.Hooks.Store.Read(StoreKind::Usage, RecordName,
                         [this, term](const StoreResult<KeptObject> &result) {
                           IsWaiting = false;
                           if (result.Got) {
                             Revision = result.Got->Revision;
                             takeBody(result.Got->Body);
                           } else if (result.Failure != StoreFailure::Missing) {
                             return;
                           } else {
                             Revision = 0;
                             Recorded.clear();
                           }
                           ReadInTerm = term;
                           tick(bootNow());
                         });
}

void UsageReporter::record(Instant now) {
  const Instant trueNow = State.Time.at(now);
  const WindowNumber next =
      Recorded.empty() ? First : Recorded.rbegin()->first + 1;
  if (trueNow < State.Usage.endOf(next) + SettleTime)
    return;
  Recorded[next].Counts = State.Usage.sum(next);
  while (Recorded.size() > MostRecorded)
    Recorded.erase(Recorded.begin());
  KeptObject object;
  object.Name = RecordName;
  object.Revision = Revision;
  object.Body = bodyText();
  IsWaiting = true;
  const auto done = [this, next](const StoreResult<KeptObject> &result) {
    IsWaiting = false;
    if (result.Got) {
      Revision = result.Got->Revision;
      tick(bootNow());
      return;
    }
    // Not recorded, or not known to be: nothing may be reported from it before
    // the store has been read again.
    Recorded.erase(next);
    ReadInTerm.reset();
  };
  if (Revision == 0)
    State.Hooks.Store.Create(StoreKind::Usage, object, done);
  else
    State.Hooks.Store.Replace(StoreKind::Usage, object, done);
}

void UsageReporter::report() {
  std::vector<WindowNumber> open;
  for (const auto &[number, it] : Recorded)
    if (!it.IsAccepted)
      open.push_back(number);
  const GatewayBounds &bounds = State.Settings.Bounds;
  const auto next = mostUrgent(open, bounds.UsageWindow, bounds.UsageDue,
                               State.Time.at(bootNow()));
  if (!next)
    return;
  const WindowNumber window = *next;
  IsWaiting = true;
  State.Hooks.Cloud.ReportUsage(Duties.stamp(), window, Recorded[window].Counts,
                                [this, window](CloudResult result) {
                                  IsWaiting = false;
                                  LogLine(Severity::Info, "usage reported")
                                      .field("window", window)
                                      .field("result",
                                             static_cast<std::int64_t>(result));
                                  if (result != CloudResult::Accepted)
                                    return;
                                  Recorded[window].IsAccepted = true;
                                  // A new holder has windows to catch up with.
                                  tick(bootNow());
                                });
}

std::string UsageReporter::bodyText() const {
  nlohmann::json windows = nlohmann::json::array();
  for (const auto &[number, it] : Recorded) {
    nlohmann::json counts = nlohmann::json::object();
    for (const auto &[team, count] : it.Counts)
      counts[team.text()] = count;
    windows.push_back(
        {{"window", number}, {"counts", counts}, {"accepted", it.IsAccepted}});
  }
  return nlohmann::json{{"windows", windows}}.dump();
}

void UsageReporter::takeBody(const std::string &text) {
  Recorded.clear();
  try {
    const auto body = nlohmann::json::parse(text);
    for (const auto &it : body.at("windows")) {
      Window &window = Recorded[it.at("window").get<WindowNumber>()];
      window.IsAccepted = it.at("accepted").get<bool>();
      for (const auto &count : it.at("counts").items())
        window.Counts[TeamId(count.key())] = count.value().get<std::int64_t>();
    }
  } catch (const nlohmann::json::exception &error) {
    LogLine(Severity::Error, "usage record can't be read")
        .field("why", error.what());
  }
}

} // namespace sorrelbay
