#include "LibOperator/QuarantineObject.h"
#include "LibBase/JsonList.h"
#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string_view>

namespace sorrelbay {

using nlohmann::json;

static constexpr char Escape = '%';
static constexpr std::string_view HexDigits = "0123456789ABCDEF";
static constexpr int HexBase = 16;

namespace {

std::int64_t toMicroseconds(Instant at) {
  return at.time_since_epoch().count();
}

Instant instantAt(const json &from, const char *key) {
  return Instant(Duration(from.at(key).get<std::int64_t>()));
}

/// The characters of a part's id that are stored as they are.
bool isPlain(char c) {
  const bool isLetter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  const bool isDigit = c >= '0' && c <= '9';
  return isLetter || isDigit || c == '-' || c == '_' || c == '.' || c == ':';
}

int hexValue(char c) {
  const std::size_t at = HexDigits.find(c);
  return at == std::string_view::npos ? -1 : static_cast<int>(at);
}

/// The inverse of readablePart. Throws QuarantineObjectMalformed.
std::string partFromText(const std::string &text) {
  std::string out;
  for (std::size_t n = 0; n < text.size(); ++n) {
    if (text[n] != Escape) {
      out += text[n];
      continue;
    }
    const int high = n + 2 < text.size() ? hexValue(text[n + 1]) : -1;
    const int low = n + 2 < text.size() ? hexValue(text[n + 2]) : -1;
    if (high < 0 || low < 0)
      throw QuarantineObjectMalformed("a part's id is malformed: " + text);
    out += static_cast<char>(high * HexBase + low);
    n += 2;
  }
  return out;
}

json partsToJson(const std::vector<std::string> &parts) {
  json out = json::array();
  for (const std::string &it : parts)
    out.push_back(readablePart(it));
  return out;
}

json crashToJson(const UpstreamCrash &crash) {
  json suspects = json::array();
  for (const auto &[part, send] : crash.Suspects)
    suspects.push_back({{"part", readablePart(part)},
                        {"sent_us", toMicroseconds(send.SentAt)},
                        {"call_hash", send.CallHash}});
  return {{"upstream", crash.Upstream.text()},
          {"started_ms", crash.StartedMs},
          {"service", crash.Service.text()},
          {"at_us", toMicroseconds(crash.At)},
          {"suspects", std::move(suspects)}};
}

UpstreamCrash crashFromJson(const json &from) {
  UpstreamCrash out;
  out.Upstream = UpstreamId(from.at("upstream").get<std::string>());
  out.StartedMs = from.at("started_ms").get<std::int64_t>();
  out.Service = ServiceId(from.at("service").get<std::string>());
  out.At = instantAt(from, "at_us");
  for (const json &it : from.at("suspects"))
    out.Suspects[partFromText(it.at("part").get<std::string>())] = {
        instantAt(it, "sent_us"), it.at("call_hash").get<std::uint64_t>()};
  return out;
}

json quarantineToJson(const QuarantineKey &key, const QuarantineMark &mark) {
  return {{"service", key.Service.text()},
          {"parts", partsToJson(key.Parts)},
          {"declared_us", toMicroseconds(mark.DeclaredAt)},
          {"released_us", toMicroseconds(mark.ReleasedAt)},
          {"crashes", mark.Crashes}};
}

void quarantineFromJson(QuarantineMarks &marks, const json &from) {
  QuarantineKey key{ServiceId(from.at("service").get<std::string>()), {}};
  for (const json &it : from.at("parts"))
    key.Parts.push_back(partFromText(it.get<std::string>()));
  if (key.Parts.empty())
    throw QuarantineObjectMalformed("a quarantine names no part");
  std::sort(key.Parts.begin(), key.Parts.end());
  marks[key] = {instantAt(from, "declared_us"), instantAt(from, "released_us"),
                from.at("crashes").get<int>()};
}

/// Without `refused`, a malformed entry is thrown; otherwise it is left out.
CrashKnowledge parseKnowledge(const std::string &body,
                              std::vector<std::string> *refused) {
  CrashKnowledge out;
  try {
    const json object = parseJson(body);
    forEachElement(object.at("quarantines"), refused, [&](const json &it) {
      quarantineFromJson(out.Quarantines, it);
    });
    forEachElement(object.at("crashes"), refused, [&](const json &it) {
      out.Crashes.push_back(crashFromJson(it));
    });
  } catch (const json::exception &error) {
    throw QuarantineObjectMalformed(
        std::string("the stored quarantines can't be read: ") + error.what());
  }
  return out;
}

} // namespace

std::string readablePart(const std::string &part) {
  std::string out;
  for (const char c : part) {
    if (isPlain(c)) {
      out += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    out += {Escape, HexDigits[byte / HexBase], HexDigits[byte % HexBase]};
  }
  return out;
}

std::string renderQuarantineObject(const CrashKnowledge &knowledge) {
  json quarantines = json::array();
  for (const auto &[key, mark] : knowledge.Quarantines)
    quarantines.push_back(quarantineToJson(key, mark));
  json crashes = json::array();
  for (const UpstreamCrash &it : knowledge.Crashes)
    crashes.push_back(crashToJson(it));
  return json{{"quarantines", std::move(quarantines)},
              {"crashes", std::move(crashes)}}
      .dump();
}

CrashKnowledge parseQuarantineObject(const std::string &body) {
  return parseKnowledge(body, nullptr);
}

CrashKnowledge readQuarantineObject(const std::string &body,
                                    std::vector<std::string> &refused) {
  return parseKnowledge(body, &refused);
}

int releaseQuarantines(QuarantineMarks &marks, const std::string &part,
                       Instant now) {
  int n = 0;
  for (auto &[key, mark] : marks) {
    const bool namesPart = std::any_of(
        key.Parts.begin(), key.Parts.end(), [&part](const std::string &it) {
          return it == part || readablePart(it) == part;
        });
    if (!namesPart || !mark.isInForce())
      continue;
    // The operator's clock may be behind the fleet's.
    mark.ReleasedAt = std::max(now, mark.DeclaredAt);
    ++n;
  }
  return n;
}

std::string renderQuarantineTable(const QuarantineMarks &marks, Instant now) {
  std::ostringstream out;
  for (const bool isInForce : {true, false})
    for (const auto &[key, mark] : marks) {
      if (mark.isInForce() != isInForce)
        continue;
      std::string parts;
      for (const std::string &it : key.Parts)
        parts += (parts.empty() ? "" : "+") + readablePart(it);
      const Instant since = isInForce ? mark.DeclaredAt : mark.ReleasedAt;
      out << key.Service.text() << ' ' << parts << ' '
          << (isInForce ? "quarantined" : "released") << ' '
          << std::max<std::int64_t>(0, toMilliseconds(now - since) / 1000)
          << " s ago, " << mark.Crashes << " crashes\n";
    }
  return out.str();
}

} // namespace sorrelbay
