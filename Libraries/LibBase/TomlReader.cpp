#include "LibBase/TomlReader.h"
#include <functional>
#include <map>
#include <set>
#include <toml++/toml.h>

namespace sorrelbay {

std::string describe(const TomlFault &fault) {
  std::string out = fault.File;
  if (fault.Line != 0)
    out += ":" + std::to_string(fault.Line);
  out += ": ";
  if (!fault.Key.empty())
    out += fault.Key + ": ";
  return out + fault.Reason;
}

static std::string describeAll(const std::vector<TomlFault> &faults) {
  std::string out;
  for (const TomlFault &it : faults) {
    if (!out.empty())
      out += "\n";
    out += describe(it);
  }
  return out;
}

TomlError::TomlError(std::vector<TomlFault> faults)
    : Error(describeAll(faults)), Faults(std::move(faults)) {}

/// The state shared by all readers of a document.
struct TomlReader::Document {
  std::string File;
  toml::table Root;
  std::vector<TomlFault> Faults;
  /// All tables that were opened, in which finish() searches for unknown keys.
  std::vector<std::shared_ptr<Node>> OpenedTables;
};

/// A table of the document and the keys that accessors have read.
struct TomlReader::Node {
  const toml::table *Table = nullptr;
  std::string Path;
  std::set<std::string> KnownKeys;

  std::string pathOf(const char *key) const {
    return Path.empty() ? key : Path + "." + key;
  }
  const toml::node *find(const char *key) {
    KnownKeys.insert(key);
    return Table == nullptr ? nullptr : Table->get(key);
  }
};

static std::uint32_t lineOf(const toml::node *node) {
  return node == nullptr ? 0 : node->source().begin.line;
}

TomlReader::TomlReader(std::shared_ptr<Document> document,
                       std::shared_ptr<Node> node)
    : SharedDocument(std::move(document)), CurrentTable(std::move(node)) {
  SharedDocument->OpenedTables.push_back(CurrentTable);
}
TomlReader::TomlReader(TomlReader &&) noexcept = default;
TomlReader::~TomlReader() = default;

TomlReader TomlReader::parse(const std::string &text, const std::string &file) {
  auto document = std::make_shared<Document>();
  document->File = file;
  try {
    document->Root = toml::parse(text, file);
  } catch (const toml::parse_error &error) {
    throw TomlError({{file, error.source().begin.line, "",
                      std::string(error.description())}});
  }
  auto node = std::make_shared<Node>();
  node->Table = &document->Root;
  return {document, node};
}

void TomlReader::addFault(const char *key, const std::string &reason) {
  const toml::node *value =
      CurrentTable->Table == nullptr ? nullptr : CurrentTable->Table->get(key);
  SharedDocument->Faults.push_back(
      {SharedDocument->File, lineOf(value), CurrentTable->pathOf(key), reason});
}

bool TomlReader::has(const char *key) const {
  return CurrentTable->Table != nullptr && CurrentTable->Table->contains(key);
}

std::string TomlReader::requiredText(const char *key) {
  if (CurrentTable->find(key) == nullptr) {
    addFault(key, "is missing");
    return "";
  }
  return text(key, "");
}

std::int64_t TomlReader::requiredInteger(const char *key, std::int64_t low,
                                         std::int64_t high) {
  if (CurrentTable->find(key) == nullptr) {
    addFault(key, "is missing");
    return low;
  }
  return integer(key, low, low, high);
}

std::string TomlReader::text(const char *key, const std::string &defaultValue) {
  const toml::node *value = CurrentTable->find(key);
  if (value == nullptr)
    return defaultValue;
  if (const auto *found = value->as_string())
    return found->get();
  addFault(key, "must be a string");
  return defaultValue;
}

std::int64_t TomlReader::integer(const char *key, std::int64_t defaultValue,
                                 std::int64_t low, std::int64_t high) {
  const toml::node *value = CurrentTable->find(key);
  if (value == nullptr)
    return defaultValue;
  const auto *found = value->as_integer();
  if (found == nullptr) {
    addFault(key, "must be a whole number");
    return defaultValue;
  }
  if (found->get() < low || found->get() > high) {
    addFault(key, "must be from " + std::to_string(low) + " to " +
                      std::to_string(high));
    return defaultValue;
  }
  return found->get();
}

double TomlReader::number(const char *key, double defaultValue, double low,
                          double high) {
  const toml::node *value = CurrentTable->find(key);
  if (value == nullptr)
    return defaultValue;
  const auto found = value->value<double>();
  if (!found || !value->is_number()) {
    addFault(key, "must be a number");
    return defaultValue;
  }
  // This form of the condition also refuses NaN.
  if (!(*found >= low && *found <= high)) {
    addFault(key, "must be from " + std::to_string(low) + " to " +
                      std::to_string(high));
    return defaultValue;
  }
  return *found;
}

bool TomlReader::boolean(const char *key, bool defaultValue) {
  const toml::node *value = CurrentTable->find(key);
  if (value == nullptr)
    return defaultValue;
  if (const auto *found = value->as_boolean())
    return found->get();
  addFault(key, "must be true or false");
  return defaultValue;
}

std::vector<std::string> TomlReader::texts(const char *key) {
  std::vector<std::string> out;
  const toml::node *value = CurrentTable->find(key);
  if (value == nullptr)
    return out;
  const toml::array *array = value->as_array();
  if (array == nullptr) {
    addFault(key, "must be an array of strings");
    return out;
  }
  for (const toml::node &it : *array) {
    if (const auto *found = it.as_string())
      out.push_back(found->get());
    else
      addFault(key, "must contain only strings");
  }
  return out;
}

TomlReader TomlReader::table(const char *key) {
  auto node = std::make_shared<Node>();
  node->Path = CurrentTable->pathOf(key);
  const toml::node *value = CurrentTable->find(key);
  if (value != nullptr) {
    node->Table = value->as_table();
    if (node->Table == nullptr)
      addFault(key, "must be a table");
  }
  return {SharedDocument, node};
}

std::vector<TomlReader> TomlReader::tables(const char *key) {
  std::vector<TomlReader> out;
  const toml::node *value = CurrentTable->find(key);
  if (value == nullptr)
    return out;
  const toml::array *array = value->as_array();
  if (array == nullptr) {
    addFault(key, "must be an array of tables");
    return out;
  }
  for (std::size_t n = 0; n < array->size(); ++n) {
    auto node = std::make_shared<Node>();
    node->Path = CurrentTable->pathOf(key) + "[" + std::to_string(n) + "]";
    node->Table = array->get(n)->as_table();
    if (node->Table == nullptr)
      addFault(key, "must contain only tables");
    out.push_back(TomlReader(SharedDocument, node));
  }
  return out;
}

void TomlReader::finish() {
  for (const auto &node : SharedDocument->OpenedTables) {
    if (node->Table == nullptr)
      continue;
    for (const auto &entry : *node->Table) {
      const std::string key(entry.first.str());
      if (node->KnownKeys.count(key) == 0)
        SharedDocument->Faults.push_back(
            {SharedDocument->File, lineOf(&entry.second),
             node->pathOf(key.c_str()), "is not a known key"});
    }
  }
  if (!SharedDocument->Faults.empty())
    throw TomlError(SharedDocument->Faults);
}

} // namespace sorrelbay
