#pragma once

#include "Experiment.h"
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace sorrelbay {

/// The size at which something was measured.
struct MeasuredSize {
  std::string CountedItem;
  std::size_t Count = 0;
};

/// The mean time of one call, in microseconds; the first call is not counted.
double microsecondsPerCall(int calls, const std::function<void(int)> &work);

/// By how many bytes of heap the process is larger after the work.
double heapGrowth(const std::function<void()> &work);

/// Adds a time of a role to the figures, beside earlier values of the same.
void addTimePerCall(std::vector<Figure> &figures, const std::string &role,
                    const std::string &quantity, const MeasuredSize &size,
                    double callMicroseconds);
/// The same for a number of bytes.
void addBytes(std::vector<Figure> &figures, const std::string &role,
              const std::string &quantity, const MeasuredSize &size,
              double bytes);

} // namespace sorrelbay
