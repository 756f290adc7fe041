#pragma once

#include "BundleStore.h"
#include "DaemonSettings.h"
#include "DeskCalls.h"
#include "LibCaller/Problem.h"
#include "LibHttp/HttpServer.h"
#include "LibPeer/MeshState.h"
#include "Metrics.h"
#include "ModelCalls.h"
#include "OpenCalls.h"
#include "UpstreamTable.h"

namespace sorrelbay {

/// Where callers may go.
struct EntryAddress {
  std::string Address;
  ZoneId Zone;
};

/// What callers can reach: model and desk calls, the address lookup, health
/// and metrics. Every failure leaves as a problem document.
class CallerApi {
public:
  CallerApi(const DaemonSettings &settings, BundleStore &bundles,
            UpstreamTable &upstreams, ModelCalls &models, DeskCalls &desks,
            OpenCalls &open, Metrics &metrics);

  /// Sets the routes; the server is not started here.
  void serveOn(HttpServer &server);
  /// What the other daemons say of themselves; set before the server starts.
  void setPeers(std::function<std::vector<PeerView>()> peers) {
    Peers = std::move(peers);
  }
  /// The address under which this daemon is listed; known once it listens.
  void setOwnAddress(std::string address) { OwnAddress = std::move(address); }

private:
  /// What serves a call: it is refused with other addresses while the daemon is
  /// stopping or not ready, and every problem is rendered.
  HttpServer::Handler callHandler(HttpServer::Handler handler) const;
  /// A daemon without a bundle or a host list would accept calls that it can't
  /// place.
  bool isReady() const;
  Problem refusal(const HttpRequest &request, const char *type,
                  const char *detail) const;
  /// Entry hosts that callers may use, but for this one.
  std::vector<EntryAddress> otherEntries() const;
  HttpResponse addresses(const HttpRequest &request) const;
  HttpResponse health() const;
  HttpResponse readiness() const;

  const DaemonSettings &Settings;
  BundleStore &Bundles;
  UpstreamTable &Upstreams;
  ModelCalls &Models;
  DeskCalls &Desks;
  OpenCalls &Open;
  Metrics &Counts;
  std::function<std::vector<PeerView>()> Peers;
  std::string OwnAddress;
};

} // namespace sorrelbay
