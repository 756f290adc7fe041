#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include "LibServing/OutstandingWork.h"
#include "LibServing/ServingCall.h"
#include "LibServing/VersionPreference.h"
#include <cstdint>
#include <string>
#include <vector>

namespace sorrelbay {

/// The input for choosing an upstream for a call.
struct ReplicaRequest {
  ServiceId ForService;
  /// The service has no engines.
  bool IsForDesk = false;
  ZoneId OwnZone;
  /// The prompt's parts; the last but one is what a conversation shares.
  std::vector<PromptPart> Prompt;
  std::int64_t PromptTokens = 0;
  VersionPreference Version;
  /// Regions that the call's route is restricted to; empty for all.
  std::vector<std::string> RouteRegions;
  /// Regions that the call's team is restricted to; empty for all.
  std::vector<std::string> TeamRegions;
  /// The number of hosts that send calls to the service, including this one.
  int Hosts = 1;
  /// Upstreams that this call has already been sent to.
  std::vector<UpstreamId> Tried;
  /// Breaks ties between equally good upstreams.
  std::uint64_t Seed = 0;
};

/// The upstream chosen for a call and the delays expected there.
struct ReplicaChoice {
  UpstreamId Id;
  /// Prompt tokens of the call that the upstream has to prefill.
  std::int64_t TokensToPrefill = 0;
  /// Prompt tokens of other calls that the upstream has to prefill first.
  std::int64_t TokensAhead = 0;
  /// Expected time until those are prefilled.
  Duration Wait{};
  /// Expected time to the first token.
  Duration FirstToken{};
};

} // namespace sorrelbay
