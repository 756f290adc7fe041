#pragma once

#include "Gateway.h"
#include "LibHttp/AsyncHttpServer.h"
#include "LibHttp/HttpClient.h"
#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace sorrelbay {

/// A store in memory that answers on the gateway's loop. Its objects may be
/// changed from the test's thread; it can be made unreachable.
class FakeStore {
public:
  ResourceStore hooks(boost::asio::io_context &loop);
  void put(ResourceKind kind, const std::string &name, const std::string &body);
  void remove(ResourceKind kind, const std::string &name);
  void setUnreachable(bool isUnreachable) { IsUnreachable = isUnreachable; }
  /// Watches are no longer answered from history: the watcher must list.
  void forgetHistory();
  /// Watches of the kind that have begun.
  int watches(ResourceKind kind) {
    return Watches.at(static_cast<std::size_t>(kind));
  }
  std::string statusOf(ResourceKind kind, const std::string &name);
  std::string bodyOf(ResourceKind kind, const std::string &name);

private:
  using Objects = std::map<std::string, Resource>;

  ResourceChanges changesAfter(ResourceKind kind, std::uint64_t after);
  void write(ResourceKind kind, const Resource &object, bool isNew,
             const StoreCallback<Resource> &done);

  std::mutex Mutex;
  std::map<ResourceKind, Objects> Kinds;
  std::map<ResourceKind, std::map<std::string, std::uint64_t>> Removed;
  std::uint64_t Revision = 1;
  std::uint64_t HistoryFrom = 0;
  std::atomic<bool> IsUnreachable{false};
  std::array<std::atomic<int>, ResourceKindCount> Watches{};
};

/// A gateway with a store in memory and one upstream that the test scripts, all
/// in this process. Plans are written "version;key": a route "/a/" that
/// may not be repeated and one of resumable streams "/s/", both to the service
/// "desk" and open to the key.
class GatewayFixture {
public:
  using Answer = std::function<void(std::shared_ptr<HttpExchange>)>;

  explicit GatewayFixture(Duration keyRemoval = seconds(60),
                          Duration grace = seconds(2));
  ~GatewayFixture();
  GatewayFixture(const GatewayFixture &) = delete;
  GatewayFixture &operator=(const GatewayFixture &) = delete;

  /// Waits until the gateway has seen what the store holds of the kind now.
  /// Fails the test if it never does.
  void waitUntilSeen(ResourceKind kind);
  /// Sends a call with that key; the route's timeout is three
  /// seconds.
  HttpReply call(const std::string &key, const std::string &path = "/a/1");
  /// Calls until it is answered with that status. Fails the test if it never
  /// is.
  HttpReply callUntil(int status, const std::string &key,
                      const std::string &path = "/a/1");
  /// Runs the work where exchanges of the upstream belong, and waits for it.
  void onUpstream(const std::function<void()> &work);
  void addReplica(const std::string &id, bool isLeaving = false);

  FakeStore Store;
  /// What the upstream does; at first it answers 200 "ok".
  Answer Upstream;
  std::atomic<int> UpstreamCalls{0};
  std::unique_ptr<Gateway> Served;
  std::string CallerAddress;

private:
  GatewayHooks hooks(boost::asio::io_context &loop);

  boost::asio::io_context UpstreamLoop;
  std::unique_ptr<AsyncHttpServer> UpstreamServer;
  std::thread UpstreamWorker;
};

} // namespace sorrelbay
