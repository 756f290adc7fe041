#include "LibPeer/ReportStream.h"
#include "LibBase/JsonList.h"
#include "LibPeer/CrashKnowledgeJson.h"
#include "LibPeer/PeerFailures.h"
#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace sorrelbay {

using nlohmann::json;

/// The steps that a writer keeps, for receivers that were sent nothing for a
/// few reports.
static constexpr std::size_t MaxSteps = 16;
/// A writer begins a new table of keys when it holds more than this factor
/// times the keys in use, plus a number that small tables never reach.
static constexpr std::size_t UnusedKeyFactor = 2;
static constexpr std::size_t MinUnusedKeys = 256;
/// The most keys of a stream that a reader accepts.
static constexpr std::size_t MaxKeys = 100000;

namespace {

/// The flags of a message.
constexpr std::int64_t MembersFlag = 1;
constexpr std::int64_t UsageFlag = 2;

/// The flags of a member.
constexpr std::int64_t ReadyFlag = 1;
constexpr std::int64_t LeavingFlag = 2;
constexpr std::int64_t StoreUnreachableFlag = 4;
constexpr std::int64_t DutiesFlag = 8;
constexpr std::int64_t AcceptsUpdatesFlag = 16;

std::int64_t flagsOf(const FleetMember &it) {
  return (it.IsReady ? ReadyFlag : 0) | (it.IsLeaving ? LeavingFlag : 0) |
         (it.IsStoreUnreachable ? StoreUnreachableFlag : 0) |
         (it.HoldsDuties ? DutiesFlag : 0) |
         (it.AcceptsUpdates ? AcceptsUpdatesFlag : 0);
}

/// Units and rates are sent as whole numbers.
std::map<TeamId, std::int64_t> rounded(const std::map<TeamId, double> &from) {
  std::map<TeamId, std::int64_t> out;
  for (const auto &[team, value] : from)
    out.emplace_hint(out.end(), team, std::llround(value));
  return out;
}

std::map<HostId, FleetMember> byHost(const std::vector<FleetMember> &members) {
  std::map<HostId, FleetMember> out;
  for (const FleetMember &it : members)
    out[it.Host] = it;
  return out;
}

std::string encodedCrashes(const CrashKnowledge &crashes) {
  std::string out;
  if (!crashes.empty())
    json::to_cbor(crashKnowledgeToJson(crashes), out);
  return out;
}

CrashKnowledge decodedCrashes(const std::string &bytes) {
  if (bytes.empty())
    return {};
  try {
    return crashKnowledgeFromJson(parseCbor(bytes));
  } catch (const json::exception &error) {
    throw PeerMessageRefused(std::string("crashes can't be decoded: ") +
                             error.what());
  }
}

/// The keys that differ between two tables: those with another value or none
/// before, and those that are gone.
template <typename Key, typename Value> struct TableChanges {
  std::vector<const std::pair<const Key, Value> *> Set;
  std::vector<const Key *> Removed;
};

template <typename Key, typename Value>
TableChanges<Key, Value> changesOf(const std::map<Key, Value> &before,
                                   const std::map<Key, Value> &now) {
  TableChanges<Key, Value> out;
  auto old = before.begin();
  for (const auto &entry : now) {
    for (; old != before.end() && old->first < entry.first; ++old)
      out.Removed.push_back(&old->first);
    const bool isKnown = old != before.end() && old->first == entry.first;
    if (!isKnown || !(old->second == entry.second))
      out.Set.push_back(&entry);
    if (isKnown)
      ++old;
  }
  for (; old != before.end(); ++old)
    out.Removed.push_back(&old->first);
  return out;
}

void writeLimit(ColumnWriter &out, const LimitStatement &it) {
  out.addInteger(it.At.time_since_epoch().count());
  out.addInteger(it.PerSecond ? 1 : 0);
  if (it.PerSecond)
    out.addReal(*it.PerSecond);
}

} // namespace

std::int64_t ReportStreamWriter::Keys::indexOf(const std::string &text) {
  const auto [it, isNew] =
      Index.try_emplace(text, static_cast<std::int64_t>(Texts.size()));
  if (isNew)
    Texts.push_back(text);
  return it->second;
}

bool ReportStreamWriter::hasManyUnusedKeys() const {
  const std::size_t used = State.Members.size() + State.Open.size() +
                           State.Used.size() + State.Pace.size() +
                           State.Levels.size() + State.RateLimits.size() +
                           State.RejectionLimits.size();
  return KnownKeys.Texts.size() > UnusedKeyFactor * used + MinUnusedKeys;
}

