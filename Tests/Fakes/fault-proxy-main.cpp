// A TCP proxy that injects network faults. Its mode is set over HTTP:
//   POST /mode {"mode": "pass|refuse|cut|freeze|silence|drop_reply",
//   "delay_ms": N}
// pass: bytes are forwarded in both directions;
// refuse: new connections are closed at once;
// cut: open and new connections are closed;
// freeze: open connections stop forwarding in both directions, new ones work;
// silence: bytes from the target are discarded, also on new connections;
// drop_reply: the request is forwarded, and the connection is closed when the
// first bytes of the reply arrive.
// delay_ms delays each read of up to 16 KiB in every mode.
#include "FakeMain.h"
#include <CLI/CLI.hpp>
#include <arpa/inet.h>
#include <atomic>
#include <iostream>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace sorrelbay;

namespace {

enum class Mode { Pass, Refuse, Cut, Freeze, Silence, DropReply };

constexpr int PollMs = 20;
constexpr std::size_t BufferBytes = 16384;

struct State {
  std::atomic<Mode> Current{Mode::Pass};
  std::atomic<int> DelayMs{0};
  /// Incremented by each freeze. A connection opened before a freeze never
  /// forwards again, like one whose state a middlebox has dropped.
  std::atomic<int> FreezeCount{0};
};

Mode parseMode(const std::string &text) {
  if (text == "refuse")
    return Mode::Refuse;
  if (text == "cut")
    return Mode::Cut;
  if (text == "freeze")
    return Mode::Freeze;
  if (text == "silence")
    return Mode::Silence;
  if (text == "drop_reply")
    return Mode::DropReply;
  return Mode::Pass;
}

sockaddr_in toSocketAddress(const std::string &address) {
  sockaddr_in out{};
  const std::size_t colon = address.rfind(':');
  out.sin_family = AF_INET;
  out.sin_port =
      htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
  return out;
}

bool sendAll(int to, const char *buf, ssize_t n) {
  while (n > 0) {
    const ssize_t sent =
        send(to, buf, static_cast<std::size_t>(n), MSG_NOSIGNAL);
    if (sent <= 0)
      return false;
    buf += sent;
    n -= sent;
  }
  return true;
}

/// Forwards bytes between client and target until one of them closes its
/// connection or the mode requires both to be closed.
void forwardBytes(State &state, int client, int target) {
  const int freezeCountAtStart = state.FreezeCount;
  pollfd ends[2] = {{client, POLLIN, 0}, {target, POLLIN, 0}};
  char buf[BufferBytes];
  while (true) {
    const Mode mode = state.Current;
    if (mode == Mode::Cut)
      return;
    if (state.FreezeCount != freezeCountAtStart) {
      std::this_thread::sleep_for(milliseconds(PollMs));
      continue;
    }
    if (poll(ends, 2, PollMs) <= 0)
      continue;
    for (int n = 0; n < 2; ++n) {
      if ((ends[n].revents & (POLLIN | POLLHUP | POLLERR)) == 0)
        continue;
      const ssize_t receivedBytes = recv(ends[n].fd, buf, sizeof(buf), 0);
      if (receivedBytes <= 0)
        return;
      const bool isReply = n == 1;
      if (isReply && mode == Mode::Silence)
        continue;
      if (isReply && mode == Mode::DropReply)
        return;
      if (state.DelayMs > 0)
        std::this_thread::sleep_for(milliseconds(state.DelayMs.load()));
      if (!sendAll(ends[1 - n].fd, buf, receivedBytes))
        return;
    }
  }
}

void serveConnection(State &state, int client, const sockaddr_in &to) {
  const int target = socket(AF_INET, SOCK_STREAM, 0);
  if (connect(target, reinterpret_cast<const sockaddr *>(&to), sizeof(to)) == 0)
    forwardBytes(state, client, target);
  close(target);
  close(client);
}

std::string listenOn(int fd, const std::string &address) {
  sockaddr_in at = toSocketAddress(address);
  const int enable = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
  if (bind(fd, reinterpret_cast<const sockaddr *>(&at), sizeof(at)) != 0 ||
      listen(fd, SOMAXCONN) != 0)
    throw HttpListenFailed("cannot listen on " + address);
  socklen_t length = sizeof(at);
  getsockname(fd, reinterpret_cast<sockaddr *>(&at), &length);
  const std::size_t colon = address.rfind(':');
  return address.substr(0, colon) + ":" + std::to_string(ntohs(at.sin_port));
}

} // namespace

int main(int argc, char **argv) {
  CLI::App app("TCP proxy that injects network faults.");
  std::string listenAddress = "127.0.0.1:0";
  std::string control = "127.0.0.1:0";
  std::string target;
  app.add_option("--listen", listenAddress, "ip:port; 0 selects a free port");
  app.add_option("--control", control, "ip:port of the control server");
  app.add_option("--target", target, "ip:port that connections go to")
      ->required();
  CLI11_PARSE(app, argc, argv);
  blockStopSignals();
  State state;
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  std::cout << "proxying " << listenOn(fd, listenAddress) << std::endl;
  const sockaddr_in to = toSocketAddress(target);
  std::thread([&state, fd, to] {
    while (true) {
      const int client = accept(fd, nullptr, nullptr);
      if (client < 0)
        return;
      if (state.Current == Mode::Refuse) {
        close(client);
        continue;
      }
      std::thread([&state, client, to] {
        serveConnection(state, client, to);
      }).detach();
    }
  }).detach();
  HttpServer server;
  server.route("POST", "/mode", [&state](const HttpRequest &request) {
    const auto json = nlohmann::json::parse(request.Body);
    const Mode mode = parseMode(json.value("mode", "pass"));
    state.DelayMs = json.value("delay_ms", 0);
    if (mode == Mode::Freeze)
      ++state.FreezeCount;
    state.Current = mode;
    HttpResponse out;
    out.Body = "{}";
    return out;
  });
  return serveFake(server, control);
}
