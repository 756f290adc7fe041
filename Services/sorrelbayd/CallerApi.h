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

/// The address of an entry host that accepts calls.
struct EntryAddress {
  std::string Address;
  ZoneId Zone;
};

/// The HTTP API for callers: model and desk calls, the address lookup, health
/// and metrics. Every failure is returned as a problem document.
class CallerApi {
public:
  CallerApi(const DaemonSettings &settings, BundleStore &bundles,
            UpstreamTable &upstreams, ModelCalls &models, DeskCalls &desks,
            OpenCalls &open, Metrics &metrics);

  /// Registers the routes on the server without starting it.
  void serveOn(HttpServer &server);
  /// Sets the source of the peers' own reports. To be called before the server
  /// starts.
  void setPeers(std::function<std::vector<PeerView>()> peers) {
    Peers = std::move(peers);
  }
  /// Sets the address under which this daemon is listed, which is known once it
  /// listens.
  void setOwnAddress(std::string address) { OwnAddress = std::move(address); }

private:
  /// Wraps the handler of a call: while the daemon is stopping or not ready,
  /// calls are refused with the addresses of other entry hosts. A Problem that
  /// the handler throws is rendered as the response.
  HttpServer::Handler callHandler(HttpServer::Handler handler) const;
  /// Whether the daemon has a bundle and a fresh host list. Without them it
  /// would accept calls that it can't send to any upstream.
  bool isReady() const;
  Problem refusal(const HttpRequest &request, const char *type,
                  const char *detail) const;
  /// The entry hosts that callers may use, except this one.
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
