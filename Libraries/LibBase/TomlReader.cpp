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

/// What all readers of one document share.
struct TomlReader::Document {
  std::string File;
  toml::table Root;
  std::vector<TomlFault> Faults;
  /// Every table that was opened, for the search for unknown keys.
  std::vector<std::shared_ptr<Node>> Opened;
};

/// One table of the document and the keys that were asked for.
struct TomlReader::Node {
  const toml::table *Table = nullptr;
  std::string Path;
  std::set<std::string> Known;

  std::string pathOf(const char *key) const {
    return Path.empty() ? key : Path + "." + key;
  }
  const toml::node *find(const char *key) {
    Known.insert(key);
    return Table == nullptr ? nullptr : Table->get(key);
  }
};

static std::uint32_t lineOf(const toml::node *node) {
  return node == nullptr ? 0 : node->source().begin.line;
}

TomlReader::TomlReader(std::shared_ptr<Document> document,
                       std::shared_ptr<Node> node)
    : Whole(std::move(document)), Here(std::move(node)) {
  Whole->Opened.push_back(Here);
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
      Here->Table == nullptr ? nullptr : Here->Table->get(key);
  Whole->Faults.push_back(
      {Whole->File, lineOf(value), Here->pathOf(key), reason});
}

bool TomlReader::has(const char *key) const {
  return Here->Table != nullptr && Here->Table->contains(key);
}

std::string TomlReader::requiredText(const char *key) {
  if (Here->find(key) == nullptr) {
    addFault(key, "is missing");
    return "";
  }
  return text(key, "");
}

std::int64_t TomlReader::requiredInteger(const char *key, std::int64_t low,
                                         std::int64_t high) {
  if (Here->find(key) == nullptr) {
    addFault(key, "is missing");
    return low;
  }
  return integer(key, low, low, high);
}

std::string TomlReader::text(const char *key, const std::string &otherwise) {
  const toml::node *value = Here->find(key);
  if (value == nullptr)
    return otherwise;
  if (const auto *found = value->as_string())
    return found->get();
  addFault(key, "must be a string");
  return otherwise;
}

std::int64_t TomlReader::integer(const char *key, std::int64_t otherwise,
                                 std::int64_t low, std::int64_t high) {
  const toml::node *value = Here->find(key);
  if (value == nullptr)
    return otherwise;
  const auto *found = value->as_integer();
  if (found == nullptr) {
    addFault(key, "must be a whole number");
    return otherwise;
  }
  if (found->get() < low || found->get() > high) {
    addFault(key, "must be from " + std::to_string(low) + " to " +
                      std::to_string(high));
    return otherwise;
  }
  return found->get();
}

double TomlReader::number(const char *key, double otherwise, double low,
                          double high) {
  const toml::node *value = Here->find(key);
  if (value == nullptr)
    return otherwise;
  const auto found = value->value<double>();
  if (!found || !value->is_number()) {
    addFault(key, "must be a number");
    return otherwise;
  }
  // Written so that a NaN is refused too.
  if (!(*found >= low && *found <= high)) {
    addFault(key, "must be from " + std::to_string(low) + " to " +
                      std::to_string(high));
    return otherwise;
  }
  return *found;
}

bool TomlReader::boolean(const char *key, bool otherwise) {
  const toml::node *value = Here->find(key);
  if (value == nullptr)
    return otherwise;
  if (const auto *found = value->as_boolean())
    return found->get();
  addFault(key, "must be true or false");
  return otherwise;
}

std::vector<std::string> TomlReader::texts(const char *key) {
  std::vector<std::string> out;
  const toml::node *value = Here->find(key);
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
      addFault(key, "must hold only strings");
  }
  return out;
}

TomlReader TomlReader::table(const char *key) {
  auto node = std::make_shared<Node>();
  node->Path = Here->pathOf(key);
  const toml::node *value = Here->find(key);
  if (value != nullptr) {
    node->Table = value->as_table();
    if (node->Table == nullptr)
      addFault(key, "must be a table");
  }
  return {Whole, node};
}

std::vector<TomlReader> TomlReader::tables(const char *key) {
  std::vector<TomlReader> out;
  const toml::node *value = Here->find(key);
  if (value == nullptr)
    return out;
  const toml::array *array = value->as_array();
  if (array == nullptr) {
    addFault(key, "must be an array of tables");
    return out;
  }
  for (std::size_t n = 0; n < array->size(); ++n) {
    auto node = std::make_shared<Node>();
    node->Path = Here->pathOf(key) + "[" + std::to_string(n) + "]";
    node->Table = array->get(n)->as_table();
    if (node->Table == nullptr)
      addFault(key, "must hold only tables");
    out.push_back(TomlReader(Whole, node));
  }
  return out;
}

void TomlReader::finish() {
  for (const auto &node : Whole->Opened) {
    if (node->Table == nullptr)
      continue;
    for (const auto &entry : *node->Table) {
      const std::string key(entry.first.str());
      if (node->Known.count(key) == 0)
        Whole->Faults.push_back({Whole->File, lineOf(&entry.second),
                                 node->pathOf(key.c_str()),
                                 "is not a known key"});
    }
  }
  if (!Whole->Faults.empty())
    throw TomlError(Whole->Faults);
}

} // namespace sorrelbay
