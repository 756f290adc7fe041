#include "LibHostList/HostList.h"
#include "LibBase/JsonList.h"
#include "LibBase/LogLine.h"
#include "LibHttp/HttpClient.h"
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>

namespace sorrelbay {

using Json = nlohmann::json;

static constexpr int StatusOk = 200;
/// Malformed entries that are logged, and bytes of one that are.
static constexpr std::size_t MaxLoggedEntries = 64;
static constexpr std::size_t MaxLoggedBytes = 300;

/// The list is fetched every second.
static void logOnce(const std::string &error) {
  static std::mutex mutex;
  static std::set<std::string> logged;
  const std::lock_guard<std::mutex> lock(mutex);
  if (logged.size() < MaxLoggedEntries && logged.insert(error).second)
    LogLine(Severity::Warning, "skipped a malformed entry of the host list")
        .field("error", error);
}

static HostRole parseRole(const std::string &text) {
  if (text == "entry")
    return HostRole::Entry;
  if (text == "engine")
    return HostRole::Engine;
  if (text == "desk")
    return HostRole::Desk;
  throw HostListUnavailable("unknown host role: " + text);
}

static HostListEntry parseEntry(const Json &json) {
  HostListEntry entry;
  entry.Address = json.at("address").get<std::string>();
  entry.PeerAddress = json.value("peer_address", "");
  entry.Role = parseRole(json.at("role").get<std::string>());
  entry.Zone = ZoneId(json.value("zone", ""));
  entry.Service = ServiceId(json.value("service", ""));
  entry.Version = VersionId(json.value("version", ""));
  entry.IsLeaving = json.value("state", "live") != "live";
  entry.LeavesAt =
      fromEpochMilliseconds(json.value("leaves_at_ms", std::int64_t{0}));
  return entry;
}

std::vector<HostListEntry> parseHostList(const std::string &text) {
  const auto list = parseJsonArray(text, "address");
  if (!list)
    throw HostListUnavailable("the host list is not a JSON array");
  std::vector<HostListEntry> out;
  for (const JsonListEntry &it : *list) {
    try {
      if (!it.Value)
        throw HostListUnavailable("it is not valid JSON: " +
                                  it.Text.substr(0, MaxLoggedBytes));
      out.push_back(parseEntry(*it.Value));
    } catch (const std::exception &error) {
      logOnce(error.what());
    }
  }
  return out;
}

std::vector<HostListEntry> fetchHostList(const std::string &platform,
                                         Duration timeout) {
  HttpCall call;
  call.Path = "/v1/hosts";
  call.ConnectTimeout = timeout;
  call.ReadTimeout = timeout;
  HttpReply reply;
  try {
    reply = sendOnce(platform, call);
  } catch (const Error &error) {
    throw HostListUnavailable(error.what());
  }
  if (reply.Status != StatusOk)
    throw HostListUnavailable("the request for the host list returned status " +
                              std::to_string(reply.Status));
  return parseHostList(reply.Body);
}

} // namespace sorrelbay
