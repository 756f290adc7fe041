#include "UpstreamPath.h"
#include "LibHttp/BeastCommon.h"
#include <array>
#include <future>

namespace sorrelbay {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;

static constexpr int Backlog = 128;
/// The kernel takes one connection more than a backlog of zero names, and drops
/// the rest.
static constexpr int FillerCount = 4;

/// A connection of the host and the one to the upstream that it is forwarded
/// to.
struct UpstreamPath::Forwarding
    : public std::enable_shared_from_this<UpstreamPath::Forwarding> {
  Forwarding(asio::io_context &loop, const PathState &state,
             Tcp::socket accepted)
      : State(state), Host(std::move(accepted)), Upstream(loop) {}

  void pump(Tcp::socket &from, Tcp::socket &to, std::array<char, 16384> &buf) {
    from.async_read_some(asio::buffer(buf),
                         [this, self = shared_from_this(), &from, &to,
                          &buf](ErrorCode ec, std::size_t n) {
                           if (ec)
                             return close(false);
                           if (State == PathState::Hangs)
                             return;
                           ErrorCode failed;
                           asio::write(to, asio::buffer(buf.data(), n), failed);
                           if (failed)
                             return close(false);
                           pump(from, to, buf);
                         });
  }

  void close(bool isReset) {
    ErrorCode ignored;
    if (isReset)
      Host.set_option(asio::socket_base::linger(true, 0), ignored);
    Host.close(ignored);
    Upstream.close(ignored);
  }

  const PathState &State;
  Tcp::socket Host;
  Tcp::socket Upstream;
  std::array<char, 16384> FromHost{};
  std::array<char, 16384> FromUpstream{};
};

UpstreamPath::UpstreamPath(const std::string &target)
    : Work(asio::make_work_guard(Loop)),
      Target(beastcommon::endpointOf(target)),
      Listen(beastcommon::endpointOf("127.0.0.1:0")), Acceptor(Loop) {
  listen(Backlog);
  Listen = Acceptor.local_endpoint();
  Address = "127.0.0.1:" + std::to_string(Listen.port());
  accept();
  Worker = std::thread([this] { Loop.run(); });
}

UpstreamPath::~UpstreamPath() {
  Loop.stop();
  Worker.join();
}

void UpstreamPath::listen(int backlog) {
  if (!Acceptor.is_open()) {
    Acceptor.open(Listen.protocol());
    Acceptor.set_option(asio::socket_base::reuse_address(true));
    Acceptor.bind(Listen);
  }
  Acceptor.listen(backlog);
}

void UpstreamPath::accept() {
  Acceptor.async_accept([this](ErrorCode ec, Tcp::socket socket) {
    if (ec)
      return;
    auto forwarding =
        std::make_shared<Forwarding>(Loop, State, std::move(socket));
    ErrorCode failed;
    forwarding->Upstream.connect(Target, failed);
    if (!failed) {
      Open.insert(forwarding);
      forwarding->pump(forwarding->Host, forwarding->Upstream,
                       forwarding->FromHost);
      forwarding->pump(forwarding->Upstream, forwarding->Host,
                       forwarding->FromUpstream);
    }
    accept();
  });
}

void UpstreamPath::fillBacklog() {
  for (int n = 0; n < FillerCount; ++n) {
    Fillers.push_back(std::make_unique<Tcp::socket>(Loop));
    Fillers.back()->async_connect(Listen, [](ErrorCode) {});
  }
}

void UpstreamPath::apply(PathState state) {
  ErrorCode ignored;
  const PathState before = State;
  State = state;
  Fillers.clear();
  if (state == PathState::Open) {
    if (before == PathState::Open)
      return;
    // Connections that were silent are not taken up again.
    if (before == PathState::Hangs)
      for (const auto &it : Open)
        it->close(true);
    listen(Backlog);
    return accept();
  }
  Acceptor.cancel(ignored);
  if (state == PathState::Hangs) {
    listen(0);
    return fillBacklog();
  }
  Acceptor.close(ignored);
  if (state == PathState::Resets)
    for (const auto &it : Open)
      it->close(true);
}

void UpstreamPath::set(PathState state) {
  std::promise<void> done;
  asio::post(Loop, [&] {
    apply(state);
    done.set_value();
  });
  done.get_future().wait();
}

} // namespace sorrelbay
