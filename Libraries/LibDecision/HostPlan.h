#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include "LibDecision/HostMix.h"
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace sorrelbay {

/// Names one order to the cloud, whoever gives it and however often: the cloud
/// answers a token that it knows with the host that it made for it. So two
/// movers, or one whose reply was lost, can't buy twice.
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

/// "generation-slot-replacement", as the cloud API gets it.
std::string renderToken(const ClientToken &token);
/// The inverse; false if the text is none of ours.
bool parseToken(const std::string &text, ClientToken &token);

/// One host that is wanted, or was. A slot that is no longer wanted stays with
/// its number, since a token that is used again would name a host of the past.
struct Slot {
  ClientToken Token;
  HostOffer From;
  bool IsWanted = true;
  /// When it ceased to be wanted.
  Instant RetiredAt{};
};

/// What the movers have decided to have. Kept in one object of the object API
/// and only changed by conditional update, before any order follows from it.
struct HostPlan {
  std::vector<Slot> Slots;
};

enum class CloudHostState { Starting, Live, Leaving, Gone };

/// A host as the cloud's list shows it; the list may lag.
struct CloudHost {
  std::string Id;
  ClientToken Token;
  CloudHostState State = CloudHostState::Live;
};

/// The hosts that the plan wants, as a mix.
HostMix mixOf(const HostPlan &plan);

} // namespace sorrelbay
