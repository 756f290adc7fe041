#include "LibBase/JsonList.h"
#include <algorithm>
#include <sstream>

namespace sorrelbay {

using nlohmann::json;

namespace {

/// The most bytes that are parsed to find the entries of a list, as a multiple
/// of the text's length.
constexpr std::size_t MaxParsedFactor = 8;
/// The most places at which the end of a list is looked for.
constexpr int MaxListEnds = 8;
constexpr std::string_view WhiteSpace = " \t\r\n";

/// Ends the parsing of a text that is nested too deeply; ignores everything
/// else in it.
class LevelLimiter : public nlohmann::json_sax<json> {
public:
  bool isTooDeep() const { return Levels > MaxJsonLevels; }

  bool start_array(std::size_t) override { return enter(); }
  bool start_object(std::size_t) override { return enter(); }
  bool end_array() override { return leave(); }
  bool end_object() override { return leave(); }
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t &) override { return true; }
  bool string(string_t &) override { return true; }
  bool binary(binary_t &) override { return true; }
  bool key(string_t &) override { return true; }
  bool parse_error(std::size_t, const std::string &,
                   const nlohmann::detail::exception &) override {
    return false;
  }

private:
  bool enter() { return ++Levels <= MaxJsonLevels; }
  bool leave() {
    --Levels;
    return true;
  }

  int Levels = 0;
};

/// A value in a text, and where it ends.
struct ParsedValue {
  json Value;
  std::size_t End = 0;
};

/// Parses values at any place of a text.
class ValueReader {
public:
  explicit ValueReader(std::string_view text)
      : Stream(std::string(text)), Size(text.size()) {}

  std::optional<ParsedValue> at(std::size_t begin) {
    Stream.clear();
    Stream.seekg(static_cast<std::streamoff>(begin));
    ParsedValue out;
    bool isParsed = true;
    try {
      Stream >> out.Value;
    } catch (const json::exception &) {
      isParsed = false;
    }
    out.End = position();
    Parsed += out.End - std::min(begin, out.End);
    if (!isParsed)
      return std::nullopt;
    pruneJson(out.Value);
    return out;
  }

  std::size_t parsedBytes() const { return Parsed; }

private:
  std::size_t position() {
    Stream.clear();
    const std::streamoff at = Stream.tellg();
    return at < 0 ? Size : static_cast<std::size_t>(at);
  }

  std::istringstream Stream;
  std::size_t Size;
  std::size_t Parsed = 0;
};

/// The position after white space from `at` on.
std::size_t skipSpace(std::string_view text, std::size_t at) {
  return std::min(text.find_first_not_of(WhiteSpace, at), text.size());
}

/// The position of the value of a member whose quoted key is at `at`; the end
/// of the text if no member is there.
std::size_t valueOfMember(std::string_view text, std::string_view quotedKey,
                          std::size_t at) {
  const std::size_t colon = skipSpace(text, at + quotedKey.size());
  const bool isMember = colon < text.size() && text[colon] == ':';
  return isMember ? skipSpace(text, colon + 1) : text.size();
}

std::string quoted(const std::string &key) { return '"' + key + '"'; }

/// Where the entries of a list are, and the object without them.
struct ListBounds {
  std::size_t Begin = 0;
  std::size_t End = 0;
  json Envelope;
};

/// Finds the end of the list that begins at `begin`: the last bracket behind
/// which the object goes on to its own end.
std::optional<ListBounds> boundsFrom(std::string_view text, std::size_t begin,
                                     const std::string &key) {
  const std::string head(text.substr(0, begin));
  std::size_t end = text.size();
  for (int n = 0; n < MaxListEnds && end > begin; ++n) {
    end = text.rfind(']', end - 1);
    if (end == std::string_view::npos || end < begin)
      break;
    json envelope =
        json::parse(head + std::string(text.substr(end)), nullptr, false);
    const auto list =
        envelope.is_object() ? envelope.find(key) : envelope.end();
    if (list != envelope.end() && list->is_array() && list->empty()) {
      pruneJson(envelope);
      return ListBounds{begin, end, std::move(envelope)};
    }
  }
  return std::nullopt;
}

std::optional<ListBounds> findList(std::string_view text,
                                   const std::string &key) {
  const std::string name = quoted(key);
  for (std::size_t at = text.find(name); at != std::string_view::npos;
       at = text.find(name, at + 1)) {
    const std::size_t list = valueOfMember(text, name, at);
    if (list < text.size() && text[list] == '[')
      return boundsFrom(text, list + 1, key);
  }
  return std::nullopt;
}

/// Splits the text of a list, some entries of which can't be parsed.
class ListSplitter {
public:
  ListSplitter(std::string_view list, std::string entryMember)
      : List(list), EntryMember(std::move(entryMember)), Reader(list) {}

  /// Returns false if it takes too much work.
  bool split() {
    std::size_t at = skipSpace(List, 0);
    while (at < List.size()) {
      if (Reader.parsedBytes() > MaxParsedFactor * List.size())
        return false;
      auto parsed = Reader.at(at);
      if (parsed && isEntry(*parsed)) {
        endUnparsed(at);
        at = nextBegin(parsed->End);
        Entries.push_back({std::move(parsed->Value), ""});
        continue;
      }
      beginUnparsed(at);
      at = nextBegin(at);
    }
    endUnparsed(List.size());
    return true;
  }

