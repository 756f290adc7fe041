#pragma once

#include "LibPeer/MessageColumns.h"
#include "LibServing/FleetReport.h"
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace sorrelbay {

/// The format number of the messages between entry hosts. Must be changed
/// whenever the format changes incompatibly, so that hosts of different
/// versions do not misread each other.
constexpr int FleetFormatNumber = 6;

/// The kinds of messages between entry hosts, as numbered on the wire.
enum class FleetMessageKind {
  /// A whole report, as hosts of earlier versions expect it.
  Report,
  RelayedChanges,
  /// What has changed in a report, or its whole state.
  ReportUpdate,
  /// Asks for the whole state of a stream of reports.
  StateRequest,
};

/// The successive reports that a host sends to one group of receivers.
enum class ReportStream {
  /// This host's reports.
  Own,
  /// The same without contents, to hosts that get these within a sum.
  Heartbeat,
  Zone,
  OtherZones,
  /// The same with the evidence of rollouts, to the hosts that decide.
  OtherZonesWithMoves,
  OwnZone,
};
constexpr std::size_t ReportStreamCount = 6;

/// Ends a message whose report is incomplete without the next message.
constexpr std::int64_t MoreFollows = -1;

/// Encodes one stream of reports as the changes from each report to the next.
/// The result of each step is a version, counted from 1. Members and usage that
/// a report leaves out count as unchanged. Not thread-safe.
class ReportStreamWriter {
public:
  explicit ReportStreamWriter(ReportStream stream) : Stream(stream) {}

  /// Adds the next report, which becomes the newest version.
  void add(const FleetReport &report);
  /// The newest version; 0 before the first report.
  std::uint64_t version() const { return Version; }
  /// The messages by which a receiver that has the given version gets the
  /// newest one, without their last integer: the changes since then, or the
  /// whole state if it has none (0) or those changes are no longer kept.
  std::vector<std::shared_ptr<const std::string>>
  messagesSince(std::uint64_t receiverVersion);
  /// The sequence number of the receiver's report that the newest report
  /// includes, which ends the messages for it; 0 if there is none.
  std::int64_t includedOf(const HostId &receiver) const;
  /// The bytes of the newest step; 0 if there is only the whole state.
  std::size_t stepBytes() const {
    return Steps.empty() ? 0 : Steps.back()->size();
  }

private:
  struct Keys {
    std::unordered_map<std::string, std::int64_t> Index;
    std::vector<std::string> Texts;

    std::int64_t indexOf(const std::string &text);
  };

  std::shared_ptr<const std::string> encodeFrom(const FleetReport &before,
                                                std::uint64_t base,
                                                std::size_t knownKeys);
  void writeTables(ColumnWriter &out, const FleetReport &before);
  template <typename Key, typename Value, typename Write>
  void writeTable(ColumnWriter &out, const std::map<Key, Value> &before,
                  const std::map<Key, Value> &now, const Write &write);
  void writeMembers(ColumnWriter &out, const FleetReport &before);
  void writeMember(ColumnWriter &out, const FleetMember &it);
  void writeUsage(ColumnWriter &out, const FleetReport &before);
  bool hasManyUnusedKeys() const;

  ReportStream Stream;
  std::uint64_t Version = 0;
  Keys KnownKeys;
  /// The newest report, with the members and the usage that were last included.
  FleetReport State;
  bool IncludesMembers = false;
  bool IncludesUsage = false;
  /// The newest steps, oldest first; the last one leads to Version.
  std::deque<std::shared_ptr<const std::string>> Steps;
  /// The whole state, once it has been encoded.
  std::shared_ptr<const std::string> Whole;
};

/// What a receiver did with a message of a stream.
enum class UpdateResult {
  Applied,
  /// It is older than what the receiver has.
  Outdated,
  /// It starts from a version that the receiver does not have: the sender has
  /// to send the whole state.
  Gap,
};

/// Rebuilds the reports of one stream from its messages. Not thread-safe.
class ReportStreamReader {
public:
  /// Applies a message whose stream number has been read. Throws
  /// PeerMessageRefused if it is malformed; what the reader had is then lost,
  /// and it needs the whole state.
  UpdateResult apply(ColumnReader &message, const HostId &self);
  /// The report as it was last rebuilt. Members and usage are empty if the last
  /// message did not include them.
  const FleetReport &report() const { return State; }

private:
  void beginState();
  void readKeys(ColumnReader &message);
  void readHeader(ColumnReader &message);
  void readTables(ColumnReader &message);
  template <typename Key, typename Value, typename Read>
  void readTable(ColumnReader &message, std::map<Key, Value> &table,
                 const Read &read);
  void readLimits(ColumnReader &message, LimitStatements &limits);
  FleetMember readMember(ColumnReader &message, const HostId &host);
  void readUsage(ColumnReader &message);
  DemandByService readDemand(ColumnReader &message);
  const std::string &nextKey(ColumnReader &message);

  std::uint64_t Version = 0;
  std::vector<std::string> Keys;
  FleetReport State;
  /// The members and the usage that were last included.
  std::map<HostId, FleetMember> Members;
  std::map<WindowNumber, TeamCounts> Usage;
};

} // namespace sorrelbay