void ReportStreamWriter::add(const FleetReport &report) {
  FleetReport before = std::move(State);
  State = report;
  IncludesMembers = !report.Members.empty();
  IncludesUsage = !report.Usage.empty();
  if (!IncludesMembers)
    State.Members = before.Members;
  if (!IncludesUsage)
    State.Usage = before.Usage;
  Whole.reset();
  ++Version;
  if (Version == 1 || hasManyUnusedKeys()) {
    KnownKeys = {};
    Steps.clear();
    return;
  }
  Steps.push_back(encodeFrom(before, Version - 1, KnownKeys.Texts.size()));
  if (Steps.size() > MaxSteps)
    Steps.pop_front();
}

std::vector<std::shared_ptr<const std::string>>
ReportStreamWriter::messagesSince(std::uint64_t receiverVersion) {
  if (receiverVersion >= Version)
    return {};
  const std::uint64_t missing = Version - receiverVersion;
  std::size_t bytes = 0;
  if (receiverVersion != 0 && missing <= Steps.size()) {
    const auto first = Steps.end() - static_cast<std::ptrdiff_t>(missing);
    for (auto it = first; it != Steps.end(); ++it)
      bytes += (*it)->size();
    // A single step is always smaller than encoding the whole state would be
    // worth.
    if (missing == 1 || !Whole || bytes < Whole->size())
      return {first, Steps.end()};
  }
  if (!Whole) {
    FleetReport nothing;
    Whole = encodeFrom(nothing, 0, 0);
  }
  return {Whole};
}

std::int64_t ReportStreamWriter::includedOf(const HostId &receiver) const {
  const auto it = State.Included.find(receiver);
  return it == State.Included.end() ? 0 : static_cast<std::int64_t>(it->second);
}

/// Encodes the step from the report before, or the whole state if `base` is 0.
/// The receiver has the first `knownKeys` keys.
std::shared_ptr<const std::string>
ReportStreamWriter::encodeFrom(const FleetReport &before, std::uint64_t base,
                               std::size_t knownKeys) {
  ColumnWriter tables;
  const bool isWhole = base == 0;
  writeTables(tables, before);
  if (isWhole || IncludesMembers)
    writeMembers(tables, before);
  if (isWhole || IncludesUsage)
    writeUsage(tables, before);
  ColumnWriter out;
  out.addInteger(static_cast<std::int64_t>(Stream));
  out.addInteger(static_cast<std::int64_t>(base));
  out.addInteger(static_cast<std::int64_t>(Version));
  out.addText(State.Incarnation.text());
  out.addCount(KnownKeys.Texts.size() - knownKeys);
  for (std::size_t n = knownKeys; n < KnownKeys.Texts.size(); ++n)
    out.addText(KnownKeys.Texts[n]);
  out.addInteger(static_cast<std::int64_t>(State.Scope));
  out.addInteger(static_cast<std::int64_t>(State.Sequence));
  out.addInteger(State.Uptime.count());
  out.addInteger(State.SentAt);
  out.addInteger(State.FleetTimeMs);
  out.addInteger((isWhole || IncludesMembers ? MembersFlag : 0) |
                 (isWhole || IncludesUsage ? UsageFlag : 0));
  out.addText(State.Reporter.text());
  out.addText(State.Zone.text());
  out.addText(encodedCrashes(State.Crashes));
  out.addText(State.Moves);
  out.append(tables);
  return std::make_shared<const std::string>(out.encode(
      FleetFormatNumber, static_cast<int>(FleetMessageKind::ReportUpdate)));
}

template <typename Key, typename Value, typename Write>
void ReportStreamWriter::writeTable(ColumnWriter &out,
                                    const std::map<Key, Value> &before,
                                    const std::map<Key, Value> &now,
                                    const Write &write) {
  const auto changes = changesOf(before, now);
  out.addCount(changes.Set.size());
  for (const auto *it : changes.Set) {
    out.addInteger(KnownKeys.indexOf(it->first.text()));
    write(it->second);
  }
  out.addCount(changes.Removed.size());
  for (const Key *it : changes.Removed)
    out.addInteger(KnownKeys.indexOf(it->text()));
}

