#pragma once

#include "LibPeer/ReportStream.h"
#include <array>
#include <map>
#include <string>
#include <vector>

namespace sorrelbay {

/// The streams of reports that a host sends, and which version of each its
/// peers have. Connections deliver in order, so a peer has all that was sent to
/// it since its connection opened, unless it asks for the whole state. Not
/// thread-safe.
class ReportOutbox {
public:
  ReportOutbox();

  /// Adds the stream's next report.
  void add(ReportStream stream, const FleetReport &report);
  /// The messages by which the peer gets the stream's newest report. They count
  /// as sent.
  std::vector<std::string> messagesFor(const HostId &peer, ReportStream stream);
  /// The connection to the peer has opened or closed: it has no version.
  void forget(const HostId &peer) { SentVersions.erase(peer); }
  /// The peer has lost the stream and asks for its whole state.
  void noteRequest(const HostId &peer, ReportStream stream);
  /// The bytes that the stream's newest report takes at a receiver that has the
  /// one before.
  std::size_t stepBytes(ReportStream stream) const;

private:
  std::vector<ReportStreamWriter> Streams;
  std::map<HostId, std::array<std::uint64_t, ReportStreamCount>> SentVersions;
};

/// The message that asks a sender for the whole state of a stream.
std::string encodeStateRequest(ReportStream stream);
/// The stream's number in a message whose format and kind have been read.
/// Throws PeerMessageRefused if there is no such stream.
ReportStream streamOf(ColumnReader &message);

} // namespace sorrelbay
