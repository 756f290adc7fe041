#pragma once

#include "Experiment.h"
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace sorrelbay {

/// The size of the input of a measurement: how many items of which kind.
struct MeasuredSize {
  std::string CountedItem;
  std::size_t Count = 0;
};

/// Mean time of one call in microseconds. Makes one more call beforehand that
/// is not measured.
double microsecondsPerCall(int calls, const std::function<void(int)> &work);

/// Heap growth of the process during `work`, in bytes.
double heapGrowth(const std::function<void()> &work);

/// Adds a time per call to the role's figure for this quantity and size, which
/// is created if it does not exist.
void addTimePerCall(std::vector<Figure> &figures, const std::string &role,
                    const std::string &quantity, const MeasuredSize &size,
                    double callMicroseconds);
/// Adds a number of bytes in the same way.
void addBytes(std::vector<Figure> &figures, const std::string &role,
              const std::string &quantity, const MeasuredSize &size,
              double bytes);

} // namespace sorrelbay
