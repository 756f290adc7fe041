#include "GatewayState.h"
#include "LibBase/BootClock.h"

namespace sorrelbay {

/// A name that no other life of any daemon has.
static IncarnationId newIncarnation(const HostId &host) {
  std::random_device source;
  return IncarnationId(host.text() + "/" + std::to_string(source()) + "-" +
                       std::to_string(source()));
}

GatewayState::GatewayState(boost::asio::io_context &loop,
                           GatewaySettings settings, GatewayHooks hooks)
    : Loop(loop), Settings(std::move(settings)), Hooks(std::move(hooks)),
      Incarnation(newIncarnation(Settings.Host)),
      Client(loop, {milliseconds(250), seconds(4), 32UL * 1024}),
      Usage(Incarnation, Settings.Zone, Settings.Bounds.UsageWindow),
      Fleet({Settings.Host, Settings.Zone, bootNow()}),
      Time(sorrelbay::now(), bootNow()), Random(std::random_device()()) {}

double GatewayState::draw() {
  return std::uniform_real_distribution<double>(0, 1)(Random);
}

} // namespace sorrelbay
