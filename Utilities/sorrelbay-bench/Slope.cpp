#include "Slope.h"
#include <algorithm>
#include <chrono>
#include <malloc.h>

namespace sorrelbay {

double microsecondsPerCall(int calls, const std::function<void(int)> &work) {
  work(0);
  const auto start = std::chrono::steady_clock::now();
  for (int n = 1; n <= calls; ++n)
    work(n);
  const std::chrono::duration<double, std::micro> elapsed =
      std::chrono::steady_clock::now() - start;
  return elapsed.count() / calls;
}

double heapGrowth(const std::function<void()> &work) {
  const std::size_t before = mallinfo2().uordblks;
  work();
  const std::size_t after = mallinfo2().uordblks;
  return static_cast<double>(after) - static_cast<double>(before);
}

static void addValue(std::vector<Figure> &figures, const std::string &role,
                     const std::string &quantity, const MeasuredSize &size,
                     const char *unit, double value) {
  const std::string name =
      quantity + ", " + std::to_string(size.Count) + " " + size.CountedItem;
  const auto it = std::find_if(
      figures.begin(), figures.end(), [&](const Figure &existingFigure) {
        return existingFigure.Policy == role && existingFigure.Name == name;
      });
  if (it != figures.end()) {
    it->Values.push_back(value);
    return;
  }
  figures.push_back({"any", role, name, unit, {value}, ""});
}

void addTimePerCall(std::vector<Figure> &figures, const std::string &role,
                    const std::string &quantity, const MeasuredSize &size,
                    double callMicroseconds) {
  addValue(figures, role, quantity, size, "us", callMicroseconds);
}

void addBytes(std::vector<Figure> &figures, const std::string &role,
              const std::string &quantity, const MeasuredSize &size,
              double bytes) {
  addValue(figures, role, quantity, size, "B", bytes);
}

} // namespace sorrelbay
