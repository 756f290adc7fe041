#pragma once

#include "DutyLease.h"
#include "GatewayFleet.h"
#include "GatewayRollouts.h"
#include "GatewayState.h"
#include "LibHttp/AsyncHttpServer.h"
#include "LibObjectApi/ResourceWatcher.h"
#include "ReplicaOrders.h"
#include "UsageReporter.h"
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <thread>

namespace sorrelbay {

/// A serving daemon on a platform whose store holds the operators' plan: what
/// listens, what watches the store, what speaks with peers, and the duties. One
/// worker runs the event loop, because a host has about one core and every
/// table then needs no lock; log lines are written by a thread of their own.
class Gateway {
public:
  using MakeHooks = std::function<GatewayHooks(boost::asio::io_context &)>;

  Gateway(GatewaySettings settings, const MakeHooks &makeHooks);
  ~Gateway();
  Gateway(const Gateway &) = delete;
  Gateway &operator=(const Gateway &) = delete;

  /// Starts to listen and to work. Throws HttpListenFailed and
  /// PeerListenFailed.
  void start();
  /// A planned stop: gets out of the address lookups, serves what still comes,
  /// and returns when callers have gone or the grace is over.
  void stop();
  /// Where callers connect, with the port that was chosen.
  std::string callerAddress() const { return Callers->address(); }

private:
  void listen();
  void listenForMetrics();
  void watchStore();
  void applyPlan(const Resource &object);
  void applyReplica(const Resource &object);
  void watchEvacuations(const ResourceWatcherSettings &usual);
  void repeat(boost::asio::steady_timer &timer, Duration interval,
              std::function<void()> work);
  void tick();
  FleetMember localMember() const;
  void takeNews(const RelayedChanges &news);
  std::unique_ptr<ResourceWatcher>
  makeWatcher(ResourceKind kind, const ResourceWatcherSettings &settings,
              ResourceWatcherHooks hooks);
  bool isReady(Instant now) const;
  void answerAddresses(HttpExchange &exchange);
  void updateRetryBudgets();

  boost::asio::io_context Loop;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work;
  GatewayState State;
  DutyLease Duties;
  UsageReporter Usage;
  ReplicaOrders Orders;
  GatewayRollouts Moves;
  GatewayFleet Fleet;
  std::unique_ptr<AsyncHttpServer> Callers;
  std::unique_ptr<AsyncHttpServer> Readiness;
  std::unique_ptr<AsyncHttpServer> Addresses;
  std::unique_ptr<AsyncHttpServer> MetricsServer;
  std::unique_ptr<ResourceWatcher> Plans;
  std::unique_ptr<ResourceWatcher> Replicas;
  std::unique_ptr<ResourceWatcher> RolloutOrders;
  /// Nothing where zones are not evacuated.
  std::unique_ptr<ResourceWatcher> Evacuations;
  boost::asio::steady_timer TickTimer;
  std::thread Worker;
};

} // namespace sorrelbay
