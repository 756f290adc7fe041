// The platform's stand-in: object API, host list, cloud notices and offers,
// weight store. Everything under /admin is for tests.
#include "FakeMain.h"
#include <CLI/CLI.hpp>
#include <condition_variable>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

using namespace sorrelbay;
using Json = nlohmann::json;

namespace {

constexpr std::size_t MaxBody = 1024UL * 1024;
constexpr std::int64_t MaxWatchMs = 30'000;

HttpResponse status(int code, const std::string &text) {
  HttpResponse out;
  out.Status = code;
  out.Body = Json{{"detail", text}}.dump();
  return out;
}

/// An answer that is cut off before it is whole, so that the client can't know
/// what became of its call.
HttpResponse lostReply() {
  HttpResponse out;
  out.Stream = [](const HttpSink &) { return false; };
  return out;
}

struct Object {
  std::string Body;
  std::uint64_t Version = 0;
};

/// What tests make the platform do wrong.
struct Faults {
  bool IsDown = false;
  std::int64_t SlowMs = 0;
  /// So many of the next writes take effect but lose their replies.
  std::int64_t LoseReplies = 0;
  /// Only writes to names with this prefix lose them.
  std::string LosePrefix;
  std::int64_t HostListLagMs = 0;
  bool HostListIsDown = false;
  bool NoticesAreDown = false;
  std::int64_t RefuseStarts = 0;
  std::int64_t LoseCreateReplies = 0;
};

class Platform {
public:
  HttpResponse readObject(const HttpRequest &request);
  HttpResponse writeObject(const HttpRequest &request);
  HttpResponse listObjects(const HttpRequest &request);
  HttpResponse hosts();
  HttpResponse notices(const HttpRequest &request);
  HttpResponse offers();
  HttpResponse createHost(const HttpRequest &request);
  HttpResponse cloudHosts();
  HttpResponse deleteHost(const HttpRequest &request);
  HttpResponse setFaults(const HttpRequest &request);
  HttpResponse putHost(const HttpRequest &request);
  HttpResponse addNotice(const HttpRequest &request);
  HttpResponse setOffers(const HttpRequest &request);
  HttpResponse counters();

private:
  bool isServing(std::unique_lock<std::mutex> &lock);
  static HttpResponse render(const Object &object);

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, Object> Objects;
  std::map<std::string, Json> Hosts;
  /// Earlier states of the host list with the time at which each came up, for
  /// the lag.
  std::vector<std::pair<Instant, Json>> HostHistory;
  Json Notices = Json::array();
  Json Offers = Json::array();
  std::map<std::string, Json> CloudHostsByToken;
  Faults Set;
  std::map<std::string, std::int64_t> Counts;
};

bool Platform::isServing(std::unique_lock<std::mutex> &lock) {
  const std::int64_t slow = Set.SlowMs;
  if (slow > 0) {
    lock.unlock();
    std::this_thread::sleep_for(milliseconds(slow));
    lock.lock();
  }
  return !Set.IsDown;
}

HttpResponse Platform::render(const Object &object) {
  HttpResponse out;
  out.Body = object.Body;
  out.ContentType = "application/octet-stream";
  out.Headers.push_back({"ETag", "\"" + std::to_string(object.Version) + "\""});
  return out;
}

HttpResponse Platform::readObject(const HttpRequest &request) {
  std::unique_lock<std::mutex> lock(Mutex);
  ++Counts["reads"];
  if (!isServing(lock))
    return status(503, "outage");
  const std::string &name = request.Parts.at(0);
  const std::int64_t known = queryNumber(request, "watch", -1);
  if (known >= 0) {
    ++Counts["watches"];
    const auto waitLimit = milliseconds(
        std::min(MaxWatchMs, queryNumber(request, "timeout_ms", 0)));
    const bool hasChanged = Changed.wait_for(lock, waitLimit, [&] {
      const auto it = Objects.find(name);
      return Set.IsDown ||
             (it != Objects.end() &&
              it->second.Version > static_cast<std::uint64_t>(known));
    });
    if (Set.IsDown)
      return status(503, "outage");
    if (!hasChanged)
      return status(304, "unchanged");
  }
  const auto it = Objects.find(name);
  return it == Objects.end() ? status(404, "no such object")
                             : render(it->second);
}

HttpResponse Platform::writeObject(const HttpRequest &request) {
  std::unique_lock<std::mutex> lock(Mutex);
  ++Counts["writes"];
  if (!isServing(lock))
    return status(503, "outage");
  if (request.Body.size() > MaxBody)
    return status(413, "over a megabyte");
  const std::string &name = request.Parts.at(0);
  const std::string match = headerValue(request.Headers, "If-Match");
  const auto it = Objects.find(name);
  const std::uint64_t stored = it == Objects.end() ? 0 : it->second.Version;
  const std::string wanted = "\"" + std::to_string(stored) + "\"";
  const bool mustBeAbsent = hasHeader(request.Headers, "If-None-Match");
  if ((mustBeAbsent && stored != 0) || (!match.empty() && match != wanted)) {
    ++Counts["conflicts"];
    return status(412, "stored version is " + std::to_string(stored));
  }
  Object &object = Objects[name];
  object.Body = request.Body;
  object.Version = stored + 1;
  Changed.notify_all();
  if (Set.LoseReplies > 0 && name.rfind(Set.LosePrefix, 0) == 0) {
    --Set.LoseReplies;
    ++Counts["lost_replies"];
    return lostReply();
  }
  HttpResponse out = render(object);
  out.Body.clear();
  return out;
}

HttpResponse Platform::listObjects(const HttpRequest &request) {
  std::unique_lock<std::mutex> lock(Mutex);
  ++Counts["reads"];
  if (!isServing(lock))
    return status(503, "outage");
  const std::string prefix = headerValue(request.Query, "prefix");
  Json names = Json::array();
  for (const auto &it : Objects)
    if (it.first.rfind(prefix, 0) == 0)
      names.push_back(it.first);
  HttpResponse out;
  out.Body = names.dump();
  return out;
}

HttpResponse Platform::hosts() {
  const std::lock_guard<std::mutex> lock(Mutex);
  ++Counts["host_lists"];
  if (Set.HostListIsDown)
    return status(503, "outage");
  const Instant seen = now() - milliseconds(Set.HostListLagMs);
  Json shown = Json::array();
  for (const auto &it : HostHistory)
    if (it.first <= seen)
      shown = it.second;
  HttpResponse out;
  out.Body = shown.dump();
  return out;
}

HttpResponse Platform::notices(const HttpRequest &request) {
  std::unique_lock<std::mutex> lock(Mutex);
  ++Counts["notice_reads"];
  if (Set.NoticesAreDown)
    return status(503, "outage");
  const auto after = static_cast<std::size_t>(queryNumber(request, "after", 0));
  const auto waitLimit =
      milliseconds(std::min(MaxWatchMs, queryNumber(request, "timeout_ms", 0)));
  Changed.wait_for(lock, waitLimit, [&] { return Notices.size() > after; });
  Json fresh = Json::array();
  for (std::size_t n = after; n < Notices.size(); ++n)
    fresh.push_back(Notices[n]);
  HttpResponse out;
  out.Body = fresh.dump();
  return out;
}

HttpResponse Platform::offers() {
  const std::lock_guard<std::mutex> lock(Mutex);
  HttpResponse out;
  out.Body = Offers.dump();
  return out;
}

HttpResponse Platform::createHost(const HttpRequest &request) {
  const std::lock_guard<std::mutex> lock(Mutex);
  ++Counts["creates"];
  const std::string token = headerValue(request.Headers, "Idempotency-Key");
  const auto known = CloudHostsByToken.find(token);
  HttpResponse out;
  if (known != CloudHostsByToken.end()) {
    out.Body = known->second.dump();
    return out;
  }
  if (Set.RefuseStarts > 0) {
    --Set.RefuseStarts;
    return status(409, "no capacity");
  }
  Json host = Json::parse(request.Body, nullptr, false);
  host["id"] = "host-" + std::to_string(CloudHostsByToken.size() + 1);
  host["client_token"] = token;
  CloudHostsByToken[token] = host;
  if (Set.LoseCreateReplies > 0) {
    --Set.LoseCreateReplies;
    return lostReply();
  }
  out.Body = host.dump();
  return out;
}

HttpResponse Platform::cloudHosts() {
  const std::lock_guard<std::mutex> lock(Mutex);
  Json all = Json::array();
  for (const auto &it : CloudHostsByToken)
    all.push_back(it.second);
  HttpResponse out;
  out.Body = all.dump();
  return out;
}

HttpResponse Platform::deleteHost(const HttpRequest &request) {
  const std::lock_guard<std::mutex> lock(Mutex);
  ++Counts["deletes"];
  for (auto it = CloudHostsByToken.begin(); it != CloudHostsByToken.end(); ++it)
    if (it->second["id"] == request.Parts.at(0)) {
      CloudHostsByToken.erase(it);
      return status(200, "deleted");
    }
  return status(404, "no such host");
}

HttpResponse Platform::setFaults(const HttpRequest &request) {
  const Json json = Json::parse(request.Body);
  const std::lock_guard<std::mutex> lock(Mutex);
  Set.IsDown = json.value("down", Set.IsDown);
  Set.SlowMs = json.value("slow_ms", Set.SlowMs);
  Set.LoseReplies = json.value("lose_replies", Set.LoseReplies);
  Set.LosePrefix = json.value("lose_prefix", Set.LosePrefix);
  Set.HostListLagMs = json.value("host_list_lag_ms", Set.HostListLagMs);
  Set.HostListIsDown = json.value("host_list_down", Set.HostListIsDown);
  Set.NoticesAreDown = json.value("notices_down", Set.NoticesAreDown);
  Set.RefuseStarts = json.value("refuse_starts", Set.RefuseStarts);
  Set.LoseCreateReplies =
      json.value("lose_create_replies", Set.LoseCreateReplies);
  Changed.notify_all();
  return status(200, "set");
}

HttpResponse Platform::putHost(const HttpRequest &request) {
  const std::lock_guard<std::mutex> lock(Mutex);
  Json host = Json::parse(request.Body);
  const std::string address = host.at("address").get<std::string>();
  if (host.value("state", "live") == "gone")
    Hosts.erase(address);
  else
    Hosts[address] = host;
  Json all = Json::array();
  for (const auto &it : Hosts)
    all.push_back(it.second);
  HostHistory.emplace_back(now(), all);
  return status(200, "listed");
}

HttpResponse Platform::addNotice(const HttpRequest &request) {
  const std::lock_guard<std::mutex> lock(Mutex);
  Json notice = Json::parse(request.Body);
  notice["sequence"] = Notices.size() + 1;
  if (notice.contains("seconds"))
    notice["goes_at_ms"] =
        toEpochMilliseconds(now()) +
        static_cast<std::int64_t>(notice["seconds"].get<double>() * 1000);
  Notices.push_back(notice);
  Changed.notify_all();
  return status(200, "given");
}

HttpResponse Platform::setOffers(const HttpRequest &request) {
  const std::lock_guard<std::mutex> lock(Mutex);
  Offers = Json::parse(request.Body);
  return status(200, "set");
}

HttpResponse Platform::counters() {
  const std::lock_guard<std::mutex> lock(Mutex);
  HttpResponse out;
  out.Body = Json(Counts).dump();
  return out;
}

HttpResponse weights(const HttpRequest &request) {
  HttpResponse out;
  out.Body =
      Json{{"version", request.Parts.at(0)}, {"bytes", 16'000'000'000}}.dump();
  return out;
}

} // namespace

int main(int argc, char **argv) {
  CLI::App app("Stand-in for the platform.");
  std::string listen = "127.0.0.1:0";
  app.add_option("--listen", listen, "ip:port; port 0 is chosen");
  CLI11_PARSE(app, argc, argv);
  blockStopSignals();
  Platform platform;
  HttpServer server;
  const auto on = [&](const char *method, const char *pattern, auto member) {
    server.route(method, pattern, [&platform, member](const HttpRequest &r) {
      if constexpr (std::is_invocable_v<decltype(member), Platform &,
                                        const HttpRequest &>)
        return (platform.*member)(r);
      else
        return (platform.*member)();
    });
  };
  on("GET", "/v1/objects", &Platform::listObjects);
  on("GET", "/v1/objects/(.+)", &Platform::readObject);
  on("PUT", "/v1/objects/(.+)", &Platform::writeObject);
  on("GET", "/v1/hosts", &Platform::hosts);
  on("GET", "/v1/cloud/notices", &Platform::notices);
  on("GET", "/v1/cloud/offers", &Platform::offers);
  on("GET", "/v1/cloud/hosts", &Platform::cloudHosts);
  on("POST", "/v1/cloud/hosts", &Platform::createHost);
  on("DELETE", "/v1/cloud/hosts/([^/]+)", &Platform::deleteHost);
  on("POST", "/admin/faults", &Platform::setFaults);
  on("POST", "/admin/hosts", &Platform::putHost);
  on("POST", "/admin/notices", &Platform::addNotice);
  on("POST", "/admin/offers", &Platform::setOffers);
  on("GET", "/admin/counters", &Platform::counters);
  server.route("GET", "/v1/weights/([^/]+)", weights);
  return serveFake(server, listen);
}
