#pragma once

#include "LibServing/FleetView.h"
#include <string>
#include <vector>

namespace sorrelbay {

/// The answer to a caller that asks which hosts to connect to.
struct AddressLookup {
  /// The addresses of the hosts that it names.
  std::vector<std::string> Addresses;
  /// The known hosts that it leaves out, leaving ones aside.
  std::vector<HostId> LeftOut;
};

/// The hosts that `self` names to callers: those that are ready, were seen
/// recently and reach the upstreams of all services. A caller is better off
/// with the address of a host that has to relay its calls, or of a silent one,
/// than with none, so if there are no others, it is given those.
AddressLookup lookUpAddresses(const FleetMember &self, const FleetView &view,
                              Instant now);

} // namespace sorrelbay
