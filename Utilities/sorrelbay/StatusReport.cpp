#include "StatusReport.h"
#include "LibBase/Rfc3339.h"
#include <cstdio>
#include <nlohmann/json.hpp>

namespace sorrelbay {

namespace {

using nlohmann::ordered_json;

constexpr const char *Green = "\033[32m";
constexpr const char *Red = "\033[31m";
constexpr const char *Yellow = "\033[33m";
constexpr const char *Reset = "\033[0m";
constexpr double MicrosPerCurrencyUnit = 1e6;
constexpr std::size_t LineBytes = 512;

const char *colourOf(PublishedRolloutState state) {
  switch (state) {
  case PublishedRolloutState::Moving:
    return Yellow;
  case PublishedRolloutState::Done:
    return Green;
  case PublishedRolloutState::TakenBack:
    return Red;
  }
  return Reset;
}

const char *labelOf(PublishedRolloutState state) {
  return state == PublishedRolloutState::TakenBack ? "taken back"
                                                   : nameOf(state);
}

std::string timeOrDash(Instant at) {
  return at == Instant() ? "-" : formatRfc3339(at);
}

template <typename... Values>
std::string formatLine(const char *format, Values... values) {
  char buf[LineBytes];
  std::snprintf(buf, sizeof buf, format, values...);
  return buf;
}

std::string bundleLine(const std::optional<CurrentBundle> &current) {
  if (!current)
    return "no bundle is current\n";
  return "bundle: generation " + std::to_string(current->Content.Generation) +
         ", signed by key " + current->SignedBy.text() + "\n";
}

std::string rolloutLine(const RolloutStatusObject &status, bool isColoured) {
  const std::string start =
      formatLine("%-20s %-16s %10llu ", status.Version.text().c_str(),
                 status.Service.text().c_str(),
                 static_cast<unsigned long long>(status.Generation));
  const std::string state = formatLine("%-10s", labelOf(status.State));
  const std::string end =
      formatLine(" %5d %6.2f%% %-20s %10.4f %-20s ", status.Stage,
                 100 * status.Share, timeOrDash(status.Deadline).c_str(),
                 static_cast<double>(status.Cost) / MicrosPerCurrencyUnit,
                 timeOrDash(status.Since).c_str());
  if (!isColoured)
    return start + state + end + status.Reason + "\n";
  return start + colourOf(status.State) + state + Reset + end + status.Reason +
         "\n";
}

std::string evidenceLine(const RouteEvidence &evidence) {
  return "  " + evidence.OnRoute.text() + ": " +
         std::to_string(evidence.Count.Calls) + " calls, " +
         std::to_string(evidence.Count.Failures) + " failed, " +
         std::to_string(evidence.Count.Late) + " late\n";
}

} // namespace

StatusReport readStatusReport(const ObjectApi &api) {
  return {readCurrentBundle(api), readRolloutStatuses(api)};
}

std::string renderTable(const StatusReport &report, bool isColoured) {
  std::string out = bundleLine(report.Current);
  if (report.Rollouts.empty())
    return out + "no rollouts\n";
  out += formatLine("%-20s %-16s %10s %-10s %5s %7s %-20s %10s %-20s %s\n",
                    "VERSION", "SERVICE", "GENERATION", "STATE", "STAGE",
                    "SHARE", "DEADLINE", "COST", "SINCE", "REASON");
  for (const RolloutStatusObject &it : report.Rollouts) {
    out += rolloutLine(it, isColoured);
    for (const RouteEvidence &evidence : it.Evidence)
      out += evidenceLine(evidence);
  }
  return out;
}

std::string renderJson(const StatusReport &report) {
  ordered_json out;
  out["bundle"] = nullptr;
  if (report.Current)
    out["bundle"] = {{"generation", report.Current->Content.Generation},
                     {"key", report.Current->SignedBy.text()}};
  out["moves"] = ordered_json::array();
  for (const RolloutStatusObject &it : report.Rollouts)
    out["moves"].push_back(ordered_json::parse(encodeRolloutStatus(it)));
  return out.dump(-1, ' ', false, ordered_json::error_handler_t::replace) +
         "\n";
}

} // namespace sorrelbay
