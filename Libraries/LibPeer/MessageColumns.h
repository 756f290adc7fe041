#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace sorrelbay {

/// Writes a message whose values are grouped by type: all integers, all texts
/// and all reals, each in the order in which they were added. A reader that
/// takes them in the same order needs no field names and no nested arrays.
class ColumnWriter {
public:
  void addInteger(std::int64_t value) { Integers.push_back(value); }
  void addCount(std::size_t value) {
    Integers.push_back(static_cast<std::int64_t>(value));
  }
  void addText(const std::string &value) { Texts.push_back(value); }
  void addReal(double value) { Reals.push_back(value); }
  /// Adds all values of the other writer after the own ones.
  void append(const ColumnWriter &other);

  /// Encodes the message as CBOR, without the integer that ends it.
  /// `closeMessage` appends that, so that one encoding serves several
  /// receivers.
  std::string encode(int format, int kind) const;

private:
  std::vector<std::int64_t> Integers;
  std::vector<std::string> Texts;
  std::vector<double> Reals;
};

/// Appends the last integer to an encoded message.
std::string closeMessage(const std::string &encoded, std::int64_t last);

/// Reads a message that a ColumnWriter wrote. Each function throws
/// PeerMessageRefused if the message has no further value of the type.
class ColumnReader {
public:
  /// Parses the message. Throws PeerMessageRefused if it is no CBOR or contains
  /// other types.
  explicit ColumnReader(const std::string &bytes);

  int format() const { return Format; }
  int kind() const { return Kind; }
  /// The integer that ends the message.
  std::int64_t last() const { return Last; }

  std::int64_t nextInteger();
  /// An integer that is neither negative nor larger than the number of values
  /// in the message, as each counted entry has at least one.
  std::size_t nextCount();
  const std::string &nextText();
  /// A finite number.
  double nextReal();
  /// The number of values in the message.
  std::size_t size() const {
    return Integers.size() + Texts.size() + Reals.size();
  }

private:
  int Format = 0;
  int Kind = 0;
  std::int64_t Last = 0;
  std::vector<std::int64_t> Integers;
  std::vector<std::string> Texts;
  std::vector<double> Reals;
  std::size_t IntegersRead = 0;
  std::size_t TextsRead = 0;
  std::size_t RealsRead = 0;
};

/// The kind of an encoded message; -1 if the bytes are no message of the
/// format. Reads the first bytes only.
int messageKindOf(const std::string &bytes, int format);

} // namespace sorrelbay
