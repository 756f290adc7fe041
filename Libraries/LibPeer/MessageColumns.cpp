#include "LibPeer/MessageColumns.h"
#include "LibPeer/PeerFailures.h"
#include <cmath>
#include <nlohmann/json.hpp>

namespace sorrelbay {

namespace {

using nlohmann::json;

/// Sorts the values of a message by type while it is parsed.
class ColumnCollector : public nlohmann::json_sax<json> {
public:
  ColumnCollector(std::vector<std::int64_t> &integers,
                  std::vector<std::string> &texts, std::vector<double> &reals)
      : Integers(integers), Texts(texts), Reals(reals) {}

  bool number_integer(number_integer_t value) override {
    Integers.push_back(value);
    return true;
  }
  bool number_unsigned(number_unsigned_t value) override {
    Integers.push_back(static_cast<std::int64_t>(value));
    return true;
  }
  bool number_float(number_float_t value, const string_t &) override {
    Reals.push_back(value);
    return true;
  }
  bool string(string_t &value) override {
    Texts.push_back(std::move(value));
    return true;
  }
  bool start_array(std::size_t) override { return ++Levels <= MaxLevels; }
  bool end_array() override {
    --Levels;
    return true;
  }
  bool null() override { return false; }
  bool boolean(bool) override { return false; }
  bool binary(binary_t &) override { return false; }
  bool start_object(std::size_t) override { return false; }
  bool key(string_t &) override { return false; }
  bool end_object() override { return false; }
  bool parse_error(std::size_t, const std::string &,
                   const nlohmann::detail::exception &) override {
    return false;
  }

private:
  /// Decoding takes stack space for each level; a message has two.
  static constexpr int MaxLevels = 4;

  int Levels = 0;
  std::vector<std::int64_t> &Integers;
  std::vector<std::string> &Texts;
  std::vector<double> &Reals;
};

/// The integers around the columns: format and kind before them, one after.
constexpr std::size_t FramingIntegers = 3;

template <typename Value>
const Value &nextOf(const std::vector<Value> &column, std::size_t &read) {
  if (read >= column.size())
    throw PeerMessageRefused("peer message ends early");
  return column[read++];
}

} // namespace

void ColumnWriter::append(const ColumnWriter &other) {
  Integers.insert(Integers.end(), other.Integers.begin(), other.Integers.end());
  Texts.insert(Texts.end(), other.Texts.begin(), other.Texts.end());
  Reals.insert(Reals.end(), other.Reals.begin(), other.Reals.end());
}

std::string ColumnWriter::encode(int format, int kind) const {
  std::string out;
  json::to_cbor(json{format, kind, Integers, Texts, Reals, 0}, out);
  out.pop_back();
  return out;
}

std::string closeMessage(const std::string &encoded, std::int64_t last) {
  std::string out = encoded;
  json::to_cbor(json(last), out);
  return out;
}

ColumnReader::ColumnReader(const std::string &bytes) {
  ColumnCollector collector(Integers, Texts, Reals);
  if (!json::sax_parse(bytes, &collector, json::input_format_t::cbor) ||
      Integers.size() < FramingIntegers)
    throw PeerMessageRefused("peer message can't be decoded");
  Format = static_cast<int>(nextInteger());
  Kind = static_cast<int>(nextInteger());
  Last = Integers.back();
  Integers.pop_back();
}

std::int64_t ColumnReader::nextInteger() {
  return nextOf(Integers, IntegersRead);
}

std::size_t ColumnReader::nextCount() {
  const std::int64_t count = nextInteger();
  if (count < 0 || static_cast<std::size_t>(count) > size())
    throw PeerMessageRefused("peer message has an implausible count");
  return static_cast<std::size_t>(count);
}

const std::string &ColumnReader::nextText() { return nextOf(Texts, TextsRead); }

double ColumnReader::nextReal() {
  const double value = nextOf(Reals, RealsRead);
  if (!std::isfinite(value))
    throw PeerMessageRefused("peer message has a number that is not finite");
  return value;
}

int messageKindOf(const std::string &bytes, int format) {
  // An array of fewer than 24 values, then two integers below 24, take a byte
  // each in CBOR.
  constexpr std::size_t HeaderBytes = 3;
  constexpr unsigned ShortArrayTag = 0x80;
  constexpr unsigned TagMask = 0xe0;
  if (bytes.size() < HeaderBytes ||
      (static_cast<unsigned char>(bytes[0]) & TagMask) != ShortArrayTag ||
      bytes[1] != static_cast<char>(format))
    return -1;
  return static_cast<unsigned char>(bytes[2]);
}

} // namespace sorrelbay
