#pragma once

#include "LibBase/Error.h"
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace sorrelbay {

/// One thing wrong with a TOML file. The line is 1-based; 0 where the fault is
/// that a key is missing.
struct TomlFault {
  std::string File;
  std::uint32_t Line = 0;
  std::string Key;
  std::string Reason;
};

/// "file:line: key: reason", or without the line where there is none.
std::string describe(const TomlFault &fault);

/// A TOML file was refused; it carries every fault found, not just the first.
class TomlError : public Error {
public:
  explicit TomlError(std::vector<TomlFault> faults);
  const std::vector<TomlFault> &faults() const { return Faults; }

private:
  std::vector<TomlFault> Faults;
};

/// Reads one table of a TOML document with every key checked. Each accessor
/// marks its key as known and returns a default after noting a fault, so that
/// one pass finds all faults. Call finish() on the root at the end.
class TomlReader {
public:
  /// Parses the text; the file name is only used in faults. Throws TomlError
  /// when it isn't TOML at all.
  static TomlReader parse(const std::string &text, const std::string &file);
  TomlReader(TomlReader &&) noexcept;
  ~TomlReader();

  bool has(const char *key) const;
  /// A required key without a default; an absent one is a fault.
  std::string requiredText(const char *key);
  std::int64_t requiredInteger(const char *key, std::int64_t low,
                               std::int64_t high);
  /// Optional keys: absent gives the default, a wrong type or a value out of
  /// [low, high] is a fault.
  std::string text(const char *key, const std::string &otherwise);
  std::int64_t integer(const char *key, std::int64_t otherwise,
                       std::int64_t low, std::int64_t high);
  double number(const char *key, double otherwise, double low, double high);
  bool boolean(const char *key, bool otherwise);
  std::vector<std::string> texts(const char *key);
  /// A table below this one; an absent one reads as empty.
  TomlReader table(const char *key);
  /// An array of tables; an absent one reads as empty.
  std::vector<TomlReader> tables(const char *key);
  /// Notes a fault of the caller's own finding about a key of this table, such
  /// as values that clash.
  void addFault(const char *key, const std::string &reason);
  /// Notes every key that no accessor asked for, then throws TomlError if
  /// any fault was noted in this document.
  void finish();

private:
  struct Document;
  struct Node;
  TomlReader(std::shared_ptr<Document> document, std::shared_ptr<Node> node);
  std::shared_ptr<Document> Whole;
  std::shared_ptr<Node> Here;
};

} // namespace sorrelbay
