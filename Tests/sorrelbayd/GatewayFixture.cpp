#include "GatewayFixture.h"
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <sstream>

namespace sorrelbay {

namespace {

/// Interval at which an idle watch checks for changes.
constexpr Duration WatchPollInterval = milliseconds(10);
constexpr int MaxPollAttempts = 400;
/// Number of connections that the service "desk" accepts.
constexpr int MaxConnections = 4;

template <typename Value>
void completeCall(boost::asio::io_context &loop,
                  const StoreCallback<Value> &done,
                  const StoreResult<Value> &result) {
  boost::asio::post(loop, [done, result] { done(result); });
}

/// Parses "version;key" as a plan with its routes.
ServingPlan planOf(const Resource &object) {
  const std::size_t at = object.Body.find(';');
  if (at == std::string::npos)
    throw Error("plan must have the form version;key");
  ServingPlan plan;
  plan.Version = std::stoull(object.Body.substr(0, at));
  ServingRoute route;
  route.Name = RouteId("a");
  route.HostName = "test.example";
  route.PathPrefix = "/a/";
  route.ServiceWeights = {{ServiceId("desk"), 1}};
  route.Timeout = seconds(3);
  ServingRoute stream = route;
  stream.Name = RouteId("s");
  stream.PathPrefix = "/s/";
  stream.IsStream = true;
  stream.IsResumable = true;
  stream.Kind = Repeatability::Idempotent;
  stream.MaxAttempts = 2;
  ServingRoute quick = route;
  quick.Name = RouteId("q");
  quick.PathPrefix = "/q/";
  quick.Kind = Repeatability::Idempotent;
  quick.MaxAttempts = 2;
  quick.Timeout = seconds(30);
  quick.LatencyTarget = milliseconds(400);
  ServingRoute onceStream = route;
  onceStream.Name = RouteId("n");
  onceStream.PathPrefix = "/n/";
  onceStream.IsStream = true;
  ServingRoute booking = route;
  booking.Name = RouteId("d");
  booking.PathPrefix = "/d/";
  booking.ServiceWeights = {{ServiceId("booking"), 1}};
  booking.Timeout = seconds(30);
  ServingRoute urgentBooking = booking;
  urgentBooking.Name = RouteId("e");
  urgentBooking.PathPrefix = "/e/";
  urgentBooking.Timeout = milliseconds(400);
  plan.Routes = {route, stream, onceStream, quick, booking, urgentBooking};
  ServingTeam team;
  team.Name = TeamId("team");
  team.Keys = {object.Body.substr(at + 1)};
  plan.Teams = {team};
  plan.Services.push_back(
      {ServiceId("desk"), MaxConnections, EngineShape{}, {}, 0});
  plan.Services.push_back({ServiceId("booking"), MaxConnections, {}, {}, 0});
  return plan;
}

ReplicaRecord replicaOf(const Resource &object) {
  ReplicaRecord record;
  record.Id = UpstreamId(object.Name);
  // A replica whose name starts with "book" takes bookings.
  record.OfService =
      ServiceId(object.Name.substr(0, 4) == "book" ? "booking" : "desk");
  record.InZone = ZoneId("z");
  const std::size_t at = object.Body.find(' ');
  if (at == std::string::npos)
    throw Error("replica must have the form address state");
  record.Address = object.Body.substr(0, at);
  record.IsLeaving = object.Body.substr(at + 1) == "leaving";
  // A replica whose name starts with "new" has the new version.
  record.OfVersion = VersionId(object.Name.substr(0, 3) == "new" ? "v2" : "v1");
  return record;
}

ServingCall callOf(const HttpRequest &request) {
  ServingCall call;
  call.Id = headerValue(request.Headers, "X-Call");
  call.HostName = headerValue(request.Headers, "Host");
  call.Path = request.Path;
  call.Method = request.Method;
  call.Key = headerValue(request.Headers, "X-Key");
  const std::string waitLimit = headerValue(request.Headers, "X-Wait-Limit-Ms");
  if (!waitLimit.empty())
    call.WaitLimit = milliseconds(std::stoll(waitLimit));
  call.LastEventId = headerValue(request.Headers, "X-After");
  const std::string tokens = headerValue(request.Headers, "X-Tokens");
  if (!tokens.empty()) {
    call.PromptTokens = std::stoll(tokens);
    call.Prompt = {{"own", *call.PromptTokens}};
  }
  const std::string parts = headerValue(request.Headers, "X-Parts");
  if (!parts.empty()) {
    call.PromptTokens = 100;
    std::istringstream text(parts);
    for (std::string part; text >> part;)
      call.Prompt.push_back({part, 10});
    const std::string own = headerValue(request.Headers, "X-Own");
    call.Prompt.push_back({own.empty() ? "own" + call.Id : own, 10});
  }
  return call;
}

GatewaySettings settingsFor(const std::string &name, Duration keyRemoval,
                            Duration grace, double retryShare) {
  GatewaySettings settings;
  settings.Host = HostId(name);
  settings.Zone = ZoneId("z");
  settings.CallerListen = "127.0.0.1:0";
  settings.ReadinessListen = "127.0.0.1:0";
  settings.AddressListen = "127.0.0.1:0";
  settings.PeerListen = "127.0.0.1:0";
  settings.RelayListen = "127.0.0.1:0";
  settings.MetricsListen = "127.0.0.1:0";
  settings.Heartbeat = seconds(1);
  settings.MaxWaitingCalls = 64;
  settings.MaxWaitingBytes = 1000000;
  GatewayBounds &bounds = settings.Bounds;
  bounds.Drain = seconds(2);
  bounds.Grace = grace;
  bounds.PlanInForce = seconds(2);
  bounds.Evacuation = seconds(2);
  bounds.KeyRemoval = keyRemoval;
  bounds.RetryShare = retryShare;
  bounds.RetrySlack = 20;
  bounds.RetryWindow = seconds(10);
  bounds.Lease = seconds(3);
  bounds.UsageWindow = seconds(5);
  bounds.UsageDue = seconds(10);
  bounds.TrialEnd = seconds(5);
  bounds.AddressTimeToLive = seconds(5);
  return settings;
}

} // namespace

bool holdsSoon(const std::function<bool()> &holds) {
  for (int n = 0; n < MaxPollAttempts; ++n) {
    if (holds())
      return true;
    std::this_thread::sleep_for(milliseconds(25));
  }
  return false;
}

void FakeStore::put(ResourceKind kind, const std::string &name,
                    const std::string &body) {
  const std::lock_guard<std::mutex> lock(Mutex);
  Kinds[kind][name] = {name, body, "", ++Revision};
  Removed[kind].erase(name);
}

void FakeStore::remove(ResourceKind kind, const std::string &name) {
  const std::lock_guard<std::mutex> lock(Mutex);
  Kinds[kind].erase(name);
  Removed[kind][name] = ++Revision;
}

void FakeStore::discardHistory() {
  const std::lock_guard<std::mutex> lock(Mutex);
  HistoryFrom = ++Revision;
}

std::string FakeStore::statusOf(ResourceKind kind, const std::string &name) {
  const std::lock_guard<std::mutex> lock(Mutex);
  const auto it = Kinds[kind].find(name);
  return it == Kinds[kind].end() ? "" : it->second.Status;
}

std::string FakeStore::bodyOf(ResourceKind kind, const std::string &name) {
  const std::lock_guard<std::mutex> lock(Mutex);
  const auto it = Kinds[kind].find(name);
  return it == Kinds[kind].end() ? "" : it->second.Body;
}

ResourceChanges FakeStore::changesAfter(ResourceKind kind,
                                        std::uint64_t after) {
  ResourceChanges out;
  out.AtRevision = Revision;
  for (const auto &[name, it] : Kinds[kind])
    if (it.Revision > after)
      out.Changes.push_back({it, false});
  for (const auto &[name, revision] : Removed[kind])
    if (revision > after)
      out.Changes.push_back({{name, "", "", revision}, true});
  return out;
}

void FakeStore::write(ResourceKind kind, const Resource &object, bool isNew,
                      const StoreCallback<Resource> &done) {
  if (FailsOnQuarantines && kind == ResourceKind::Quarantines)
    throw std::runtime_error("the object can't be written");
  StoreResult<Resource> result;
  const std::lock_guard<std::mutex> lock(Mutex);
  Objects &objects = Kinds[kind];
  const auto it = objects.find(object.Name);
  const bool hasObject = it != objects.end();
  const bool conflicts = isNew ? hasObject
                               : hasObject && object.Revision != 0 &&
                                     it->second.Revision != object.Revision;
  if (conflicts || (!isNew && !hasObject)) {
    result.Failure = conflicts ? StoreFailure::Conflict : StoreFailure::Missing;
  } else {
    Resource writtenObject = object;
    // A write that changes nothing gets no new revision.
    const bool isSame = hasObject && it->second.Body == object.Body &&
                        it->second.Status == object.Status;
    writtenObject.Revision = isSame ? it->second.Revision : ++Revision;
    objects[object.Name] = writtenObject;
    result.Got = writtenObject;
  }
  done(result);
}

ResourceStore FakeStore::hooks(boost::asio::io_context &loop) {
  ResourceStore out;
  out.List = [this, &loop](ResourceKind kind, ListFreshness,
                           const StoreCallback<ResourceListing> &done) {
    StoreResult<ResourceListing> result;
    const std::lock_guard<std::mutex> lock(Mutex);
    if (!IsUnreachable) {
      result.Got.emplace();
      for (const auto &[name, it] : Kinds[kind])
        result.Got->Objects.push_back(it);
      result.Got->AtRevision = Revision;
    }
    completeCall(loop, done, result);
  };
  out.Watch = [this, &loop](ResourceKind kind, std::uint64_t after,
                            Duration waitLimit,
                            const StoreCallback<ResourceChanges> &done) {
    ++Watches.at(static_cast<std::size_t>(kind));
    const auto timer = std::make_shared<boost::asio::steady_timer>(loop);
    const auto pollChanges = std::make_shared<std::function<void(Duration)>>();
    *pollChanges = [this, kind, after, done, timer,
                    weak = std::weak_ptr(pollChanges)](Duration left) {
      StoreResult<ResourceChanges> result;
      {
        const std::lock_guard<std::mutex> lock(Mutex);
        if (after < HistoryFrom)
          result.Failure = StoreFailure::HistoryGone;
        else if (!IsUnreachable)
          result.Got = changesAfter(kind, after);
      }
      if (!result.Got || !result.Got->Changes.empty() ||
          left <= Duration::zero())
        return done(result);
      timer->expires_after(WatchPollInterval);
      timer->async_wait(
          [left, again = weak.lock()](boost::system::error_code ec) {
            if (!ec)
              (*again)(left - WatchPollInterval);
          });
    };
    boost::asio::post(loop,
                      [pollChanges, waitLimit] { (*pollChanges)(waitLimit); });
  };
  out.Read = [this, &loop](ResourceKind kind, const std::string &name,
                           const StoreCallback<Resource> &done) {
    StoreResult<Resource> result;
    const std::lock_guard<std::mutex> lock(Mutex);
    const auto it = Kinds[kind].find(name);
    if (!IsUnreachable && it != Kinds[kind].end())
      result.Got = it->second;
    else if (!IsUnreachable)
      result.Failure = StoreFailure::Missing;
    completeCall(loop, done, result);
  };
  const auto writer = [this, &loop](bool isNew) {
    return [this, &loop, isNew](ResourceKind kind, const Resource &object,
                                const StoreCallback<Resource> &done) {
      if (IsUnreachable)
        return completeCall(loop, done, StoreResult<Resource>{});
      write(kind, object, isNew, [&](const StoreResult<Resource> &result) {
        completeCall(loop, done, result);
      });
    };
  };
  out.Create = writer(true);
  out.Replace = writer(false);
  out.ReplaceStatus = writer(false);
  out.Remove = [this, &loop](ResourceKind kind, const std::string &name,
                             const StoreCallback<Resource> &done) {
    remove(kind, name);
    completeCall(loop, done, StoreResult<Resource>{Resource{}, {}});
  };
  return out;
}

/// `upstreamAddress` replaces the address that upstreams are registered with;
/// empty to use that.
GatewayHooks GatewayFixture::hooks(boost::asio::io_context &loop,
                                   const std::string &upstreamAddress) {
  GatewayHooks out;
  out.ReadCall = callOf;
  out.UpstreamCall = [](const HttpRequest &request, const UpstreamAttempt &it) {
    HttpCall call;
    call.Method = request.Method;
    call.Path = request.Path;
    call.Body = request.Body;
    call.Headers = {
        {"X-Replica", it.Replica.text()},
        {"X-After", it.ResumeAfter},
        {"X-Call", headerValue(request.Headers, "X-Call")},
        {"X-Parts", headerValue(request.Headers, "X-Parts")},
        {"X-Team", it.Team.text()},
        {"X-Wait-Ms", std::to_string(toMilliseconds(it.WaitLimit))}};
    return call;
  };
  out.ReadReplyInfo = [](const HttpReplyHead &head) {
    UpstreamReplyInfo verdict;
    verdict.Id = headerValue(head.Headers, "X-Call");
    verdict.DidNotRun = hasHeader(head.Headers, "X-Not-Run");
    if (hasHeader(head.Headers, "X-Limit"))
      verdict.RateLimit = std::stod(headerValue(head.Headers, "X-Limit"));
    if (hasHeader(head.Headers, "X-Brittle"))
      verdict.RejectionLimit =
          std::stod(headerValue(head.Headers, "X-Brittle"));
    if (hasHeader(head.Headers, "X-Slots"))
      verdict.Load = LoadStatement{
          0, 0, std::stoi(headerValue(head.Headers, "X-Slots")), {}, {}};
    verdict.IsLeaving = hasHeader(head.Headers, "X-Leaving");
    if (hasHeader(head.Headers, "X-Pause"))
      verdict.Pause =
          fromSeconds(std::stod(headerValue(head.Headers, "X-Pause")));
    return verdict;
  };
  out.ResponseHeaders = [](const HttpHeaders &) { return HttpHeaders{}; };
  out.LocalResponseHeaders = [](const ServingCall &,
                                std::optional<Duration> after) {
    return after
               ? HttpHeaders{{"Retry-After", std::to_string(toSeconds(*after))}}
               : HttpHeaders{};
  };
  out.IsReadinessProbe = [](const HttpRequest &) { return true; };
  out.IsAddressLookup = [](const HttpRequest &) { return true; };
  out.AddressesBody = [](const std::vector<std::string> &addresses, Duration) {
    std::string body;
    for (const std::string &it : addresses)
      body += (body.empty() ? "" : " ") + it;
    return body;
  };
  out.ReadPlan = planOf;
  out.ReadReplica = [upstreamAddress](const Resource &object) {
    ReplicaRecord record = replicaOf(object);
    if (!upstreamAddress.empty())
      record.Address = upstreamAddress;
    return record;
  };
  out.ReadRollout = [](const Resource &object) {
    RolloutOrder order;
    order.Service = ServiceId("desk");
    order.Target = VersionId(object.Body);
    order.Within = seconds(8);
    if (object.Status == "completed")
      order.Outcome = RolloutOutcome::Completed;
    if (object.Status == "rolled_back")
      order.Outcome = RolloutOutcome::RolledBack;
    if (object.Status == "in_progress")
      order.Outcome = RolloutOutcome::InProgress;
    return order;
  };
  out.RolloutStatusBody = [](const RolloutOrder &, RolloutOutcome outcome) {
    switch (outcome) {
    case RolloutOutcome::Completed:
      return std::string("completed");
    case RolloutOutcome::RolledBack:
      return std::string("rolled_back");
    default:
      return std::string("in_progress");
    }
  };
  out.Store = Store.hooks(loop);
  out.Cloud.ReportUsage = [&loop](const LeaseHolder &, WindowNumber,
                                  const TeamCounts &,
                                  const CloudCallback &done) {
    boost::asio::post(loop, [done] { done(CloudResult::Accepted); });
  };
  out.Cloud.Order = [&loop](const LeaseHolder &, const ReplicaOrder &,
                            const CloudCallback &done) {
    boost::asio::post(loop, [done] { done(CloudResult::Accepted); });
  };
  return out;
}

GatewayFixture::GatewayFixture(Duration keyRemoval, Duration grace,
                               double retryShare)
    : KeyRemoval(keyRemoval), Grace(grace), RetryShare(retryShare) {
  Upstream = [](const std::shared_ptr<HttpExchange> &it) {
    it->respond(200, {{"X-Call", headerValue(it->request().Headers, "X-Call")}},
                "ok for " + headerValue(it->request().Headers, "X-Team"));
  };
  UpstreamServer = std::make_unique<AsyncHttpServer>(
      UpstreamLoop, "127.0.0.1:0",
      AsyncHttpServerHooks{[] { return HttpLimits{}; },
                           [this](std::shared_ptr<HttpExchange> it) {
                             ++UpstreamCalls;
                             Upstream(std::move(it));
                           }});
  UpstreamWorker = std::thread([this] { UpstreamLoop.run(); });
  Store.put(ResourceKind::Plan, "main", "1;key");
  addReplica("r1");
  restart();
}

void GatewayFixture::restart() {
  Served.reset();
  Served = std::make_unique<Gateway>(
      settingsFor("host", KeyRemoval, Grace, RetryShare),
      [this](boost::asio::io_context &loop) { return hooks(loop, ""); });
  Served->start();
  CallerAddress = Served->callerAddress();
}

GatewayFixture::~GatewayFixture() {
  Served.reset();
  UpstreamLoop.stop();
  UpstreamWorker.join();
}

void GatewayFixture::onUpstream(const std::function<void()> &work) {
  std::promise<void> done;
  boost::asio::post(UpstreamLoop, [&] {
    work();
    done.set_value();
  });
  done.get_future().wait();
}

void GatewayFixture::addReplica(const std::string &id, bool isLeaving) {
  Store.put(ResourceKind::Replicas, id,
            UpstreamServer->address() + (isLeaving ? " leaving" : " ready"));
}

std::unique_ptr<GatewayHost> GatewayFixture::addHost(const std::string &name,
                                                     bool isDirect) {
  std::unique_ptr<GatewayHost> host(
      new GatewayHost{UpstreamPath(UpstreamServer->address()), nullptr, ""});
  host->Served = std::make_unique<Gateway>(
      settingsFor(name, KeyRemoval, Grace, RetryShare),
      [this, path = isDirect ? std::string() : host->Path.address()](
          boost::asio::io_context &loop) { return hooks(loop, path); });
  host->Served->start();
  host->CallerAddress = host->Served->callerAddress();
  const auto names = [](const Gateway &it, const std::string &address) {
    return lookUp(it).find(address) != std::string::npos;
  };
  for (int n = 0; n < MaxPollAttempts; ++n) {
    if (names(*Served, host->CallerAddress) &&
        names(*host->Served, CallerAddress) &&
        callAt(host->CallerAddress, "/a/1").Status == 200)
      return host;
    std::this_thread::sleep_for(milliseconds(25));
  }
  BOOST_REQUIRE_MESSAGE(false, "the host never served");
  return host;
}

std::string GatewayFixture::lookUp(const Gateway &host) {
  HttpCall call;
  call.Path = "/";
  return sendOnce(host.lookupAddress(), call).Body;
}

HttpReply GatewayFixture::callAt(const std::string &address,
                                 const std::string &path,
                                 const std::string &parts) {
  CallerRequest request;
  request.Path = path;
  request.Parts = parts;
  return callAt(address, request);
}

HttpReply GatewayFixture::call(const std::string &key,
                               const std::string &path) {
  CallerRequest request;
  request.Key = key;
  request.Path = path;
  return callAt(CallerAddress, request);
}

HttpReply GatewayFixture::callAt(const std::string &address,
                                 const CallerRequest &request) {
  static std::atomic<int> lastId{0};
  HttpCall call;
  call.Method = "POST";
  call.Path = request.Path;
  call.Body = request.Body;
  call.Headers = {{"Host", "test.example"},
                  {"X-Call", request.Id.empty()
                                 ? "id" + std::to_string(++lastId)
                                 : request.Id},
                  {"X-Key", request.Key}};
  if (PromptTokens != 0)
    call.Headers.push_back({"X-Tokens", std::to_string(PromptTokens)});
  if (!request.Parts.empty())
    call.Headers.push_back({"X-Parts", request.Parts});
  if (!request.OwnPart.empty())
    call.Headers.push_back({"X-Own", request.OwnPart});
  if (!request.LastEventId.empty())
    call.Headers.push_back({"X-After", request.LastEventId});
  return sendOnce(address, call);
}

double GatewayFixture::metric(const std::string &name) {
  HttpCall call;
  call.Path = "/metrics";
  const std::string text = sendOnce(Served->metricsAddress(), call).Body;
  const std::size_t at = text.find("\n" + name + " ");
  return at == std::string::npos ? 0
                                 : std::stod(text.substr(at + name.size() + 2));
}

void GatewayFixture::waitUntilSeen(ResourceKind kind) {
  // The watch that is open or begins next returns the objects; the one after it
  // begins once they have been processed.
  const int begun = Store.watches(kind);
  BOOST_REQUIRE(holdsSoon([&] { return Store.watches(kind) >= begun + 2; }));
}

HttpReply GatewayFixture::callUntil(int status, const std::string &key,
                                    const std::string &path) {
  HttpReply reply;
  for (int n = 0; n < MaxPollAttempts; ++n) {
    reply = call(key, path);
    if (reply.Status == status)
      return reply;
    std::this_thread::sleep_for(milliseconds(25));
  }
  BOOST_REQUIRE_MESSAGE(false, "no response had status "
                                   << status << "; the last one had "
                                   << reply.Status);
  return reply;
}

} // namespace sorrelbay
