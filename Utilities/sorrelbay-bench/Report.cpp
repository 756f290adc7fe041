#include "Report.h"
#include <algorithm>
#include <fstream>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace sorrelbay {

namespace {

struct Range {
  double Low;
  double High;
};

Range rangeOf(const std::vector<double> &values) {
  if (values.empty())
    return {0, 0};
  const auto ends = std::minmax_element(values.begin(), values.end());
  return {*ends.first, *ends.second};
}

std::string shortNumber(double n) {
  std::ostringstream out;
  out << std::setprecision(4) << n;
  return out.str();
}

constexpr int RowHeight = 18;
constexpr int LabelWidth = 460;
constexpr int BarWidth = 400;
constexpr int NumberWidth = 90;
constexpr int FigureWidth = 56;

} // namespace

std::string renderTable(const std::vector<Figure> &figures) {
  std::ostringstream out;
  out << std::left << std::setw(16) << "deployment" << std::setw(24) << "policy"
      << std::setw(FigureWidth) << "figure" << std::setw(12) << "median"
      << std::setw(24) << "range"
      << "aim\n";
  for (const Figure &it : figures) {
    const Range range = rangeOf(it.Values);
    out << std::setw(16) << it.Deployment << std::setw(24) << it.Policy
        << std::setw(FigureWidth) << (it.Name + " [" + it.Unit + "]")
        << std::setw(12) << shortNumber(median(it.Values)) << std::setw(24)
        << (shortNumber(range.Low) + " to " + shortNumber(range.High)) << it.Aim
        << "\n";
  }
  return out.str();
}

std::string renderJson(const std::vector<Figure> &figures) {
  nlohmann::ordered_json out = nlohmann::ordered_json::array();
  for (const Figure &it : figures)
    out.push_back({{"deployment", it.Deployment},
                   {"policy", it.Policy},
                   {"figure", it.Name},
                   {"unit", it.Unit},
                   {"median", median(it.Values)},
                   {"values", it.Values},
                   {"aim", it.Aim}});
  return out.dump(2);
}

void writePlot(const std::vector<Figure> &figures, const std::string &path) {
  std::ofstream out(path);
  const auto height = static_cast<int>(figures.size()) * RowHeight;
  out << "<svg xmlns='http://www.w3.org/2000/svg' width='"
      << LabelWidth + BarWidth + NumberWidth << "' height='" << height
      << "' font-family='sans-serif' font-size='12'>\n";
  int y = 0;
  for (const Figure &it : figures) {
    // Bars are scaled to the largest median of this figure under any policy.
    double top = 0;
    for (const Figure &other : figures)
      if (other.Name == it.Name && other.Deployment == it.Deployment)
        top = std::max(top, median(other.Values));
    const double value = median(it.Values);
    const double width = top > 0 ? BarWidth * value / top : 0;
    out << "<text x='4' y='" << y + RowHeight - 5 << "'>" << it.Deployment
        << " / " << it.Name << " / " << it.Policy << "</text><rect x='"
        << LabelWidth << "' y='" << y + 2 << "' width='" << width
        << "' height='" << RowHeight - 4 << "' fill='#4a7fb5'/><text x='"
        << LabelWidth + width + 4 << "' y='" << y + RowHeight - 5 << "'>"
        << shortNumber(value) << " " << it.Unit << "</text>\n";
    y += RowHeight;
  }
  out << "</svg>\n";
}

} // namespace sorrelbay
