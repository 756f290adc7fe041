#pragma once

#include <cstddef>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sorrelbay {

/// The most levels of nested arrays and objects of a value from outside.
/// Copying and writing a value takes stack space for each level.
constexpr int MaxJsonLevels = 64;

/// Replaces values below `levels` levels of nested arrays and objects by null.
void pruneJson(nlohmann::json &value, int levels = MaxJsonLevels);

/// Parses a JSON text, with null in place of values that are nested too deeply.
/// Throws nlohmann::json::exception if it is malformed.
nlohmann::json parseJson(std::string_view text);

/// Decodes a CBOR text. Returns a discarded value, which has no members, if it
/// is nested too deeply: decoding would take stack space for each level. Throws
/// nlohmann::json::exception if it is malformed.
nlohmann::json parseCbor(const std::string &bytes);

/// Handles each element of a list. Without `refused`, what the handler throws
/// is thrown; otherwise its reason is added there, and the next element
/// follows.
void forEachElement(const nlohmann::json &list,
                    std::vector<std::string> *refused,
                    const std::function<void(const nlohmann::json &)> &handle);

/// An entry of a list in a JSON text.
struct JsonListEntry {
  /// Empty if the entry can't be parsed.
  std::optional<nlohmann::json> Value;
  /// The text of an entry that can't be parsed.
  std::string Text;
};

/// A JSON object that consists of a list of objects and other members.
struct JsonList {
  /// The object with an empty list.
  nlohmann::json Envelope;
  std::vector<JsonListEntry> Entries;
};

/// The names of the list and of a member that all its entries have.
struct JsonListNames {
  std::string List;
  std::string EntryMember;
};

/// Parses a JSON object that contains a list of objects. An entry that can't be
/// parsed affects no other entry. Returns nothing if the object around the
/// entries can't be parsed either, or if it takes too much work to find the
/// entries that can.
std::optional<JsonList> parseJsonList(const std::string &text,
                                      const JsonListNames &names);

/// The same for a text that is a list and nothing around it.
std::optional<std::vector<JsonListEntry>>
parseJsonArray(const std::string &text, const std::string &entryMember);

/// Parses the value of the first member `key` in a text that can't be parsed as
/// a whole. Returns nothing if there is none that can be parsed.
std::optional<nlohmann::json> findJsonMember(std::string_view text,
                                             const std::string &key);
/// The same for the last such member.
std::optional<nlohmann::json> findLastJsonMember(std::string_view text,
                                                 const std::string &key);

} // namespace sorrelbay
