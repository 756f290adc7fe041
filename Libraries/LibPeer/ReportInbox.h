#pragma once

#include "LibPeer/ReportOutbox.h"
#include "LibPeer/ReportStream.h"
#include <map>
#include <optional>

namespace sorrelbay {

/// The streams of reports that arrive on one connection. Not thread-safe.
class ReportInbox {
public:
  explicit ReportInbox(HostId self) : Self(std::move(self)) {}

  /// What a message led to.
  struct Arrival {
    /// The report that it completes; null if there is none. Valid until the
    /// next message.
    const FleetReport *Report = nullptr;
    /// The stream whose whole state the sender has to be asked for.
    std::optional<ReportStream> Request;
  };

  /// Processes an update. Throws PeerMessageRefused if it is malformed.
  Arrival receive(ColumnReader &message);

private:
  HostId Self;
  std::map<ReportStream, ReportStreamReader> Streams;
};

} // namespace sorrelbay
