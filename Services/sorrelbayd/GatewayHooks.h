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

/// The platform interface of the daemon, in the product's own types. An adapter
/// implements it; the adapter only translates and makes no decisions.
struct GatewayHooks {
  std::function<ServingCall(const HttpRequest &)> ReadCall;
  std::function<HttpCall(const HttpRequest &, const UpstreamAttempt &)>
      UpstreamCall;
  std::function<UpstreamReplyInfo(const HttpReplyHead &)> ReadReplyInfo;
  std::function<HttpHeaders(const HttpHeaders &)> ResponseHeaders;
  std::function<HttpHeaders(const ServingCall &, std::optional<Duration>)>
      LocalResponseHeaders;
  /// Whether the request is a readiness probe, and whether it is an address
  /// lookup.
  std::function<bool(const HttpRequest &)> IsReadinessProbe;
  std::function<bool(const HttpRequest &)> IsAddressLookup;
  std::function<std::string(const std::vector<std::string> &, Duration)>
      AddressesBody;
  /// These three throw an Error if the object is malformed.
  std::function<ServingPlan(const Resource &)> ReadPlan;
  std::function<ReplicaRecord(const Resource &)> ReadReplica;
  std::function<RolloutOrder(const Resource &)> ReadRollout;
  /// The body of the order's status for that outcome.
  std::function<std::string(const RolloutOrder &, RolloutOutcome)>
      RolloutStatusBody;
  ResourceStore Store;
  CloudHooks Cloud;
};

} // namespace sorrelbay
