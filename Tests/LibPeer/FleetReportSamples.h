#pragma once

#include "LibServing/FleetReport.h"
#include <cstdint>
#include <random>

namespace sorrelbay {

/// How much of a fleet a sample report covers.
struct SampleSize {
  int Hosts = 10;
  int Upstreams = 30;
  int Teams = 8;
};

/// A report in which each of the entries is present with a probability, with
/// drawn values.
FleetReport drawReport(const SampleSize &size, std::mt19937_64 &random);
/// Changes about `changes` entries of each kind in the report, as calls that
/// begin and end do.
void changeReport(FleetReport &report, const SampleSize &size, int changes,
                  std::mt19937_64 &random);
/// Whether the reports have the same contents, apart from what is rounded on
/// the wire.
bool haveSameContents(const FleetReport &a, const FleetReport &b);

} // namespace sorrelbay
