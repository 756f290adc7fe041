#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include "LibDecision/HostMix.h"
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace sorrelbay {

/// Identifies one create request to the cloud, regardless of the sender and the
/// number of attempts. For a token that it has received before, the cloud
/// returns the host that it created then, so neither two concurrent planners
/// nor a retry after a lost reply create a second host.
struct ClientToken {
  std::uint64_t Generation = 0;
  std::uint32_t Slot = 0;
  std::uint32_t Replacement = 0;

  friend bool operator==(const ClientToken &a, const ClientToken &b) {
    return std::tie(a.Generation, a.Slot, a.Replacement) ==
           std::tie(b.Generation, b.Slot, b.Replacement);
  }
  friend bool operator<(const ClientToken &a, const ClientToken &b) {
    return std::tie(a.Generation, a.Slot, a.Replacement) <
           std::tie(b.Generation, b.Slot, b.Replacement);
  }
};

/// Returns "generation-slot-replacement", the form used in the cloud API.
std::string renderToken(const ClientToken &token);
/// Parses the text form. Returns false if the text is not a token of this
/// system.
bool parseToken(const std::string &text, ClientToken &token);

/// A host that is or was wanted. The slot of a retired host keeps its number,
/// since a token that is used twice would refer to the earlier host.
struct Slot {
  ClientToken Token;
  HostOffer From;
  bool IsWanted = true;
  /// When the slot was retired.
  Instant RetiredAt{};
};

/// The planned hosts. Stored in one object of the object API and changed only
/// by conditional update, before any order based on it is sent.
struct HostPlan {
  std::vector<Slot> Slots;
};

enum class CloudHostState { Starting, Live, Leaving, Gone };

/// A host in the cloud's host list, which may lag.
struct CloudHost {
  std::string Id;
  ClientToken Token;
  CloudHostState State = CloudHostState::Live;
};

/// The wanted hosts of the plan as a mix.
HostMix mixOf(const HostPlan &plan);

} // namespace sorrelbay
