#pragma once

#include "LibBase/Error.h"
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace sorrelbay {

/// A fault in a TOML file. The line is 1-based, or 0 if the fault is a missing
/// key.
struct TomlFault {
  std::string File;
  std::uint32_t Line = 0;
  std::string Key;
  std::string Reason;
};

/// Formats as "file:line: key: reason", without the line if it is 0 and without
/// the key if it is empty.
std::string describe(const TomlFault &fault);

/// A TOML file is invalid. Contains all faults found, not only the first.
class TomlError : public Error {
public:
  explicit TomlError(std::vector<TomlFault> faults);
  const std::vector<TomlFault> &faults() const { return Faults; }

private:
  std::vector<TomlFault> Faults;
};

/// Reads a table of a TOML document and checks every key. Each accessor marks
/// its key as known; if the value is invalid, it records a fault and returns a
/// default, so that one pass finds all faults. Call finish() on the root at the
/// end.
class TomlReader {
public:
  /// Parses the text; the file name is used only in faults. Throws TomlError if
  /// the text is not valid TOML.
  static TomlReader parse(const std::string &text, const std::string &file);
  TomlReader(TomlReader &&) noexcept;
  ~TomlReader();

  bool has(const char *key) const;
  /// Required keys: a missing key is a fault.
  std::string requiredText(const char *key);
  std::int64_t requiredInteger(const char *key, std::int64_t low,
                               std::int64_t high);
  /// Optional keys: returns the default if the key is missing. A value of the
  /// wrong type or outside [low, high] is a fault.
  std::string text(const char *key, const std::string &defaultValue);
  std::int64_t integer(const char *key, std::int64_t defaultValue,
                       std::int64_t low, std::int64_t high);
  double number(const char *key, double defaultValue, double low, double high);
  bool boolean(const char *key, bool defaultValue);
  std::vector<std::string> texts(const char *key);
  /// A table within this one; a missing one reads as empty.
  TomlReader table(const char *key);
  /// An array of tables; a missing one reads as empty.
  std::vector<TomlReader> tables(const char *key);
  /// Records a fault that the caller found with a key of this table, such as
  /// conflicting values.
  void addFault(const char *key, const std::string &reason);
  /// Records a fault for each key that no accessor read, then throws TomlError
  /// if the document has any fault.
  void finish();

private:
  struct Document;
  struct Node;
  TomlReader(std::shared_ptr<Document> document, std::shared_ptr<Node> node);
  std::shared_ptr<Document> SharedDocument;
  std::shared_ptr<Node> CurrentTable;
};

} // namespace sorrelbay
