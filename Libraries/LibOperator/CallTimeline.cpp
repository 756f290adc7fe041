#include "LibOperator/CallTimeline.h"
#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>

namespace sorrelbay {

namespace {

using Json = nlohmann::json;

/// How long before the start of a call an event may have caused its end, and
/// how long after its end the cause may be logged, in milliseconds.
constexpr std::int64_t WindowBeforeMs = 6000;
constexpr std::int64_t WindowAfterMs = 1000;

/// Events that concern a whole host rather than a call.
const std::set<std::string> HostEvents = {
    "started",          "stopping",
    "stopped",          "plan in force",
    "plan refused",     "store view failed",
    "peer gone",        "store view regained",
    "reload asked for", "log lines lost",
    "event loop fault"};

struct CauseDescription {
  const char *Cause;
  const char *Text;
};

/// docs/OPERATIONS.md lists the same causes.
const CauseDescription CauseDescriptions[] = {
    {"no_plan_yet", "the process had not received a configuration yet"},
    {"no_route", "the plan in force has no route for the call"},
    {"no_such_key", "no team of the plan in force has the caller's key"},
    {"no_route_and_plan_stale", "the host's plan has no route for the call, "
                                "but was too old to be reliable"},
    {"no_key_and_plan_stale", "the host's plan has no such key, but was too "
                              "old to be reliable"},
    {"keys_stale", "the host's plan was too old to check keys against"},
    {"beyond_allotment", "the team had used up its allotment across all hosts"},
    {"stopping",
     "the host was stopping and could not complete the call in time"},
    {"no_upstream", "no remaining upstream was ready and accepted another "
                    "connection"},
    {"no_connection", "no upstream could be reached"},
    {"no_attempt_left", "the route allows no further attempt"},
    {"upstream_turned_away",
     "the upstream rejected the call without running it"},
    {"upstream_broke_off",
     "the connection to the upstream was lost; the call may have run"},
    {"upstream_truncated",
     "the upstream's response was truncated; the call may have run"},
    {"deadline", "the deadline of the call passed"},
    {"prompt_quarantined", "upstreams crash under a part of the call's prompt; "
                           "see its line with the parts"},
    {"resume_failed", "the stream could not be resumed at another upstream"},
};

std::string textOf(const Json &from, const char *key) {
  const auto it = from.find(key);
  return it != from.end() && it->is_string() ? it->get<std::string>() : "";
}

std::int64_t numberOf(const Json &from, const char *key) {
  const auto it = from.find(key);
  return it != from.end() && it->is_number() ? it->get<std::int64_t>() : 0;
}

bool isEnd(const TimelineEntry &line) { return !line.Outcome.empty(); }

bool isFailure(const TimelineEntry &line) {
  return isEnd(line) && line.Outcome != "answered" &&
         line.Outcome != "caller_left";
}

/// Parses a line; returns nothing if it is truncated or not written by a
/// daemon.
std::optional<TimelineEntry> readLine(const std::string &raw) {
  const std::size_t begin = raw.find("{\"");
  if (begin == std::string::npos)
    return std::nullopt;
  TimelineEntry line;
  line.Text = raw.substr(begin);
  const Json json = Json::parse(line.Text, nullptr, false);
  if (!json.is_object())
    return std::nullopt;
  line.TimeMs = numberOf(json, "time_ms");
  line.Host = textOf(json, "host");
  line.Event = textOf(json, "event");
  line.CallId = textOf(json, "id");
  line.Upstream = textOf(json, "upstream");
  line.Outcome = textOf(json, "outcome");
  line.Cause = textOf(json, "cause");
  line.Status = static_cast<int>(numberOf(json, "status"));
  line.OpenMs = numberOf(json, "ms");
  return line;
}

std::string describeCause(const std::string &cause) {
  for (const CauseDescription &it : CauseDescriptions)
    if (cause == it.Cause)
      return it.Text;
  return cause;
}

/// The time window in which other lines may be relevant to the call.
struct TimeWindow {
  std::int64_t FromMs = 0;
  std::int64_t ToMs = 0;
  bool contains(const TimelineEntry &line) const {
    return line.TimeMs >= FromMs && line.TimeMs <= ToMs;
  }
};

TimeWindow windowOf(const TimelineEntry &line) {
  return {line.TimeMs - line.OpenMs - WindowBeforeMs,
          line.TimeMs + WindowAfterMs};
}

/// Describes how many other calls failed at the same upstream in the call's
/// time window, and on how many hosts. Many failures point to the upstream as
/// the cause; a single one does not.
std::string describeOtherFailures(const TimelineEntry &end,
                                  const std::vector<TimelineEntry> &lines) {
  const TimeWindow window = windowOf(end);
  std::size_t calls = 0;
  std::set<std::string> hosts;
  for (const TimelineEntry &it : lines) {
    const bool isOther = isFailure(it) && it.Upstream == end.Upstream &&
                         it.CallId != end.CallId && window.contains(it);
    if (!isOther)
      continue;
    ++calls;
    hosts.insert(it.Host);
  }
  if (calls == 0)
    return "no other call is known to have failed there in that period";
  return std::to_string(calls) +
         " other calls failed there in that period, on " +
         std::to_string(hosts.size()) + " hosts";
}

std::string describeEnd(const TimelineEntry &end,
                        const std::vector<TimelineEntry> &lines) {
  std::ostringstream out;
  out << end.CallId << " ended with outcome " << end.Outcome << ", status "
      << end.Status << " on host " << end.Host << " after " << end.OpenMs
      << " ms";
  if (!end.Cause.empty())
    out << ": " << describeCause(end.Cause) << " (" << end.Cause << ")";
  if (isFailure(end) && !end.Upstream.empty())
    out << "; at upstream " << end.Upstream << ", "
        << describeOtherFailures(end, lines);
  return out.str();
}

} // namespace

std::vector<TimelineEntry> readTimeline(std::istream &log,
                                        const std::string &callId,
                                        std::size_t &unreadableCount) {
  std::vector<TimelineEntry> out;
  for (std::string raw; std::getline(log, raw);) {
    if (raw.empty())
      continue;
    const std::optional<TimelineEntry> line = readLine(raw);
    if (!line)
      ++unreadableCount;
    else if (line->CallId == callId || !isEnd(*line) || isFailure(*line))
      out.push_back(*line);
  }
  return out;
}

CallTimeline buildTimeline(const std::string &callId,
                           const std::vector<TimelineEntry> &lines) {
  CallTimeline timeline;
  std::vector<const TimelineEntry *> ends;
  for (const TimelineEntry &it : lines)
    if (it.CallId == callId && isEnd(it))
      ends.push_back(&it);
  const auto isRelevant = [&](const TimelineEntry &it) {
    if (it.CallId == callId)
      return true;
    return std::any_of(ends.begin(), ends.end(), [&](const TimelineEntry *end) {
      if (!windowOf(*end).contains(it) || !it.CallId.empty())
        return false;
      const bool isHostEvent =
          it.Host == end->Host && HostEvents.count(it.Event) != 0;
      return isHostEvent ||
             (!it.Upstream.empty() && it.Upstream == end->Upstream);
    });
  };
  for (const TimelineEntry &it : lines)
    if (isRelevant(it))
      timeline.Lines.push_back(it);
  std::stable_sort(timeline.Lines.begin(), timeline.Lines.end(),
                   [](const TimelineEntry &a, const TimelineEntry &b) {
                     return a.TimeMs < b.TimeMs;
                   });
  for (const TimelineEntry *it : ends)
    timeline.Causes.push_back(describeEnd(*it, lines));
  return timeline;
}

} // namespace sorrelbay
