#include "LibServing/CrashChance.h"
#include <algorithm>
#include <cmath>

namespace sorrelbay {

double chanceOfCrash(const CrashRate &rate, Duration send) {
  if (rate.Upstreams == 0 || rate.Within <= Duration::zero())
    return 0;
  const double perUpstream = static_cast<double>(rate.Crashes) /
                             static_cast<double>(rate.Upstreams) /
                             toSeconds(rate.Within);
  return 1 - std::exp(-perUpstream * std::max(0.0, toSeconds(send)));
}

double chanceOfSameUpstream(const CrashRate &rate) {
  return rate.AllUpstreams == 0 ? 1
                                : 1 / static_cast<double>(rate.AllUpstreams);
}

} // namespace sorrelbay
