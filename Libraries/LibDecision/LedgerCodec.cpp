#include "LibDecision/LedgerCodec.h"
#include "LibBase/JsonList.h"
#include <nlohmann/json.hpp>

namespace sorrelbay {

using Json = nlohmann::json;

// The first element of a body. A bucket in any other format is not decoded, so
// that an older daemon never overwrites a newer format.
static constexpr int FormatVersion = 1;

static std::int64_t toTicks(Instant at) {
  return at.time_since_epoch().count();
}

static Json toArray(const LedgerEntry &entry) {
  return Json::array({entry.Call.Team.text(), entry.Call.Key.text(),
                      static_cast<int>(entry.State), entry.Attempt,
                      entry.ClosedThrough, entry.Owner.text(), entry.Nonce,
                      entry.Status,
                      Json::binary({entry.Answer.begin(), entry.Answer.end()}),
                      entry.HasAnswer, toTicks(entry.Time)});
}

static EntryState toState(int n) {
  if (n < 0 || n > static_cast<int>(EntryState::Closed))
    throw LedgerBucketUnreadable(
        "ledger bucket has an entry with an unknown state");
  return static_cast<EntryState>(n);
}

static LedgerEntry toEntry(const Json &fields) {
  LedgerEntry entry;
  entry.Call.Team = TeamId(fields.at(0).get<std::string>());
  entry.Call.Key = IdempotencyKey(fields.at(1).get<std::string>());
  entry.State = toState(fields.at(2).get<int>());
  entry.Attempt = fields.at(3).get<CallAttempt>();
  entry.ClosedThrough = fields.at(4).get<CallAttempt>();
  entry.Owner = IncarnationId(fields.at(5).get<std::string>());
  entry.Nonce = fields.at(6).get<std::uint64_t>();
  entry.Status = fields.at(7).get<int>();
  const Json::binary_t &answer = fields.at(8).get_binary();
  entry.Answer.assign(answer.begin(), answer.end());
  entry.HasAnswer = fields.at(9).get<bool>();
  entry.Time = Instant(Duration(fields.at(10).get<std::int64_t>()));
  return entry;
}

std::string encodeBucket(const LedgerBucket &bucket) {
  Json entries = Json::array();
  for (const auto &[call, entry] : bucket.entries())
    entries.push_back(toArray(entry));
  std::string body;
  Json::to_cbor(Json::array({FormatVersion, std::move(entries)}), body);
  return body;
}

LedgerBucket decodeBucket(const std::string &body) {
  try {
    const Json document = parseCbor(body);
    if (document.at(0).get<int>() != FormatVersion)
      throw LedgerBucketUnreadable(
          "ledger bucket has an unknown format version");
    LedgerBucket bucket;
    for (const Json &fields : document.at(1))
      bucket.insert(toEntry(fields));
    return bucket;
  } catch (const Json::exception &e) {
    throw LedgerBucketUnreadable(e.what());
  }
}

} // namespace sorrelbay
