#include "WholeFile.h"
#include <cstdio>
#include <fstream>
#include <sstream>

namespace sorrelbay {

static constexpr std::size_t MaxFileBytes = std::size_t{4} * 1024 * 1024;

std::string readFile(const std::string &path) {
  std::ifstream in(path, std::ios::binary);
  std::string bytes(MaxFileBytes + 1, '\0');
  in.read(&bytes[0], static_cast<std::streamsize>(bytes.size()));
  if (!in.is_open() || in.bad())
    throw FileUnusable(path + ": can't be read");
  bytes.resize(static_cast<std::size_t>(in.gcount()));
  if (bytes.size() > MaxFileBytes)
    throw FileUnusable(path + ": is larger than 4 MiB");
  return bytes;
}

void writeFile(const std::string &path, const std::string &bytes) {
  // Another command may read the file at any time. Renaming a temporary file
  // ensures that it never reads a partially written one.
  const std::string partial = path + ".partial";
  std::ofstream out(partial, std::ios::binary | std::ios::trunc);
  out << bytes;
  out.close();
  if (!out || std::rename(partial.c_str(), path.c_str()) != 0) {
    std::remove(partial.c_str());
    throw FileUnusable(path + ": can't be written");
  }
}

} // namespace sorrelbay
