#include "CrashingEngines.h"
#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <sstream>

namespace sorrelbay {

/// The time until an engine begins to write.
static constexpr Duration PrefillTime = milliseconds(15);
/// The time until a crashed engine listens again.
static constexpr Duration RestartTime = milliseconds(150);
static constexpr const char *Events =
    "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

CrashingEngines::CrashingEngines(GatewayFixture &fixture, int count,
                                 CrashMoment moment, RestartId restartId)
    : Fixture(fixture), Moment(moment), Restarts(restartId) {
  Fixture.onUpstream([&] {
    for (int n = 0; n < count; ++n) {
      Engines.push_back(std::make_unique<Engine>());
      Engine &engine = *Engines.back();
      engine.Timer =
          std::make_unique<boost::asio::steady_timer>(Fixture.UpstreamLoop);
      engine.Address = "127.0.0.1:0";
      listen(engine);
      engine.Address = engine.Server->address();
    }
  });
  for (std::size_t n = 0; n < Engines.size(); ++n)
    registerEngine(*Engines[n], "e" + std::to_string(n));
  Fixture.Store.remove(ResourceKind::Replicas, "r1");
  Fixture.waitUntilSeen(ResourceKind::Replicas);
}

CrashingEngines::~CrashingEngines() {
  Fixture.onUpstream([&] { Engines.clear(); });
}

void CrashingEngines::listen(Engine &engine) {
  engine.Server = std::make_unique<AsyncHttpServer>(
      Fixture.UpstreamLoop, engine.Address,
      AsyncHttpServerHooks{
          [] { return HttpLimits{}; },
          [this, &engine](const std::shared_ptr<HttpExchange> &it) {
            serve(engine, it);
          }});
}

void CrashingEngines::registerEngine(Engine &engine, const std::string &id) {
  engine.Id = id;
  Fixture.Store.put(ResourceKind::Replicas, id, engine.Address + " ready");
}

void CrashingEngines::addFatalPart(const std::string &part) {
  const std::lock_guard<std::mutex> lock(Mutex);
  FatalParts.push_back(part);
}

int CrashingEngines::reached(const std::string &part) {
  const std::lock_guard<std::mutex> lock(Mutex);
  return Reached[part];
}

/// Counts the parts, which are separated by spaces. Returns whether one is
/// fatal.
bool CrashingEngines::isFatal(const std::string &parts) {
  const std::lock_guard<std::mutex> lock(Mutex);
  std::istringstream text(parts);
  bool out = false;
  for (std::string part; text >> part;) {
    ++Reached[part];
    out = out || std::find(FatalParts.begin(), FatalParts.end(), part) !=
                     FatalParts.end();
  }
  return out;
}

void CrashingEngines::serve(Engine &engine,
                            const std::shared_ptr<HttpExchange> &exchange) {
  const HttpHeaders headers = {
      {"X-Call", headerValue(exchange->request().Headers, "X-Call")},
      {"Content-Type", "text/event-stream"}};
  const std::string parts = headerValue(exchange->request().Headers, "X-Parts");
  if (parts.find("endless") != std::string::npos) {
    exchange->begin(200, headers, std::nullopt);
    exchange->write("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    return engine.Endless.push_back(exchange);
  }
  if (!isFatal(parts + ' ' + exchange->request().Body))
    return exchange->respond(200, headers, Events);
  if (Moment == CrashMoment::InsideFirstEvent) {
    exchange->begin(200, headers, std::nullopt);
    exchange->write("id: 1\nda");
  }
  if (Moment == CrashMoment::AfterEvents) {
    exchange->begin(200, headers, std::nullopt);
    exchange->write(Events);
  }
  engine.Timer->expires_after(PrefillTime);
  engine.Timer->async_wait(
      [this, &engine, exchange](boost::system::error_code ec) {
        if (!ec)
          crash(engine);
      });
}

void CrashingEngines::crash(Engine &engine) {
  ++Crashes;
  engine.Server.reset();
  engine.Endless.clear();
  if (Restarts == RestartId::New)
    Fixture.Store.remove(ResourceKind::Replicas, engine.Id);
  engine.Timer->expires_after(RestartTime);
  engine.Timer->async_wait([this, &engine](boost::system::error_code ec) {
    if (ec)
      return;
    listen(engine);
    if (Restarts == RestartId::New)
      registerEngine(engine, engine.Id + "r");
  });
}

} // namespace sorrelbay