void ReportStreamWriter::writeTables(ColumnWriter &out,
                                     const FleetReport &before) {
  writeTable(out, before.Open, State.Open, [&](const OutstandingWork &it) {
    out.addInteger(it.Calls);
    out.addInteger(it.PromptTokens);
    out.addInteger(it.Tokens);
  });
  const auto writeUnits = [&](std::int64_t it) { out.addInteger(it); };
  writeTable(out, before.Used, State.Used, writeUnits);
  writeTable(out, rounded(before.Pace), rounded(State.Pace), writeUnits);
  writeTable(out, rounded(before.Levels), rounded(State.Levels), writeUnits);
  for (const DemandByService *demand : {&State.Demand, &State.ShortDemand}) {
    out.addCount(demand->size());
    for (const auto &[service, rate] : *demand) {
      out.addInteger(KnownKeys.indexOf(service.text()));
      out.addReal(rate);
    }
  }
  const auto writeLimits = [&](const LimitStatement &it) {
    writeLimit(out, it);
  };
  writeTable(out, before.RateLimits, State.RateLimits, writeLimits);
  writeTable(out, before.RejectionLimits, State.RejectionLimits, writeLimits);
}

void ReportStreamWriter::writeMembers(ColumnWriter &out,
                                      const FleetReport &before) {
  writeTable(out, byHost(before.Members), byHost(State.Members),
             [&](const FleetMember &it) { writeMember(out, it); });
}

void ReportStreamWriter::writeMember(ColumnWriter &out, const FleetMember &it) {
  out.addInteger(KnownKeys.indexOf(it.Zone.text()));
  out.addInteger(flagsOf(it));
  out.addInteger(static_cast<std::int64_t>(it.LeaseRevision));
  out.addInteger(static_cast<std::int64_t>(it.FencingToken));
  out.addReal(it.Capacity);
  out.addText(it.PeerAddress);
  out.addText(it.CallerAddress);
  out.addText(it.RelayAddress);
  out.addCount(it.UnreachableServices.size());
  for (const ServiceId &service : it.UnreachableServices)
    out.addInteger(KnownKeys.indexOf(service.text()));
}

void ReportStreamWriter::writeUsage(ColumnWriter &out,
                                    const FleetReport &before) {
  out.addCount(State.Usage.size());
  for (const auto &[window, counts] : State.Usage) {
    const auto known = before.Usage.find(window);
    out.addInteger(window);
    writeTable(out, known == before.Usage.end() ? TeamCounts() : known->second,
               counts, [&](std::int64_t it) { out.addInteger(it); });
  }
}

void ReportStreamReader::beginState() {
  Keys.clear();
  Members.clear();
  Usage.clear();
  State = {};
}

UpdateResult ReportStreamReader::apply(ColumnReader &message,
                                       const HostId &self) {
  const auto base = static_cast<std::uint64_t>(message.nextInteger());
  const auto version = static_cast<std::uint64_t>(message.nextInteger());
  const IncarnationId incarnation(message.nextText());
  const bool isSameProcess = Version != 0 && State.Incarnation == incarnation;
  if (isSameProcess && version <= Version)
    return UpdateResult::Outdated;
  if (base != 0 && (!isSameProcess || base != Version))
    return UpdateResult::Gap;
  // If the rest is malformed, the next message is a gap.
  Version = 0;
  if (base == 0)
    beginState();
  State.Incarnation = incarnation;
  readKeys(message);
  readHeader(message);
  State.Included.clear();
  if (State.Scope == ReportScope::OwnZone && message.last() > 0)
    State.Included[self] = static_cast<std::uint64_t>(message.last());
  Version = version;
  return UpdateResult::Applied;
}

void ReportStreamReader::readKeys(ColumnReader &message) {
  const std::size_t count = message.nextCount();
  if (Keys.size() + count > MaxKeys)
    throw PeerMessageRefused("peer message has too many keys");
  for (std::size_t n = 0; n < count; ++n)
    Keys.push_back(message.nextText());
}

const std::string &ReportStreamReader::nextKey(ColumnReader &message) {
  const std::int64_t index = message.nextInteger();
  if (index < 0 || static_cast<std::size_t>(index) >= Keys.size())
    throw PeerMessageRefused("peer message has an unknown key");
  return Keys[static_cast<std::size_t>(index)];
}

