#include "LibHttp/BeastCommon.h"
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace sorrelbay::beastcommon {

/// Linux gives up keep-alive probes by this time too, whatever their count:
/// when a probe would be due and nothing has arrived for so long. It must be
/// longer than the time of the last probe.
static constexpr int UnackedDataTimeoutMs = 3500;
static constexpr int ProbeIdleSeconds = 1;
static constexpr int ProbeIntervalSeconds = 1;
static constexpr int ProbeCount = 3;
static_assert((ProbeIdleSeconds + (ProbeCount - 1) * ProbeIntervalSeconds) *
                      1000 <
                  UnackedDataTimeoutMs,
              "unanswered probes must not be given up before the last one");

Tcp::endpoint endpointOf(const std::string &address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos)
    throw std::invalid_argument("missing port in address: " + address);
  const int port = std::stoi(address.substr(colon + 1));
  if (port < 0 || port > 65535)
    throw std::invalid_argument("port is not within 0 to 65535: " + address);
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<std::uint16_t>(port)};
}

static void setOption(Tcp::socket &socket, int level, int name, int value) {
  ::setsockopt(socket.native_handle(), level, name, &value, sizeof(value));
}

void configureSocket(Tcp::socket &socket) {
  setOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, UnackedDataTimeoutMs);
  setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, ProbeIdleSeconds);
  setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, ProbeIntervalSeconds);
  setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, ProbeCount);
}

} // namespace sorrelbay::beastcommon
