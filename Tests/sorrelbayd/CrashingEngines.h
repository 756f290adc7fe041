#pragma once

#include "GatewayFixture.h"
#include <atomic>
#include <memory>
#include <mutex>
#include <ostream>
#include <string>
#include <vector>

namespace sorrelbay {

/// When an engine crashes under a prompt.
enum class CrashMoment { BeforeFirstByte, InsideFirstEvent, AfterEvents };

inline std::ostream &operator<<(std::ostream &out, CrashMoment moment) {
  switch (moment) {
  case CrashMoment::BeforeFirstByte:
    return out << "before the first byte";
  case CrashMoment::InsideFirstEvent:
    return out << "inside the event";
  case CrashMoment::AfterEvents:
    break;
  }
  return out << "after three events";
}

/// Whether an engine that starts again has the id in the store that it had, or
/// another one, while the old entry goes when it crashes.
enum class RestartId { Same, New };

/// Engines of a fixture that crash when they answer a call whose prompt has a
/// certain part, or whose body is that text, each on a port of its own. A crash
/// closes all connections; the engine listens again after a while. Other calls
/// are answered with a stream of three events, or of two that does not end if
/// their prompt has the part "endless".
class CrashingEngines {
public:
  /// Registers the engines in place of the fixture's upstream.
  CrashingEngines(GatewayFixture &fixture, int count, CrashMoment moment,
                  RestartId restartId = RestartId::Same);
  ~CrashingEngines();
  CrashingEngines(const CrashingEngines &) = delete;
  CrashingEngines &operator=(const CrashingEngines &) = delete;

  /// Adds a part of prompts, or a body, under which engines crash.
  void addFatalPart(const std::string &part);
  /// The requests with the part, or the body, that have reached engines.
  int reached(const std::string &part);
  int crashes() const { return Crashes; }

private:
  struct Engine {
    std::string Id;
    std::string Address;
    std::unique_ptr<AsyncHttpServer> Server;
    std::unique_ptr<boost::asio::steady_timer> Timer;
    /// The responses that do not end.
    std::vector<std::shared_ptr<HttpExchange>> Endless;
  };

  void listen(Engine &engine);
  void serve(Engine &engine, const std::shared_ptr<HttpExchange> &exchange);
  void crash(Engine &engine);
  void registerEngine(Engine &engine, const std::string &id);
  bool isFatal(const std::string &parts);

  GatewayFixture &Fixture;
  const CrashMoment Moment;
  const RestartId Restarts;
  std::vector<std::unique_ptr<Engine>> Engines;
  std::mutex Mutex;
  std::vector<std::string> FatalParts;
  std::map<std::string, int> Reached;
  std::atomic<int> Crashes{0};
};

} // namespace sorrelbay
