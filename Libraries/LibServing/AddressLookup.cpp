#include "LibServing/AddressLookup.h"

namespace sorrelbay {

AddressLookup lookUpAddresses(const FleetMember &self, const FleetView &view,
                              Instant now) {
  AddressLookup out;
  std::vector<std::string> cutOff;
  std::vector<std::string> silent;
  const auto add = [&](const FleetMember &host, bool isServing) {
    const bool isCutOff = !host.UnreachableServices.empty();
    if (isServing && !isCutOff)
      return out.Addresses.push_back(host.CallerAddress);
    (isServing ? cutOff : silent).push_back(host.CallerAddress);
    out.LeftOut.push_back(host.Host);
  };
  if (self.IsReady)
    add(self, true);
  else
    out.LeftOut.push_back(self.Host);
  for (const KnownMember &it : view.members())
    if (!it.Member.IsLeaving)
      add(it.Member, it.Member.IsReady && view.isAnswering(it, now));
  if (out.Addresses.empty()) {
    out.Addresses = cutOff;
    out.LeftOut.clear();
  }
  if (out.Addresses.empty())
    out.Addresses = silent;
  if (out.Addresses.empty() && !self.IsLeaving)
    out.Addresses.push_back(self.CallerAddress);
  return out;
}

} // namespace sorrelbay
