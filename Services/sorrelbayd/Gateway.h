#pragma once

#include "DutyLease.h"
#include "GatewayFleet.h"
#include "GatewayRollouts.h"
#include "GatewayState.h"
#include "LibHttp/AsyncHttpServer.h"
#include "LibObjectApi/ResourceWatcher.h"
#include "LibServing/AddressLookup.h"
#include "OperatorRequestWatch.h"
#include "QuarantineStore.h"
#include "RelaySecret.h"
#include "ReplicaOrders.h"
#include "ReservedEngines.h"
#include "UpstreamChangeLog.h"
#include "UpstreamMonitor.h"
#include "UsageReporter.h"
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <thread>

namespace sorrelbay {

/// The serving daemon for platforms whose store holds the operators' plan. Owns
/// the listeners, the store watchers, the links to peers and the duties. One
/// worker thread runs the event loop: a host has about one core, and with a
/// single thread no table needs a lock. The log is written by a separate
/// thread.
class Gateway {
public:
  using MakeHooks = std::function<GatewayHooks(boost::asio::io_context &)>;

  Gateway(GatewaySettings settings, const MakeHooks &makeHooks);
  ~Gateway();
  Gateway(const Gateway &) = delete;
  Gateway &operator=(const Gateway &) = delete;

  /// Opens the listeners and starts the worker thread. Throws HttpListenFailed
  /// and PeerListenFailed.
  void start();
  /// Stops gracefully: removes this host from address lookups, keeps serving
  /// calls that still arrive, and returns once all callers have disconnected or
  /// the grace period is over.
  void stop();
  /// The address callers connect to, with the port that was assigned.
  std::string callerAddress() const { return Callers->address(); }
  /// The address that accepts relayed calls. There must be one in the settings.
  std::string relayAddress() const { return RelayedCallers->address(); }
  /// The address that serves readiness probes.
  std::string readinessAddress() const { return Readiness->address(); }
  /// The address that serves address lookups.
  std::string lookupAddress() const { return Addresses->address(); }
  /// The address that serves metrics. There must be one in the settings.
  std::string metricsAddress() const { return MetricsServer->address(); }

private:
  void listen();
  void listenForRelayedCalls();
  void listenForMetrics();
  HttpLimits callLimits() const;
  void watchStore();
  void applyPlan(const Resource &object);
  void applyReplica(const Resource &object);
  void watchEvacuations();
  ResourceWatcherHooks quarantineHooks();
  void repeat(boost::asio::steady_timer &timer, Duration interval,
              std::function<void()> work);
  void tick();
  void noteTick(Instant now);
  void tickViews(Instant now);
  void tickQuarantines(Instant now);
  FleetMember localMember() const;
  void applyRelayedChanges(const RelayedChanges &relayed);
  std::unique_ptr<ResourceWatcher>
  makeWatcher(ResourceKind kind, const ResourceWatcherSettings &settings,
              ResourceWatcherHooks hooks);
  bool isReady(Instant now) const;
  AddressLookup lookUp(Instant now) const;
  bool isHeld(Instant now) const;
  void respondToAddressLookup(HttpExchange &exchange);
  void logHostsLeftOut(const AddressLookup &lookup);
  void updateRetryBudgets();

  boost::asio::io_context Loop;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work;
  GatewayState State;
  DutyLease Duties;
  UsageReporter Usage;
  ReplicaOrders Orders;
  GatewayRollouts ServiceRollouts;
  GatewayFleet Fleet;
  UpstreamMonitor Upstreams;
  UpstreamChangeLog UpstreamChanges;
  ReservedEngines Reserved;
  RelaySecret Secret;
  QuarantineStore StoredQuarantines;
  OperatorRequestWatch Requests;
  std::unique_ptr<AsyncHttpServer> Callers;
  /// Null if the settings name no address for relayed calls.
  std::unique_ptr<AsyncHttpServer> RelayedCallers;
  std::unique_ptr<AsyncHttpServer> Readiness;
  std::unique_ptr<AsyncHttpServer> Addresses;
  std::unique_ptr<AsyncHttpServer> MetricsServer;
  std::unique_ptr<ResourceWatcher> Plans;
  /// The object that the plan in force was read from, and whether a newer state
  /// of it was refused.
  std::string PlanObject;
  bool IsNewestPlanRefused = false;
  std::unique_ptr<ResourceWatcher> Replicas;
  std::unique_ptr<ResourceWatcher> RolloutOrders;
  /// Also watches the requests of operators, which are an object of that kind.
  std::unique_ptr<ResourceWatcher> Quarantines;
  /// Null if the deployment does not evacuate zones.
  std::unique_ptr<ResourceWatcher> Evacuations;
  boost::asio::steady_timer TickTimer;
  std::thread Worker;
};

} // namespace sorrelbay