  std::vector<JsonListEntry> Entries;

private:
  bool isEntry(const ParsedValue &parsed) const {
    const std::size_t next = skipSpace(List, parsed.End);
    return parsed.Value.is_object() && parsed.Value.contains(EntryMember) &&
           (next == List.size() || List[next] == ',');
  }

  /// The position of the next place behind `at` where an entry may begin.
  std::size_t nextBegin(std::size_t at) const {
    for (std::size_t comma = List.find(',', at);
         comma != std::string_view::npos; comma = List.find(',', comma + 1)) {
      const std::size_t begin = skipSpace(List, comma + 1);
      if (begin < List.size() && List[begin] == '{')
        return begin;
    }
    return List.size();
  }

  /// The text at `at` up to the end of the first key.
  std::string_view headAt(std::size_t at) const {
    const std::size_t open = std::min(List.find('"', at), List.size());
    const std::size_t close = std::min(List.find('"', open + 1), List.size());
    return List.substr(at, close - at);
  }

  /// Notes an entry that can't be parsed, or the rest of one. Entries begin
  /// with the same key.
  void beginUnparsed(std::size_t at) {
    if (UnparsedFrom && headAt(*UnparsedFrom) != headAt(at))
      return;
    endUnparsed(at);
    UnparsedFrom = at;
  }

  void endUnparsed(std::size_t at) {
    if (UnparsedFrom)
      Entries.push_back(
          {std::nullopt,
           std::string(List.substr(*UnparsedFrom, at - *UnparsedFrom))});
    UnparsedFrom.reset();
  }

  std::string_view List;
  std::string EntryMember;
  ValueReader Reader;
  std::optional<std::size_t> UnparsedFrom;
};

std::optional<json> memberAt(std::string_view text, const std::string &key,
                             std::size_t at) {
  const std::size_t value = valueOfMember(text, key, at);
  if (value >= text.size())
    return std::nullopt;
  auto parsed = ValueReader(text.substr(value)).at(0);
  if (!parsed)
    return std::nullopt;
  return std::move(parsed->Value);
}

} // namespace

void pruneJson(json &value, int levels) {
  if (!value.is_structured())
    return;
  if (levels == 0) {
    value = nullptr;
    return;
  }
  for (json &it : value)
    pruneJson(it, levels - 1);
}

json parseJson(std::string_view text) {
  json out = json::parse(text);
  pruneJson(out);
  return out;
}

void forEachElement(const json &list, std::vector<std::string> *refused,
                    const std::function<void(const json &)> &handle) {
  for (const json &it : list) {
    try {
      handle(it);
    } catch (const std::exception &error) {
      if (!refused)
        throw;
      refused->emplace_back(error.what());
    }
  }
}

json parseCbor(const std::string &bytes) {
  LevelLimiter limiter;
  json::sax_parse(bytes, &limiter, json::input_format_t::cbor);
  if (limiter.isTooDeep())
    return json(json::value_t::discarded);
  return json::from_cbor(bytes);
}

std::optional<JsonList> parseJsonList(const std::string &text,
                                      const JsonListNames &names) {
  JsonList out;
  out.Envelope = json::parse(text, nullptr, false);
  if (!out.Envelope.is_discarded()) {
    if (!out.Envelope.is_object() || !out.Envelope.contains(names.List) ||
        !out.Envelope[names.List].is_array())
      return std::nullopt;
    json list = json::array();
    list.swap(out.Envelope[names.List]);
    for (json &it : list) {
      pruneJson(it);
      out.Entries.push_back({std::move(it), ""});
    }
    return out;
  }
  auto bounds = findList(text, names.List);
  if (!bounds)
    return std::nullopt;
  ListSplitter splitter(
      std::string_view(text).substr(bounds->Begin, bounds->End - bounds->Begin),
      names.EntryMember);
  if (!splitter.split())
    return std::nullopt;
  out.Envelope = std::move(bounds->Envelope);
  out.Entries = std::move(splitter.Entries);
  return out;
}

std::optional<std::vector<JsonListEntry>>
parseJsonArray(const std::string &text, const std::string &entryMember) {
  auto list = parseJsonList(R"({"list":)" + text + "}", {"list", entryMember});
  if (!list)
    return std::nullopt;
  return std::move(list->Entries);
}

std::optional<json> findJsonMember(std::string_view text,
                                   const std::string &key) {
  const std::string name = quoted(key);
  const std::size_t at = text.find(name);
  return at == std::string_view::npos ? std::nullopt : memberAt(text, name, at);
}

std::optional<json> findLastJsonMember(std::string_view text,
                                       const std::string &key) {
  const std::string name = quoted(key);
  const std::size_t at = text.rfind(name);
  return at == std::string_view::npos ? std::nullopt : memberAt(text, name, at);
}

} // namespace sorrelbay
