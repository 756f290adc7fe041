#pragma once

#include "LibBase/Time.h"
#include <cstddef>

namespace sorrelbay {

/// How often the upstreams of a service crash for reasons that are not known.
struct CrashRate {
  /// The crashes within the time.
  std::size_t Crashes = 0;
  Duration Within{};
  /// The upstreams among which they are; 0 if it is not known.
  std::size_t Upstreams = 0;
  /// The upstreams that ran at any time within it, as far as it is known.
  std::size_t AllUpstreams = 0;
};

/// The probability that an upstream which crashes at that rate does so while a
/// call is there for that long. 0 if the number of upstreams is not known.
double chanceOfCrash(const CrashRate &rate, Duration send);

/// The probability that one of two calls is sent to the same upstream as the
/// other, which crashes it. 1 if the number of upstreams is not known.
double chanceOfSameUpstream(const CrashRate &rate);

} // namespace sorrelbay
