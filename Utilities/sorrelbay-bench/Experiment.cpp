#include "Experiment.h"
#include <algorithm>

namespace sorrelbay {

double median(std::vector<double> values) {
  if (values.empty())
    return 0;
  std::sort(values.begin(), values.end());
  const std::size_t middle = values.size() / 2;
  if (values.size() % 2 == 1)
    return values[middle];
  return (values[middle - 1] + values[middle]) / 2;
}

} // namespace sorrelbay
