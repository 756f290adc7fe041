// A fake platform: object API, host list, the cloud's reclaim notices and
// offers, and weight store. Paths below /admin are for tests only.
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

HttpResponse detailResponse(int code, const std::string &text) {
  HttpResponse out;
  out.Status = code;
  out.Body = Json{{"detail", text}}.dump();
  return out;
}

/// A response that ends before it is complete, so that the client cannot
/// determine the outcome of its call.
HttpResponse lostReply() {
  HttpResponse out;
  out.Stream = [](const HttpSink &) { return false; };
  return out;
}

struct Object {
  std::string Body;
  std::uint64_t Version = 0;
};

/// Faults set by a test.
struct Faults {
  bool IsDown = false;
  std::int64_t SlowMs = 0;
  /// Number of the next writes that take effect but lose their replies.
  std::int64_t WriteRepliesToLose = 0;
  /// Limits WriteRepliesToLose to writes of objects whose name has this prefix.
  std::string LostReplyPrefix;
  /// Age of the host list that is returned, in milliseconds.
  std::int64_t HostListLagMs = 0;
  bool HostListIsDown = false;
  bool NoticesAreDown = false;
  /// Number of the next host creations that fail for lack of capacity.
  std::int64_t HostStartsToRefuse = 0;
  /// Number of the next host creations that succeed but lose their replies.
  std::int64_t CreateRepliesToLose = 0;
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
  /// Waits for SlowMs with the lock released; returns whether the object API is
  /// up.
  bool isUpAfterDelay(std::unique_lock<std::mutex> &lock);
  static HttpResponse render(const Object &object);

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, Object> Objects;
  std::map<std::string, Json> Hosts;
  /// All states of the host list with the time of each, so that a lagging list
  /// can be returned.
  std::vector<std::pair<Instant, Json>> HostHistory;
  Json Notices = Json::array();
  Json Offers = Json::array();
  std::map<std::string, Json> CloudHostsByToken;
  Faults ActiveFaults;
  std::map<std::string, std::int64_t> Counts;
};

bool Platform::isUpAfterDelay(std::unique_lock<std::mutex> &lock) {
  const std::int64_t slow = ActiveFaults.SlowMs;
  if (slow > 0) {
    lock.unlock();
    std::this_thread::sleep_for(milliseconds(slow));
    lock.lock();
  }
  return !ActiveFaults.IsDown;
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
  if (!isUpAfterDelay(lock))
    return detailResponse(503, "the service is unavailable");
  const std::string &name = request.Parts.at(0);
  const std::int64_t known = queryNumber(request, "watch", -1);
  if (known >= 0) {
    ++Counts["watches"];
    const auto waitLimit = milliseconds(
        std::min(MaxWatchMs, queryNumber(request, "timeout_ms", 0)));
    const bool hasChanged = Changed.wait_for(lock, waitLimit, [&] {
      const auto it = Objects.find(name);
      return ActiveFaults.IsDown ||
             (it != Objects.end() &&
              it->second.Version > static_cast<std::uint64_t>(known));
    });
    if (ActiveFaults.IsDown)
      return detailResponse(503, "the service is unavailable");
    if (!hasChanged)
      return detailResponse(304, "object has not changed");
  }
  const auto it = Objects.find(name);
  return it == Objects.end() ? detailResponse(404, "object not found")
                             : render(it->second);
}

