#include "LibDecision/HostPlan.h"
#include <cstdio>

namespace sorrelbay {

std::string renderToken(const ClientToken &token) {
  return std::to_string(token.Generation) + "-" + std::to_string(token.Slot) +
         "-" + std::to_string(token.Replacement);
}

bool parseToken(const std::string &text, ClientToken &token) {
  unsigned long long generation = 0;
  unsigned slot = 0;
  unsigned replacement = 0;
  char rest = 0;
  // The `%c` rejects text after the third number.
  // NOLINTNEXTLINE(bugprone-unchecked-string-to-number-conversion,cert-err34-c)
  if (std::sscanf(text.c_str(), "%llu-%u-%u%c", &generation, &slot,
                  &replacement, &rest) != 3)
    return false;
  token = {generation, slot, replacement};
  return true;
}

HostMix mixOf(const HostPlan &plan) {
  HostMix mix;
  for (const Slot &slot : plan.Slots) {
    if (!slot.IsWanted)
      continue;
    bool isCounted = false;
    for (HostCount &it : mix) {
      if (!it.Offer.isSameAs(slot.From))
        continue;
      ++it.Hosts;
      isCounted = true;
    }
    if (!isCounted)
      mix.push_back({slot.From, 1});
  }
  return mix;
}

} // namespace sorrelbay
