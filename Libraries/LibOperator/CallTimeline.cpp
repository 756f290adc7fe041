#include "LibOperator/CallTimeline.h"
#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>

namespace sorrelbay {

namespace {

using Json = nlohmann::json;

/// So long before a call began something may have happened that ended it, and
/// so long after its end the reason may be written.
constexpr std::int64_t LookBackMs = 6000;
constexpr std::int64_t LookAfterMs = 1000;

/// What a host says of itself, whatever the call.
const std::set<std::string> HostEvents = {
    "started",          "stopping",
    "stopped",          "plan in force",
    "plan refused",     "store view failed",
    "peer gone",        "store view regained",
    "reload asked for", "log lines lost",
    "event loop fault"};

struct CauseWords {
  const char *Cause;
  const char *Words;
};

/// In the words of docs/OPERATIONS.md.
const CauseWords Causes[] = {
    {"no_plan_yet", "the process had not seen a configuration"},
    {"no_route", "the plan in force has no route for it"},
    {"no_such_key", "no team of the plan in force has its key"},
    {"no_route_and_plan_stale", "its plan has no route for it, and is too old "
                                "to say so for certain"},
    {"no_key_and_plan_stale", "its plan has no such key, and is too old to say "
                              "so for certain"},
    {"keys_stale", "the host's plan was too old to say which keys count"},
    {"beyond_allotment", "the team had used its allotment over all hosts"},
    {"stopping", "the host was stopping and could not have ended it in time"},
    {"no_upstream", "no upstream was left that is ready and takes another "
                    "connection"},
    {"no_connection", "no upstream could be reached"},
    {"no_attempt_left", "its route allows no further attempt"},
    {"upstream_turned_away", "the upstream said that it did not run it"},
    {"upstream_broke_off", "the upstream broke off; it may have run"},
    {"upstream_truncated", "the upstream's answer broke off; it may have run"},
    {"deadline", "its time was over"},
    {"resume_failed", "its stream could not go on at another upstream"},
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

bool isBad(const TimelineEntry &line) {
  return isEnd(line) && line.Outcome != "answered" &&
         line.Outcome != "caller_left";
}

/// Nothing for a line that is cut, torn or not the daemon's.
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

std::string wordsFor(const std::string &cause) {
  for (const CauseWords &it : Causes)
    if (cause == it.Cause)
      return it.Words;
  return cause;
}

/// The span of time in which other lines may bear on the call.
struct Span {
  std::int64_t FromMs = 0;
  std::int64_t ToMs = 0;
  bool holds(const TimelineEntry &line) const {
    return line.TimeMs >= FromMs && line.TimeMs <= ToMs;
  }
};

Span spanOf(const TimelineEntry &line) {
  return {line.TimeMs - line.OpenMs - LookBackMs, line.TimeMs + LookAfterMs};
}

/// How many other calls ended badly at the same upstream at that time, and on
/// how many hosts: an upstream at which all do is the cause, one call alone is
/// not.
std::string othersAt(const TimelineEntry &end,
                     const std::vector<TimelineEntry> &lines) {
  const Span span = spanOf(end);
  std::size_t calls = 0;
  std::set<std::string> hosts;
  for (const TimelineEntry &it : lines) {
    const bool isOther = isBad(it) && it.Upstream == end.Upstream &&
                         it.CallId != end.CallId && span.holds(it);
    if (!isOther)
      continue;
    ++calls;
    hosts.insert(it.Host);
  }
  if (calls == 0)
    return "no other call is known to have failed there at that time";
  return std::to_string(calls) + " other calls failed there at that time, on " +
         std::to_string(hosts.size()) + " hosts";
}

std::string causeOf(const TimelineEntry &end,
                    const std::vector<TimelineEntry> &lines) {
  std::ostringstream out;
  out << end.CallId << " ended as " << end.Outcome << " with " << end.Status
      << " on " << end.Host << " after " << end.OpenMs << " ms";
  if (!end.Cause.empty())
    out << ": " << wordsFor(end.Cause) << " (" << end.Cause << ")";
  if (isBad(end) && !end.Upstream.empty())
    out << "; at " << end.Upstream << ", " << othersAt(end, lines);
  return out.str();
}

} // namespace

std::vector<TimelineEntry> readTimeline(std::istream &log,
                                        const std::string &callId,
                                        std::size_t &unreadable) {
  std::vector<TimelineEntry> out;
  for (std::string raw; std::getline(log, raw);) {
    if (raw.empty())
      continue;
    const std::optional<TimelineEntry> line = readLine(raw);
    if (!line)
      ++unreadable;
    else if (line->CallId == callId || !isEnd(*line) || isBad(*line))
      out.push_back(*line);
  }
  return out;
}

CallTimeline buildTimeline(const std::string &callId,
                           const std::vector<TimelineEntry> &lines) {
  CallTimeline story;
  std::vector<const TimelineEntry *> ends;
  for (const TimelineEntry &it : lines)
    if (it.CallId == callId && isEnd(it))
      ends.push_back(&it);
  const auto bears = [&](const TimelineEntry &it) {
    if (it.CallId == callId)
      return true;
    return std::any_of(ends.begin(), ends.end(), [&](const TimelineEntry *end) {
      if (!spanOf(*end).holds(it) || !it.CallId.empty())
        return false;
      const bool isOfHost =
          it.Host == end->Host && HostEvents.count(it.Event) != 0;
      return isOfHost || (!it.Upstream.empty() && it.Upstream == end->Upstream);
    });
  };
  for (const TimelineEntry &it : lines)
    if (bears(it))
      story.Lines.push_back(it);
  std::stable_sort(story.Lines.begin(), story.Lines.end(),
                   [](const TimelineEntry &a, const TimelineEntry &b) {
                     return a.TimeMs < b.TimeMs;
                   });
  for (const TimelineEntry *it : ends)
    story.Causes.push_back(causeOf(*it, lines));
  return story;
}

} // namespace sorrelbay
