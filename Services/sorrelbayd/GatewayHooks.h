#pragma once

#include "LibHttp/AsyncHttpClient.h"
#include "LibObjectApi/KindStore.h"
#include "LibServing/CloudOrders.h"
#include "LibServing/MoveOrder.h"
#include "LibServing/ReplicaRecord.h"
#include "LibServing/ServingCall.h"
#include "LibServing/ServingPlan.h"
#include <functional>
#include <string>
#include <vector>

namespace sorrelbay {

/// All that the daemon needs of a platform, in its own words. An adapter fills
/// it in; it translates and decides nothing.
struct GatewayHooks {
  std::function<ServingCall(const HttpRequest &)> ReadCall;
  std::function<HttpCall(const HttpRequest &, const UpstreamTry &)>
      UpstreamCall;
  std::function<UpstreamVerdict(const HttpReplyHead &)> ReadVerdict;
  std::function<HttpHeaders(const HttpHeaders &)> AnswerHeaders;
  std::function<HttpHeaders(const ServingCall &, std::optional<Duration>)>
      OwnAnswerHeaders;
  /// Whether the request asks if the host is ready, or where to connect.
  std::function<bool(const HttpRequest &)> AsksReadiness;
  std::function<bool(const HttpRequest &)> AsksAddresses;
  std::function<std::string(const std::vector<std::string> &, Duration)>
      AddressesBody;
  /// All three throw an Error where the object can't be read.
  std::function<ServingPlan(const KeptObject &)> ReadPlan;
  std::function<ReplicaRecord(const KeptObject &)> ReadReplica;
  std::function<MoveOrder(const KeptObject &)> ReadMove;
  /// The status that says so of an order.
  std::function<std::string(const MoveOrder &, MoveOutcome)> MoveStatusBody;
  KindStore Store;
  CloudOrders Cloud;
};

} // namespace sorrelbay
