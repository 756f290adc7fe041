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
enum class CrashMoment { BeforeFirstByte, InsideFirstEvent };

inline std::ostream &operator<<(std::ostream &out, CrashMoment moment) {
  return out << (moment == CrashMoment::BeforeFirstByte
                     ? "before the first byte"
                     : "inside the event");
}

/// Engines of a fixture that crash when they begin to answer a call whose
/// prompt has a certain part, each on a port of its own. A crash closes all
/// connections; the engine listens again after a while. Other calls are
/// answered with a stream of three events, or of two that does not end if their
/// prompt has the part "endless".
class CrashingEngines {
public:
  /// Registers the engines in place of the fixture's upstream.
  CrashingEngines(GatewayFixture &fixture, int count, CrashMoment moment);
  ~CrashingEngines();
  CrashingEngines(const CrashingEngines &) = delete;
  CrashingEngines &operator=(const CrashingEngines &) = delete;

  /// Adds a part of prompts under which engines crash.
  void addFatalPart(const std::string &part);
  /// The requests with the part that have reached engines.
  int reached(const std::string &part);
  int crashes() const { return Crashes; }

private:
  struct Engine {
    std::string Address;
    std::unique_ptr<AsyncHttpServer> Server;
    std::unique_ptr<boost::asio::steady_timer> Timer;
    /// The responses that do not end.
    std::vector<std::shared_ptr<HttpExchange>> Endless;
  };

  void listen(Engine &engine);
  void serve(Engine &engine, const std::shared_ptr<HttpExchange> &exchange);
  void crash(Engine &engine);
  bool isFatal(const std::string &parts);

  GatewayFixture &Fixture;
  const CrashMoment Moment;
  std::vector<std::unique_ptr<Engine>> Engines;
  std::mutex Mutex;
  std::vector<std::string> FatalParts;
  std::map<std::string, int> Reached;
  std::atomic<int> Crashes{0};
};

} // namespace sorrelbay
