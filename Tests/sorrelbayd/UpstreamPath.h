#pragma once

#include <boost/asio.hpp>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace sorrelbay {

/// What happens to the connections on an UpstreamPath.
enum class PathState {
  Open,
  /// Open connections are silent, and attempts to open new ones time out.
  Hangs,
  /// Open connections are reset, new ones refused.
  Resets,
  /// Open connections go on, new ones are refused.
  RefusesNew,
};

/// The network path from one host to an upstream: forwards connections over
/// loopback on a thread of its own, and can be cut.
class UpstreamPath {
public:
  /// `target` is the upstream's "ip:port".
  explicit UpstreamPath(const std::string &target);
  ~UpstreamPath();
  UpstreamPath(const UpstreamPath &) = delete;
  UpstreamPath &operator=(const UpstreamPath &) = delete;

  /// The address at which the host reaches the upstream.
  const std::string &address() const { return Address; }
  /// Returns once the state is in force.
  void set(PathState state);

private:
  using Tcp = boost::asio::ip::tcp;
  struct Forwarding;

  void listen(int backlog);
  void accept();
  void fillBacklog();
  void apply(PathState state);

  boost::asio::io_context Loop;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work;
  Tcp::endpoint Target;
  Tcp::endpoint Listen;
  Tcp::acceptor Acceptor;
  std::string Address;
  PathState State = PathState::Open;
  std::set<std::shared_ptr<Forwarding>> Open;
  /// Connections that keep the listener's queue full.
  std::vector<std::unique_ptr<Tcp::socket>> Fillers;
  std::thread Worker;
};

} // namespace sorrelbay
