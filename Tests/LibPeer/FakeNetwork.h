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

/// Meshes of several daemons in one thread and in simulated time, joined by
/// connections that can be cut without a word, as well as daemons that are
/// stopped for a while. Messages of one connection stay in order.
class FakeNetwork {
public:
  explicit FakeNetwork(std::uint64_t seed) : Random(seed) {}

  /// What a test may change of a daemon before it starts.
  struct NodeOptions {
    std::string Secret = "a secret of the mesh";
    std::vector<std::string> Seeds;
    MeshHooks Hooks;
  };

  /// Starts a daemon; the address is "name:1". One that ran under the name is
  /// replaced, as a new incarnation.
  void start(const std::string &name, const std::string &zone,
             NodeOptions options);
  /// The daemon is gone; its connections close.
  void kill(const std::string &name);
  /// It does nothing until it is resumed; what comes for it waits.
  void pause(const std::string &name);
  void resume(const std::string &name);
  /// All messages between the two vanish, both ways, and new connections are
  /// not answered.
  void cut(const std::string &a, const std::string &b) { Cuts.insert({a, b}); }
  void mend() { Cuts.clear(); }
  /// The open connections between the two go silent for good; new ones work.
  void silence(const std::string &a, const std::string &b);
  /// Puts a message on every live connection from a to b.
  void inject(const std::string &from, const std::string &to,
              const PeerMessage &message);

  void run(Duration span);
  void schedule(Duration delay, std::function<void()> work);

  MeshState &mesh(const std::string &name) { return *Nodes.at(name).Mesh; }
  bool isUp(const std::string &name) const {
    return Nodes.count(name) != 0 && Nodes.at(name).Mesh != nullptr;
  }
  /// All connections that were ever begun.
  std::uint64_t connectionCount() const { return NextPair - 1; }
  Instant at() const { return Now; }
  std::mt19937_64 &random() { return Random; }

private:
  struct Node {
    std::unique_ptr<MeshState> Mesh;
    /// Tells events of an earlier life from those of this one.
    std::uint64_t ProcessNumber = 0;
    bool IsPaused = false;
    std::deque<std::function<void()>> DeferredEvents;
  };
  /// One end of a connection: the other end's id differs in the lowest bit.
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
