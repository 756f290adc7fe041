#include "LibOperator/OperatorRequestsObject.h"
#include "LibBase/JsonList.h"
#include "LibBase/Rfc3339.h"
#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

namespace sorrelbay {

using nlohmann::json;

namespace {

constexpr std::size_t MaxNameBytes = 128;
constexpr std::size_t MaxByBytes = 64;
/// The year 2255; later times overflow when they are compared.
constexpr std::int64_t MaxUntilMs = 9'000'000'000'000;
/// An operator's clock may be ahead of the fleet's by so much without a request
/// being dropped before it ends.
constexpr Duration ClockMargin = seconds(3600);

void checkText(const std::string &text, std::size_t maxBytes,
               const std::string &what) {
  // The text stands in log lines and in the operators' table.
  const bool isPrintable = std::all_of(
      text.begin(), text.end(), [](char it) { return it > ' ' && it <= '~'; });
  if (text.empty() || text.size() > maxBytes || !isPrintable)
    throw OperatorRequestsMalformed(what + " must be 1 to " +
                                    std::to_string(maxBytes) +
                                    " printable characters without spaces");
}

void checkWeight(std::int64_t weight) {
  if (weight < MinTeamWeight || weight > MaxTeamWeight)
    throw OperatorRequestsMalformed(
        "a weight must be " + std::to_string(MinTeamWeight) + " to " +
        std::to_string(MaxTeamWeight) + ", not " + std::to_string(weight));
}

void checkBytes(const std::string &body) {
  if (body.size() > MaxOperatorRequestsBytes)
    throw OperatorRequestsMalformed("the requests take more than " +
                                    std::to_string(MaxOperatorRequestsBytes) +
                                    " bytes");
}

void checkCount(const OperatorRequests &requests) {
  const std::size_t n = requests.Upstreams.size() + requests.Hosts.size() +
                        requests.TeamWeights.size();
  if (n > MaxOperatorRequests)
    throw OperatorRequestsMalformed("there are " + std::to_string(n) +
                                    " requests; the most is " +
                                    std::to_string(MaxOperatorRequests));
}

void checkBounds(const OperatorRequests &requests) {
  checkCount(requests);
  const auto checkHolds = [](const auto &holds) {
    for (const auto &[id, hold] : holds) {
      checkText(id.text(), MaxNameBytes, "a name");
      checkText(hold.By, MaxByBytes, "\"by\"");
    }
  };
  checkHolds(requests.Upstreams);
  checkHolds(requests.Hosts);
  for (const auto &[team, weight] : requests.TeamWeights) {
    checkText(team.text(), MaxNameBytes, "a name");
    checkWeight(weight);
  }
}

template <typename Id>
json holdsToJson(const std::map<Id, OperatorHold> &holds, const char *nameKey) {
  json out = json::array();
  for (const auto &[id, hold] : holds)
    out.push_back(
        {{nameKey, id.text()},
         {"until_ms", hold.Until ? toEpochMilliseconds(*hold.Until) : 0},
         {"by", hold.By}});
  return out;
}

template <typename Id>
void addHold(std::map<Id, OperatorHold> &to, const json &from,
             const char *nameKey) {
  OperatorHold hold;
  hold.By = from.at("by").get<std::string>();
  const auto untilMs = from.at("until_ms").get<std::int64_t>();
  if (untilMs < 0 || untilMs > MaxUntilMs)
    throw OperatorRequestsMalformed("a time is out of range");
  if (untilMs != 0)
    hold.Until = fromEpochMilliseconds(untilMs);
  const Id id(from.at(nameKey).get<std::string>());
  checkText(id.text(), MaxNameBytes, "a name");
  checkText(hold.By, MaxByBytes, "\"by\"");
  if (!to.emplace(id, hold).second)
    throw OperatorRequestsMalformed("a name is listed twice");
}

void addTeam(std::map<TeamId, int> &to, const json &from) {
  const auto weight = from.at("weight").get<std::int64_t>();
  checkWeight(weight);
  const TeamId team(from.at("name").get<std::string>());
  checkText(team.text(), MaxNameBytes, "a name");
  if (!to.emplace(team, static_cast<int>(weight)).second)
    throw OperatorRequestsMalformed("a name is listed twice");
}

/// Without `refused`, a malformed entry is thrown; otherwise it is left out.
OperatorRequests parseRequests(const std::string &body,
                               std::vector<std::string> *refused) {
  // A larger text is not parsed: that would delay all calls of the host.
  checkBytes(body);
  OperatorRequests out;
  try {
    const json object = parseJson(body);
    forEachElement(object.at("upstreams"), refused,
                   [&](const json &it) { addHold(out.Upstreams, it, "id"); });
    forEachElement(object.at("hosts"), refused,
                   [&](const json &it) { addHold(out.Hosts, it, "name"); });
    forEachElement(object.at("teams"), refused,
                   [&](const json &it) { addTeam(out.TeamWeights, it); });
  } catch (const json::exception &error) {
    throw OperatorRequestsMalformed(
        std::string("the stored requests can't be read: ") + error.what());
  }
  checkCount(out);
  return out;
}

template <typename Id>
void dropEnded(std::map<Id, OperatorHold> &holds, Instant now) {
  for (auto it = holds.begin(); it != holds.end();)
    it = it->second.isInForce(now) ? std::next(it) : holds.erase(it);
}

template <typename Id>
void listHolds(const std::map<Id, OperatorHold> &holds, const char *kind,
               Instant now, std::ostream &out) {
  for (const auto &[id, hold] : holds) {
    out << kind << ' ' << id.text()
        << (hold.isInForce(now) ? " held until " : " was held until ")
        << (hold.Until ? formatRfc3339(*hold.Until) : "released") << " by "
        << hold.By << '\n';
  }
}

} // namespace

std::string renderOperatorRequests(const OperatorRequests &requests) {
  checkBounds(requests);
  json teams = json::array();
  for (const auto &[team, weight] : requests.TeamWeights)
    teams.push_back({{"name", team.text()}, {"weight", weight}});
  std::string out = json{{"upstreams", holdsToJson(requests.Upstreams, "id")},
                         {"hosts", holdsToJson(requests.Hosts, "name")},
                         {"teams", std::move(teams)}}
                        .dump();
  checkBytes(out);
  return out;
}

OperatorRequests parseOperatorRequests(const std::string &body) {
  return parseRequests(body, nullptr);
}

OperatorRequests readOperatorRequests(const std::string &body,
                                      std::vector<std::string> &refused) {
  return parseRequests(body, &refused);
}

void dropEndedRequests(OperatorRequests &requests, Instant now) {
  dropEnded(requests.Upstreams, now - ClockMargin);
  dropEnded(requests.Hosts, now - ClockMargin);
}

std::string renderOperatorRequestsTable(const OperatorRequests &requests,
                                        Instant now) {
  std::ostringstream out;
  listHolds(requests.Upstreams, "upstream", now, out);
  listHolds(requests.Hosts, "host", now, out);
  for (const auto &[team, weight] : requests.TeamWeights)
    out << "team " << team.text() << " weight " << weight << '\n';
  return out.str();
}

} // namespace sorrelbay
