#pragma once

#include "CallPlacement.h"
#include "CallRelay.h"
#include "CallResponse.h"
#include "CallSend.h"
#include "GatewayState.h"
#include "LibHttp/HttpExchange.h"
#include "LibServing/CallRetryState.h"
#include "SendAccounting.h"
#include "TeamCharge.h"
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>

namespace sorrelbay {

/// Serves one caller request from start to end: identifies its team, admits or
/// rejects it, chooses upstreams, and relays the response. The object is kept
/// alive by the shared pointers in its callbacks and is destroyed with the last
/// of them.
class GatewayCall : public std::enable_shared_from_this<GatewayCall> {
public:
  /// Starts serving the request and returns without waiting for it.
  static void serve(GatewayState &state,
                    std::shared_ptr<HttpExchange> exchange);
  /// The same for a call that another host relays to this one. It is sent to
  /// upstreams only, and counts at the other host.
  static void serveRelayed(GatewayState &state,
                           std::shared_ptr<HttpExchange> exchange);

  GatewayCall(GatewayState &state, std::shared_ptr<HttpExchange> exchange);

private:
  void start();
  void startRelayed();
  void decline(const char *cause);
  bool chooseRouteService();
  bool admit();
  void trySend();
  bool waitsForPlace();
  void onWaitRefused(const char *cause, Duration returnAfter);
  void leaveQueue();
  bool prefersRelay() const;
  bool tryRelay(Instant now);
  RelayEnvelope relayEnvelope(const HostId &peer, Instant now) const;
  void onRelayHead();
  void onRelayEnd();
  void onRelayFailure(HttpFailure why);
  void passOnRefusal();
  void onNotSent();
  void onConnect(ConnectResult result);
  bool onSending();
  void finishQuarantined();
  void onQuarantined();
  void onWithdrawn();
  bool takeRetryFromBudget();
  HttpCallHooks upstreamHooks();
  bool isForThisCall(const HttpReplyHead &head);
  void onHead(const HttpReplyHead &head);
  bool mayPassOn() const;
  void onBody(std::string_view bytes);
  void onEnd();
  void onErrorResponse();
  void onFailure(HttpFailure why);
  void onCallerDisconnected();
  void onTimer();
  void armTimer();
  void waitUntil(Instant at);
  void endSend(SendResult result);
  void noteFirstByte();
  bool resume();
  void abortResponse(const char *cause);
  void retryOrFinish(const char *cause);
  void startResponse();
  void finishResponse();
  /// Ends the call without an upstream's response: with an error response or,
  /// if a response has begun, by aborting it.
  void finishLocally(const char *cause, Duration retryDelay = {});
  void finishWithoutUpstream(Instant now);
  void refuse(const CallRefusal &refusal);
  void refuse(int status, const char *cause,
              std::optional<Duration> retryAfter);
  Duration jitteredRetryAfter(Duration shortestDelay,
                              Duration longestSpread = Duration::max());
  void log(const char *outcome, int status, const char *cause);
  bool isSuccess() const { return CurrentSend.Head.Status / 100 == 2; }
  bool isRelaying() const { return !CurrentSend.Peer.empty(); }
  HttpHeaders responseHeaders() const;

  GatewayState &State;
  std::shared_ptr<HttpExchange> Exchange;
  ServingCall Call;
  Instant ReceivedAt;
  std::shared_ptr<const PlanIndex> Plan;
  CallIdentity Identity;
  TeamCharge Charge;
  ServiceId Service;
  std::optional<CallPlacement> Upstreams;
  std::optional<SendAccounting> Sends;
  std::optional<CallRetryState> RetryState;
  /// Set if another host relays the call to this one.
  std::optional<RelayEnvelope> Relayed;
  /// The request as it is sent to upstreams, if it is not the received one.
  std::optional<HttpRequest> UpstreamRequest;
  CallRelay Relay;
  int FailedConnects = 0;
  std::shared_ptr<HttpCallHandle> Handle;
  CallSend CurrentSend;
  CallResponse Response;
  bool IsOpen = false;
  /// Whether the call has a place at the upstreams for its next send, and its
  /// id there while it waits for one.
  bool HasPlace = false;
  std::optional<std::uint64_t> WaitId;
  Duration Waited{};
  bool IsDone = false;
  boost::asio::steady_timer Timer;
  Instant FirstByteAt{};
};

} // namespace sorrelbay
