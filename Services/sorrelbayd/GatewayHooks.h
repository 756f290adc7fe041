#pragma once

#include "LibHttp/AsyncHttpClient.h"
#include "LibObjectApi/ResourceStore.h"
#include "LibServing/CloudHooks.h"
#include "LibServing/ReplicaRecord.h"
#include "LibServing/RolloutOrder.h"
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
  std::function<HttpCall(const HttpRequest &, const UpstreamAttempt &)>
      UpstreamCall;
  std::function<UpstreamReplyInfo(const HttpReplyHead &)> ReadReplyInfo;
  std::function<HttpHeaders(const HttpHeaders &)> ResponseHeaders;
  std::function<HttpHeaders(const ServingCall &, std::optional<Duration>)>
      LocalResponseHeaders;
  /// Whether the request asks if the host is ready, or where to connect.
  std::function<bool(const HttpRequest &)> IsReadinessProbe;
  std::function<bool(const HttpRequest &)> IsAddressLookup;
  std::function<std::string(const std::vector<std::string> &, Duration)>
      AddressesBody;
  /// All three throw an Error where the object can't be read.
  std::function<ServingPlan(const Resource &)> ReadPlan;
  std::function<ReplicaRecord(const Resource &)> ReadReplica;
  std::function<RolloutOrder(const Resource &)> ReadRollout;
  /// The status that says so of an order.
  std::function<std::string(const RolloutOrder &, RolloutOutcome)>
      RolloutStatusBody;
  ResourceStore Store;
  CloudHooks Cloud;
};

} // namespace sorrelbay
