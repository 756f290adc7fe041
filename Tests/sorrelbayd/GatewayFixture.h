#pragma once

#include "Gateway.h"
#include "LibHttp/AsyncHttpServer.h"
#include "LibHttp/HttpClient.h"
#include "UpstreamPath.h"
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

/// Whether the condition holds within a few seconds.
bool holdsSoon(const std::function<bool()> &holds);

/// An in-memory store that completes its calls on the gateway's event loop. A
/// test may change its objects from another thread and make it unreachable.
class FakeStore {
public:
  ResourceStore hooks(boost::asio::io_context &loop);
  void put(ResourceKind kind, const std::string &name, const std::string &body);
  void remove(ResourceKind kind, const std::string &name);
  void setUnreachable(bool isUnreachable) { IsUnreachable = isUnreachable; }
  /// Makes each write of quarantines throw where it is called.
  void failOnQuarantines() { FailsOnQuarantines = true; }
  /// Discards the change history, so that watchers have to list again.
  void discardHistory();
  /// Number of watches of the kind that have begun.
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
  std::atomic<bool> FailsOnQuarantines{false};
  std::array<std::atomic<int>, ResourceKindCount> Watches{};
};

/// A call as its caller sends it.
struct CallerRequest {
  std::string Path = "/a/1";
  std::string Key = "key";
  /// The parts of the prompt that calls can share, separated by spaces.
  std::string Parts;
  /// The last part of the prompt; one that no other call has if it is empty.
  std::string OwnPart;
  std::string Body = "please";
  /// The id of the attempt; a new one if it is empty.
  std::string Id;
  /// Resumes a stream after that event.
  std::string LastEventId;
};

/// A further gateway of a fixture, which reaches the upstream over a path that
/// can be cut.
struct GatewayHost {
  UpstreamPath Path;
  std::unique_ptr<Gateway> Served;
  std::string CallerAddress;
};

/// A gateway with an in-memory store and one upstream, all in this process. The
/// test sets the upstream's request handler. A plan's text is "version;key".
/// The plan has four routes to the service "desk", all open to the key: "/a/",
/// whose calls must not be retried, "/s/", with resumable streams, "/n/", with
/// streams that must not be retried, and "/q/", whose calls may be repeated and
/// have a latency target. The routes "/d/" and "/e/" lead to the service
/// "booking", which has no engines: their calls wait up to three seconds and up
/// to ten milliseconds for a place.
class GatewayFixture {
public:
  using UpstreamHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

  explicit GatewayFixture(Duration keyRemoval = seconds(60),
                          Duration grace = seconds(2), double retryShare = 0.2);
  ~GatewayFixture();
  GatewayFixture(const GatewayFixture &) = delete;
  GatewayFixture &operator=(const GatewayFixture &) = delete;

  /// Waits until the gateway has read all objects of the kind that the store
  /// holds now. Fails the test if it never does.
  void waitUntilSeen(ResourceKind kind);
  /// Sends a call with that key; the timeout of the route is three seconds.
  HttpReply call(const std::string &key, const std::string &path = "/a/1");
  /// The same at the host with that address. The call's prompt has the parts,
  /// which are separated by spaces, and one of its own.
  HttpReply callAt(const std::string &address, const std::string &path,
                   const std::string &parts = "");
  HttpReply callAt(const std::string &address, const CallerRequest &request);
  /// The addresses that the host names to callers, separated by spaces.
  static std::string lookUp(const Gateway &host);
  /// Ends the gateway's process and starts another, which knows only what the
  /// store holds.
  void restart();
  /// Starts another host, and waits until it and the first name each other. It
  /// reaches the upstream over its path or, with `isDirect`, all upstreams as
  /// they are registered.
  std::unique_ptr<GatewayHost> addHost(const std::string &name,
                                       bool isDirect = false);
  /// Repeats the call until its response has that status. Fails the test if it
  /// never does.
  HttpReply callUntil(int status, const std::string &key,
                      const std::string &path = "/a/1");
  /// Runs the work on the upstream's event loop, where its exchanges must be
  /// used, and waits until it is done.
  void onUpstream(const std::function<void()> &work);
  /// The value of a metric, whose name includes its labels; 0 if there is none.
  double metric(const std::string &name);
  void addReplica(const std::string &id, bool isLeaving = false);

  /// Runs the upstream, on a thread of its own.
  boost::asio::io_context UpstreamLoop;
  FakeStore Store;
  /// The upstream's request handler. The initial one responds 200 with "ok for"
  /// and the team.
  UpstreamHandler Upstream;
  std::atomic<int> UpstreamCalls{0};
  /// The length of the prompts of calls; 0 for calls without one.
  int PromptTokens = 0;
  std::unique_ptr<Gateway> Served;
  std::string CallerAddress;

private:
  GatewayHooks hooks(boost::asio::io_context &loop,
                     const std::string &upstreamAddress);

  Duration KeyRemoval;
  Duration Grace;
  double RetryShare;
  std::unique_ptr<AsyncHttpServer> UpstreamServer;
  std::thread UpstreamWorker;
};

} // namespace sorrelbay
