#pragma once

#include "Experiment.h"

namespace sorrelbay {

/// Renders the figures as an aligned table with the median and range over the
/// seeds, and the aim.
std::string renderTable(const std::vector<Figure> &figures);

/// Renders the figures as one JSON document with the value of every seed.
std::string renderJson(const std::vector<Figure> &figures);

/// Writes an SVG file with one horizontal bar for the median of each figure.
void writePlot(const std::vector<Figure> &figures, const std::string &path);

} // namespace sorrelbay