void ReportStreamReader::readHeader(ColumnReader &message) {
  const std::int64_t scope = message.nextInteger();
  if (scope < 0 || scope > static_cast<int>(ReportScope::OwnZone))
    throw PeerMessageRefused("fleet report has an unknown scope");
  State.Scope = static_cast<ReportScope>(scope);
  State.Sequence = static_cast<std::uint64_t>(message.nextInteger());
  State.Uptime = Duration(message.nextInteger());
  State.SentAt = message.nextInteger();
  State.FleetTimeMs = message.nextInteger();
  const std::int64_t flags = message.nextInteger();
  State.Reporter = HostId(message.nextText());
  State.Zone = ZoneId(message.nextText());
  State.Crashes = decodedCrashes(message.nextText());
  State.Moves = message.nextText();
  readTables(message);
  State.Members.clear();
  State.Usage.clear();
  if ((flags & MembersFlag) != 0) {
    std::map<HostId, FleetMember> &members = Members;
    const std::size_t count = message.nextCount();
    for (std::size_t n = 0; n < count; ++n) {
      const HostId host(nextKey(message));
      members[host] = readMember(message, host);
    }
    const std::size_t removed = message.nextCount();
    for (std::size_t n = 0; n < removed; ++n)
      members.erase(HostId(nextKey(message)));
    for (const auto &[host, it] : members)
      State.Members.push_back(it);
  }
  if ((flags & UsageFlag) != 0)
    readUsage(message);
}

template <typename Key, typename Value, typename Read>
void ReportStreamReader::readTable(ColumnReader &message,
                                   std::map<Key, Value> &table,
                                   const Read &read) {
  const std::size_t count = message.nextCount();
  for (std::size_t n = 0; n < count; ++n) {
    const Key key(nextKey(message));
    table[key] = read();
  }
  const std::size_t removed = message.nextCount();
  for (std::size_t n = 0; n < removed; ++n)
    table.erase(Key(nextKey(message)));
}

void ReportStreamReader::readTables(ColumnReader &message) {
  readTable(message, State.Open, [&] {
    OutstandingWork work;
    work.Calls = static_cast<int>(message.nextInteger());
    work.PromptTokens = message.nextInteger();
    work.Tokens = message.nextInteger();
    return work;
  });
  const auto readUnits = [&] { return message.nextInteger(); };
  const auto readRounded = [&] {
    return static_cast<double>(message.nextInteger());
  };
  readTable(message, State.Used, readUnits);
  readTable(message, State.Pace, readRounded);
  readTable(message, State.Levels, readRounded);
  State.Demand = readDemand(message);
  State.ShortDemand = readDemand(message);
  readLimits(message, State.RateLimits);
  readLimits(message, State.RejectionLimits);
}

void ReportStreamReader::readLimits(ColumnReader &message,
                                    LimitStatements &limits) {
  readTable(message, limits, [&] {
    LimitStatement statement;
    statement.At = Instant(Duration(message.nextInteger()));
    if (message.nextInteger() != 0)
      statement.PerSecond = message.nextReal();
    return statement;
  });
}

DemandByService ReportStreamReader::readDemand(ColumnReader &message) {
  DemandByService out;
  const std::size_t count = message.nextCount();
  for (std::size_t n = 0; n < count; ++n) {
    const ServiceId service(nextKey(message));
    out[service] = message.nextReal();
  }
  return out;
}

FleetMember ReportStreamReader::readMember(ColumnReader &message,
                                           const HostId &host) {
  FleetMember out;
  out.Host = host;
  out.Zone = ZoneId(nextKey(message));
  const std::int64_t flags = message.nextInteger();
  out.IsReady = (flags & ReadyFlag) != 0;
  out.IsLeaving = (flags & LeavingFlag) != 0;
  out.IsStoreUnreachable = (flags & StoreUnreachableFlag) != 0;
  out.HoldsDuties = (flags & DutiesFlag) != 0;
  out.AcceptsUpdates = (flags & AcceptsUpdatesFlag) != 0;
  out.LeaseRevision = static_cast<std::uint64_t>(message.nextInteger());
  out.FencingToken = static_cast<std::uint64_t>(message.nextInteger());
  out.Capacity = message.nextReal();
  out.PeerAddress = message.nextText();
  out.CallerAddress = message.nextText();
  out.RelayAddress = message.nextText();
  const std::size_t count = message.nextCount();
  for (std::size_t n = 0; n < count; ++n)
    out.UnreachableServices.insert(ServiceId(nextKey(message)));
  return out;
}

void ReportStreamReader::readUsage(ColumnReader &message) {
  const std::size_t count = message.nextCount();
  std::map<WindowNumber, TeamCounts> windows;
  for (std::size_t n = 0; n < count; ++n) {
    const WindowNumber window = message.nextInteger();
    TeamCounts &counts = windows[window];
    const auto known = Usage.find(window);
    if (known != Usage.end())
      counts = known->second;
    readTable(message, counts, [&] { return message.nextInteger(); });
  }
  Usage = windows;
  State.Usage = std::move(windows);
}

} // namespace sorrelbay
