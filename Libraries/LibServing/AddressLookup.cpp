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

/// Names the hosts except the held ones, of which at most half of all are left
/// out.
void nameHosts(const HostGroup &hosts, const std::set<HostId> &held,
               AddressLookup &out) {
  std::set<HostId> heldHere;
  for (const HostId &it : hosts.Hosts)
    if (held.count(it) != 0)
      heldHere.insert(it);
  std::set<HostId> leftOut;
  for (const HostId &it : heldHere) {
    if (leftOut.size() < hosts.Hosts.size() / 2)
      leftOut.insert(it);
    else
      out.HoldsIgnored.push_back(it);
  }
  for (std::size_t n = 0; n < hosts.Hosts.size(); ++n)
    if (leftOut.count(hosts.Hosts[n]) == 0)
      out.Addresses.push_back(hosts.Addresses[n]);
  out.LeftOut.insert(out.LeftOut.end(), leftOut.begin(), leftOut.end());
}

} // namespace

AddressLookup lookUpAddresses(const FleetMember &self, const FleetView &view,
                              Instant now, const std::set<HostId> &held) {
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
  for (const auto &[host, it] : view.members()) {
    if (it.Member.IsLeaving)
      continue;
    if (it.Member.IsReady && view.isAnswering(it, now))
      add(it.Member);
    else
      silent.add(it.Member);
  }
  if (good.Hosts.size() < cutOff.Hosts.size()) {
    append(good.Hosts, cutOff.Hosts);
    append(good.Addresses, cutOff.Addresses);
  } else {
    append(out.LeftOut, cutOff.Hosts);
  }
  nameHosts(good, held, out);
  append(out.LeftOut, silent.Hosts);
  if (out.Addresses.empty())
    out.Addresses = silent.Addresses;
  if (out.Addresses.empty() && !self.IsLeaving)
    out.Addresses.push_back(self.CallerAddress);
  return out;
}

} // namespace sorrelbay
