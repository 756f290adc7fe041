#pragma once

#include "LibBase/Identifier.h"
#include "LibServing/UpstreamLoad.h"
#include <cstdint>
#include <vector>

namespace sorrelbay {

/// An upstream that may take a call without a prompt.
struct DeskCandidate {
  UpstreamId Id;
  ZoneId InZone;
  /// The slots that the upstream has registered.
  int Slots = 1;
  /// Open calls as hosts report them to each other.
  int ReportedCalls = 0;
  /// The load as the upstream states it.
  ExpectedLoad Load;
};

/// The part of a call that matters for the choice.
struct DeskRequest {
  ZoneId OwnZone;
  /// The number of hosts that send calls to the service, including this one.
  int Hosts = 1;
  /// Selects among equally good upstreams.
  std::uint64_t Seed = 0;
  /// Whether the condition for using stated loads holds.
  bool UsesStatedLoads = false;
};

/// Whether a service has few upstreams that together have fewer slots than
/// there are hosts. A host's own calls then say little about the load there,
/// but it gets responses from each upstream often. Stated loads decide, and
/// each host limits its open calls.
bool areSlotsScarce(int upstreams, int slots, int hosts);

/// The position of the best candidate; there must be one. Decides by stated
/// loads where these are used and one is known, otherwise by reported calls.
std::size_t chooseDesk(const std::vector<DeskCandidate> &all,
                       const DeskRequest &request);

} // namespace sorrelbay
