#include "CallerApi.h"
#include "LibBase/Hash.h"
#include "LibBase/LogLine.h"
#include "LibCaller/RefusalOutcome.h"
#include <algorithm>
#include <cstdlib>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

namespace sorrelbay {

using Json = nlohmann::ordered_json;

/// The maximum number of tickets in the response to one lookup.
static constexpr int MaxTickets = 100;

CallerApi::CallerApi(const DaemonSettings &settings, BundleStore &bundles,
                     UpstreamTable &upstreams, ModelCalls &models,
                     DeskCalls &desks, OpenCalls &open, Metrics &metrics)
    : Settings(settings), Bundles(bundles), Upstreams(upstreams),
      Models(models), Desks(desks), Open(open), Counts(metrics) {}

static constexpr Duration ShortRetryAfter = milliseconds(500);

static HttpResponse refuse(const HttpRequest &request, const Problem &problem) {
  const TraceContext trace =
      parseTraceParent(headerValue(request.Headers, "traceparent"));
  LogLine(Severity::Info, "call refused")
      .field("trace_id", trace.TraceId)
      .field("path", request.Path)
      .field("problem", problem.type())
      .field("outcome", describe(problem.outcome()))
      .field("detail", problem.what());
  return renderProblem(problem);
}

Problem CallerApi::refusal(const HttpRequest &request, const char *type,
                           const char *detail) const {
  std::vector<std::string> others;
  for (const EntryAddress &it : otherEntries())
    others.push_back(it.Address);
  // The caller can retry at another daemon at once, at this one only later.
  const Duration wait = others.empty() ? ShortRetryAfter : Duration{};
  return Problem(503, type, detail, refusalOutcome(request), wait)
      .withAlternatives(others);
}

/// Logs one line for each call, with the fields by which operators search.
static void logCall(const HttpRequest &request, const TraceContext &trace,
                    Instant arrival, int status, const char *end) {
  LogLine(Severity::Info, "call ended")
      .field("trace_id", trace.TraceId)
      .field("team", headerValue(request.Headers, "X-Team"))
      .field("path", request.Path)
      .field("route", headerValue(request.Headers, "X-Route"))
      .field("status", std::int64_t{status})
      .field("end", end)
      .field("duration_ms", toMilliseconds(now() - arrival));
}

/// Logs the call when it has ended, which is at once or at the end of its
/// stream.
static HttpResponse withCallLog(const HttpRequest &request,
                                const TraceContext &trace, Instant arrival,
                                HttpResponse response) {
  if (!response.Stream) {
    logCall(request, trace, arrival, response.Status, "whole");
    return response;
  }
  // Drops the body, which would otherwise stay in memory as long as the stream.
  HttpRequest head = request;
  head.Body.clear();
  response.Stream = [head, trace, arrival, status = response.Status,
                     stream =
                         std::move(response.Stream)](const HttpSink &sink) {
    const bool isWhole = stream(sink);
    logCall(head, trace, arrival, status, isWhole ? "whole" : "cut");
    return isWhole;
  };
  return response;
}

/// Wraps the handler of requests about calls that are already in flight here.
/// These are served also while the daemon is stopping.
static HttpServer::Handler answerHandler(HttpServer::Handler handler) {
  return [handler = std::move(handler)](const HttpRequest &arrived) {
    const Instant arrival = now();
    const TraceContext trace =
        parseTraceParent(headerValue(arrived.Headers, "traceparent"));
    // Adds a trace that begins here to the request, so that every hop logs the
    // same trace id.
    HttpRequest request = arrived;
    if (!hasHeader(arrived.Headers, "traceparent"))
      request.Headers.push_back({"traceparent", renderTraceParent(trace)});
    const auto answer = [&]() -> HttpResponse {
      try {
        return handler(request);
      } catch (const Problem &problem) {
        return refuse(request, problem);
      }
    };
    return withCallLog(request, trace, arrival, answer());
  };
}

HttpServer::Handler CallerApi::callHandler(HttpServer::Handler handler) const {
  return answerHandler(
      [this, handler = std::move(handler)](const HttpRequest &request) {
        if (Open.isStopping())
          throw refusal(request, "stopping",
                        "this daemon is stopping; use another address");
        if (!isReady())
          throw refusal(request, "not-ready",
                        "this daemon is not ready; use another address");
        return handler(request);
      });
}

static HttpResponse failureBody(int status, const HttpRequest &request) {
  switch (status) {
  case 404:
    return renderProblem(
        Problem(404, "not-found", "no such path", Outcome::NotRun));
  case 413:
    return renderProblem(Problem(413, "too-large", "the body is too large",
                                 refusalOutcome(request)));
  case 400:
    // The headers may not have been parsed, so the request may be a retry of
    // any key.
    return renderProblem(
        Problem(400, "bad-request", "not a valid request", Outcome::Unknown));
  default:
    return renderProblem(Problem(status, "internal", "the request failed here",
                                 Outcome::Unknown));
  }
}

void CallerApi::serveOn(HttpServer &server) {
  server.setErrorResponder(failureBody);
  server.route("POST", "/v1/chat/completions",
               callHandler([this](const HttpRequest &request) {
                 return Models.answer(request);
               }));
  server.route("GET", "/v1/chat/completions/([^/]+)",
               answerHandler([this](const HttpRequest &request) {
                 return Models.reconnect(request);
               }));
  server.route("POST", "/v1/desk/([^/]+)",
               callHandler([this](const HttpRequest &request) {
                 return Desks.answer(request);
               }));
  server.route("GET", "/v1/calls/(.+)",
               answerHandler([this](const HttpRequest &request) {
                 return Desks.query(request);
               }));
  server.route("GET", "/v1/addresses", [this](const HttpRequest &request) {
    return addresses(request);
  });
  server.route("GET", "/healthz",
               [this](const HttpRequest &) { return health(); });
  server.route("GET", "/readyz",
               [this](const HttpRequest &) { return readiness(); });
  server.route("GET", "/metrics", [this](const HttpRequest &) {
    Counts.setOpenCalls(Open.count());
    HttpResponse out;
    out.ContentType = "text/plain; version=0.0.4";
    out.Body = Counts.render();
    return out;
  });
}

std::vector<EntryAddress> CallerApi::otherEntries() const {
  // The host list lags and does not contain planned stops, so the state that a
  // daemon reports to its peers takes precedence.
  std::map<std::string, ZoneId> usable;
  for (const HostListEntry &it : Upstreams.entryHosts())
    if (!it.IsLeaving)
      usable[it.Address] = it.Zone;
  for (const PeerView &it : Peers()) {
    if (it.IsLeaving)
      usable.erase(it.CallerAddress);
    else if (it.IsLiving)
      usable[it.CallerAddress] = it.Zone;
  }
  usable.erase(OwnAddress);
  std::vector<EntryAddress> out;
  out.reserve(usable.size());
  for (const auto &it : usable)
    out.push_back({it.first, it.second});
  return out;
}

static int requestedTickets(const HttpRequest &request) {
  const std::string wanted = headerValue(request.Query, "tickets");
  return std::clamp(std::atoi(wanted.c_str()), 0, MaxTickets);
}

static Json renderTickets(DeskCalls &desks, const std::string &ownAddress,
                          int count) {
  Json list = Json::array();
  for (int n = 0; n < count; ++n)
    list.push_back({{"address", ownAddress},
                    {"idempotency_key", desks.issueTicket(ownAddress).text()}});
  return list;
}

HttpResponse CallerApi::addresses(const HttpRequest &request) const {
  Json list = Json::array();
  const auto add = [&list](const std::string &address, const ZoneId &zone) {
    list.push_back(
        {{"address", address}, {"zone", zone.text()}, {"weight", 1}});
  };
  for (const EntryAddress &it : otherEntries())
    add(it.Address, it.Zone);
  // A daemon that is stopping lists itself only if there is no other entry
  // host.
  if (!Open.isStopping() || list.empty())
    add(OwnAddress, Settings.Zone);
  // A random rotation of the list spreads callers evenly over entry hosts.
  std::rotate(list.begin(),
              list.begin() + static_cast<std::ptrdiff_t>(
                                 stableHash(randomHex(16)) % list.size()),
              list.end());
  // A stopping daemon issues no tickets, since they are only valid while it
  // runs.
  const int ticketCount = Open.isStopping() ? 0 : requestedTickets(request);
  HttpResponse out;
  out.Body = Json{{"addresses", list},
                  {"ttl_ms", toMilliseconds(Settings.AddressTimeToLive)},
                  {"tickets", renderTickets(Desks, OwnAddress, ticketCount)}}
                 .dump() +
             "\n";
  return out;
}

HttpResponse CallerApi::health() const {
  HttpResponse out;
  out.Body = "{\"status\":\"ok\"}\n";
  return out;
}

bool CallerApi::isReady() const {
  return Bundles.current() != nullptr && Upstreams.hasHostList() &&
         Upstreams.isViewFresh(now());
}

HttpResponse CallerApi::readiness() const {
  HttpResponse out;
  if (Open.isStopping() || !isReady()) {
    out.Status = 503;
    out.Body = "{\"status\":\"not ready\"}\n";
    return out;
  }
  out.Body =
      Json{{"status", "ready"}, {"generation", Bundles.current()->Generation}}
          .dump() +
      "\n";
  return out;
}

} // namespace sorrelbay
