#pragma once

#include "LibBase/Error.h"
#include <string>

namespace sorrelbay {

/// A file given on the command line can't be read or written.
class FileUnusable : public Error {
public:
  using Error::Error;
};

/// Reads the whole file. Throws FileUnusable, also if the file is larger than
/// 4 MiB.
std::string readFile(const std::string &path);

/// Writes the file atomically. Throws FileUnusable.
void writeFile(const std::string &path, const std::string &bytes);

} // namespace sorrelbay
