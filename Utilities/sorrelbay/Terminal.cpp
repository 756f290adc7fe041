#include "Terminal.h"
#include <cstdlib>
#include <iostream>
#include <unistd.h>

namespace sorrelbay {

bool isTerminal() { return isatty(STDOUT_FILENO) == 1; }

bool isColoured() {
  const char *const noColour = std::getenv("NO_COLOR");
  return isTerminal() && (noColour == nullptr || *noColour == '\0');
}

void printNote(const std::string &text) {
  if (isTerminal())
    std::cout << text << '\n';
}

} // namespace sorrelbay
