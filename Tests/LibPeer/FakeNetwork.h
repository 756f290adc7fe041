#pragma once

#include "LibPeer/MeshState.h"
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace sorrelbay {

/// Simulates the meshes of several daemons in one thread and in simulated time.
/// Connections can be cut without either side being notified, and daemons can
/// be paused. Messages of one connection are delivered in order.
class FakeNetwork {
public:
  explicit FakeNetwork(std::uint64_t seed) : Random(seed) {}

  /// The options of a daemon.
  struct NodeOptions {
    std::string Secret = "a secret of the mesh";
    std::vector<std::string> Seeds;
    MeshHooks Hooks;
  };

  /// Starts a daemon with the address "name:1". It replaces a running daemon of
  /// the same name, as a new incarnation.
  void start(const std::string &name, const std::string &zone,
             NodeOptions options);
  /// Ends the daemon, which closes its connections.
  void kill(const std::string &name);
  /// Pauses the daemon. Its events are deferred until it is resumed.
  void pause(const std::string &name);
  void resume(const std::string &name);
  /// Drops all messages between the two hosts, in both directions, and leaves
  /// new connections without a response.
  void cut(const std::string &a, const std::string &b) { Cuts.insert({a, b}); }
  void clearCuts() { Cuts.clear(); }
  /// Drops all further messages on the open connections between the two hosts.
  /// New connections work.
  void silence(const std::string &a, const std::string &b);
  /// Sends a message from one host to the other, on every open connection
  /// between them.
  void inject(const std::string &from, const std::string &to,
              const PeerMessage &message);

  void run(Duration span);
  void schedule(Duration delay, std::function<void()> work);

  MeshState &mesh(const std::string &name) { return *Nodes.at(name).Mesh; }
  bool isUp(const std::string &name) const {
    return Nodes.count(name) != 0 && Nodes.at(name).Mesh != nullptr;
  }
  /// The number of connections started so far.
  std::uint64_t connectionCount() const { return NextPair - 1; }
  Instant at() const { return Now; }
  std::mt19937_64 &random() { return Random; }

private:
  struct Node {
    std::unique_ptr<MeshState> Mesh;
    /// Distinguishes events of an earlier process from those of this one.
    std::uint64_t ProcessNumber = 0;
    bool IsPaused = false;
    std::deque<std::function<void()>> DeferredEvents;
  };
  /// One end of a connection. The ids of the two ends differ in the lowest bit.
  struct End {
    std::string Node;
    bool IsOpen = true;
    bool IsSilent = false;
    Instant LastDelivery{};
  };
  void deliver(const std::string &name, std::function<void(MeshState &)> work,
               Duration delay);
  void tick(const std::string &name, std::uint64_t processNumber);
  ConnectionId connect(const std::string &from, const std::string &address);
  void send(ConnectionId from, const std::string &bytes);
  void close(ConnectionId from);
  bool isCut(const std::string &a, const std::string &b) const;
  Duration randomDelay();

  std::mt19937_64 Random;
  Instant Now{hours(1)};
  std::multimap<Instant, std::function<void()>> Events;
  std::map<std::string, Node> Nodes;
  std::map<ConnectionId, End> Ends;
  std::set<std::pair<std::string, std::string>> Cuts;
  ConnectionId NextPair = 1;
  std::uint64_t NextProcessNumber = 1;
};

} // namespace sorrelbay
