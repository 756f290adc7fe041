#pragma once

#include <string>

namespace sorrelbay {

/// Whether standard output is a terminal. Output to a pipe contains data only.
bool isTerminal();

/// Whether to print in colour: on a terminal, unless NO_COLOR is set.
bool isColoured();

/// Prints a line if standard output is a terminal; otherwise prints nothing.
void printNote(const std::string &text);

} // namespace sorrelbay
