#include "LibServing/AddressLookup.h"

namespace sorrelbay {

AddressLookup lookUpAddresses(const FleetMember &self, const FleetView &view,
                              Instant now) {
  AddressLookup out;
  std::vector<std::string> silent;
  if (self.IsReady)
    out.Addresses.push_back(self.CallerAddress);
  else
    out.LeftOut.push_back(self.Host);
  for (const KnownMember &it : view.members()) {
    if (it.Member.IsLeaving)
      continue;
    const bool isServing = it.Member.IsReady && view.isAnswering(it, now);
    (isServing ? out.Addresses : silent).push_back(it.Member.CallerAddress);
    if (!isServing)
      out.LeftOut.push_back(it.Member.Host);
  }
  if (out.Addresses.empty())
    out.Addresses = silent;
  if (out.Addresses.empty() && !self.IsLeaving)
    out.Addresses.push_back(self.CallerAddress);
  return out;
}

} // namespace sorrelbay