HttpResponse Platform::writeObject(const HttpRequest &request) {
  std::unique_lock<std::mutex> lock(Mutex);
  ++Counts["writes"];
  if (!isUpAfterDelay(lock))
    return detailResponse(503, "the service is unavailable");
  if (request.Body.size() > MaxBody)
    return detailResponse(413, "body is larger than 1 MiB");
  const std::string &name = request.Parts.at(0);
  const std::string match = headerValue(request.Headers, "If-Match");
  const auto it = Objects.find(name);
  const std::uint64_t stored = it == Objects.end() ? 0 : it->second.Version;
  const std::string storedTag = "\"" + std::to_string(stored) + "\"";
  const bool mustBeAbsent = hasHeader(request.Headers, "If-None-Match");
  if ((mustBeAbsent && stored != 0) || (!match.empty() && match != storedTag)) {
    ++Counts["conflicts"];
    return detailResponse(412, "stored version is " + std::to_string(stored));
  }
  Object &object = Objects[name];
  object.Body = request.Body;
  object.Version = stored + 1;
  Changed.notify_all();
  if (ActiveFaults.WriteRepliesToLose > 0 &&
      name.rfind(ActiveFaults.LostReplyPrefix, 0) == 0) {
    --ActiveFaults.WriteRepliesToLose;
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
  if (!isUpAfterDelay(lock))
    return detailResponse(503, "the service is unavailable");
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
  if (ActiveFaults.HostListIsDown)
    return detailResponse(503, "the service is unavailable");
  const Instant listedUpTo = now() - milliseconds(ActiveFaults.HostListLagMs);
  Json visibleHosts = Json::array();
  for (const auto &it : HostHistory)
    if (it.first <= listedUpTo)
      visibleHosts = it.second;
  HttpResponse out;
  out.Body = visibleHosts.dump();
  return out;
}

HttpResponse Platform::notices(const HttpRequest &request) {
  std::unique_lock<std::mutex> lock(Mutex);
  ++Counts["notice_reads"];
  if (ActiveFaults.NoticesAreDown)
    return detailResponse(503, "the service is unavailable");
  const auto after = static_cast<std::size_t>(queryNumber(request, "after", 0));
  const auto waitLimit =
      milliseconds(std::min(MaxWatchMs, queryNumber(request, "timeout_ms", 0)));
  Changed.wait_for(lock, waitLimit, [&] { return Notices.size() > after; });
  Json newNotices = Json::array();
  for (std::size_t n = after; n < Notices.size(); ++n)
    newNotices.push_back(Notices[n]);
  HttpResponse out;
  out.Body = newNotices.dump();
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
  if (ActiveFaults.HostStartsToRefuse > 0) {
    --ActiveFaults.HostStartsToRefuse;
    return detailResponse(409, "no capacity for another host");
  }
  Json host = Json::parse(request.Body, nullptr, false);
  host["id"] = "host-" + std::to_string(CloudHostsByToken.size() + 1);
  host["client_token"] = token;
  CloudHostsByToken[token] = host;
  if (ActiveFaults.CreateRepliesToLose > 0) {
    --ActiveFaults.CreateRepliesToLose;
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
      return detailResponse(200, "host deleted");
    }
  return detailResponse(404, "host not found");
}

HttpResponse Platform::setFaults(const HttpRequest &request) {
  const Json json = Json::parse(request.Body);
  const std::lock_guard<std::mutex> lock(Mutex);
  ActiveFaults.IsDown = json.value("down", ActiveFaults.IsDown);
  ActiveFaults.SlowMs = json.value("slow_ms", ActiveFaults.SlowMs);
  ActiveFaults.WriteRepliesToLose =
      json.value("lose_replies", ActiveFaults.WriteRepliesToLose);
  ActiveFaults.LostReplyPrefix =
      json.value("lose_prefix", ActiveFaults.LostReplyPrefix);
  ActiveFaults.HostListLagMs =
      json.value("host_list_lag_ms", ActiveFaults.HostListLagMs);
  ActiveFaults.HostListIsDown =
      json.value("host_list_down", ActiveFaults.HostListIsDown);
  ActiveFaults.NoticesAreDown =
      json.value("notices_down", ActiveFaults.NoticesAreDown);
  ActiveFaults.HostStartsToRefuse =
      json.value("refuse_starts", ActiveFaults.HostStartsToRefuse);
  ActiveFaults.CreateRepliesToLose =
      json.value("lose_create_replies", ActiveFaults.CreateRepliesToLose);
  Changed.notify_all();
  return detailResponse(200, "settings updated");
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
  return detailResponse(200, "host list updated");
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
  return detailResponse(200, "notice added");
}

HttpResponse Platform::setOffers(const HttpRequest &request) {
  const std::lock_guard<std::mutex> lock(Mutex);
  Offers = Json::parse(request.Body);
  return detailResponse(200, "settings updated");
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
  CLI::App app("Fake platform for tests.");
  std::string listen = "127.0.0.1:0";
  app.add_option("--listen", listen, "ip:port; 0 selects a free port");
  CLI11_PARSE(app, argc, argv);
  blockStopSignals();
  Platform platform;
  HttpServer server;
  const auto addMemberRoute = [&](const char *method, const char *pattern,
                                  auto member) {
    server.route(method, pattern, [&platform, member](const HttpRequest &r) {
      if constexpr (std::is_invocable_v<decltype(member), Platform &,
                                        const HttpRequest &>)
        return (platform.*member)(r);
      else
        return (platform.*member)();
    });
  };
  addMemberRoute("GET", "/v1/objects", &Platform::listObjects);
  addMemberRoute("GET", "/v1/objects/(.+)", &Platform::readObject);
  addMemberRoute("PUT", "/v1/objects/(.+)", &Platform::writeObject);
  addMemberRoute("GET", "/v1/hosts", &Platform::hosts);
  addMemberRoute("GET", "/v1/cloud/notices", &Platform::notices);
  addMemberRoute("GET", "/v1/cloud/offers", &Platform::offers);
  addMemberRoute("GET", "/v1/cloud/hosts", &Platform::cloudHosts);
  addMemberRoute("POST", "/v1/cloud/hosts", &Platform::createHost);
  addMemberRoute("DELETE", "/v1/cloud/hosts/([^/]+)", &Platform::deleteHost);
  addMemberRoute("POST", "/admin/faults", &Platform::setFaults);
  addMemberRoute("POST", "/admin/hosts", &Platform::putHost);
  addMemberRoute("POST", "/admin/notices", &Platform::addNotice);
  addMemberRoute("POST", "/admin/offers", &Platform::setOffers);
  addMemberRoute("GET", "/admin/counters", &Platform::counters);
  server.route("GET", "/v1/weights/([^/]+)", weights);
  return serveFake(server, listen);
}
