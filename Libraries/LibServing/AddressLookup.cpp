#include "LibServing/AddressLookup.h"

namespace sorrelbay {

namespace {

/// Hosts of one kind, and their addresses for callers.
struct HostGroup {
  std::vector<HostId> Hosts;
  std::vector<std::string> Addresses;

  void add(const FleetMember &host) {
    Hosts.push_back(host.Host);
    Addresses.push_back(host.CallerAddress);
  }
};

template <typename Value>
void append(std::vector<Value> &to, const std::vector<Value> &from) {
  to.insert(to.end(), from.begin(), from.end());
}

} // namespace

AddressLookup lookUpAddresses(const FleetMember &self, const FleetView &view,
                              Instant now) {
  HostGroup good;
  HostGroup cutOff;
  HostGroup silent;
  const auto add = [&](const FleetMember &host) {
    (host.UnreachableServices.empty() ? good : cutOff).add(host);
  };
  AddressLookup out;
  if (self.IsReady)
    add(self);
  else
    out.LeftOut.push_back(self.Host);
  for (const KnownMember &it : view.members()) {
    if (it.Member.IsLeaving)
      continue;
    if (it.Member.IsReady && view.isAnswering(it, now))
      add(it.Member);
    else
      silent.add(it.Member);
  }
  out.Addresses = good.Addresses;
  if (good.Hosts.size() < cutOff.Hosts.size())
    append(out.Addresses, cutOff.Addresses);
  else
    append(out.LeftOut, cutOff.Hosts);
  append(out.LeftOut, silent.Hosts);
  if (out.Addresses.empty())
    out.Addresses = silent.Addresses;
  if (out.Addresses.empty() && !self.IsLeaving)
    out.Addresses.push_back(self.CallerAddress);
  return out;
}

} // namespace sorrelbay
