#pragma once

#include "LibServing/FleetView.h"
#include <set>
#include <string>
#include <vector>

namespace sorrelbay {

/// The answer to a caller that asks which hosts to connect to.
struct AddressLookup {
  /// The addresses of the hosts that it names.
  std::vector<std::string> Addresses;
  /// The known hosts that it leaves out, leaving ones aside.
  std::vector<HostId> LeftOut;
  /// The held hosts that it names, because more than half are held.
  std::vector<HostId> HoldsIgnored;
};

/// The hosts that `self` names to callers: those that are ready, were seen
/// recently and reach the upstreams of all services. Hosts that don't are left
/// out unless they are the majority: then the upstreams may be at fault, and
/// the other hosts could not take all callers. A caller is better off with the
/// address of a silent host than with none, so if there are no others, it is
/// given those. Of the hosts that would be named, those that operators hold are
/// left out, at most half of them and the first by name, so that all hosts
/// leave out the same ones.
AddressLookup lookUpAddresses(const FleetMember &self, const FleetView &view,
                              Instant now, const std::set<HostId> &held = {});

} // namespace sorrelbay
