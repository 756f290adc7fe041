#pragma once

#include "LibDecision/PeerKnowledge.h"
#include <map>

namespace sorrelbay {

/// When this host last received a newer report from or about each entry host.
/// Distinguishes recently seen hosts from those that only remain in the
/// knowledge of peers.
class HostTable {
public:
  /// Records reports that are newer than the known ones.
  void recordNewReports(const std::map<HostId, HostReport> &newReports,
                        Instant at);
  /// Records a message that was received directly from the host.
  void recordContact(const HostId &host, Instant at);
  /// Returns whether callers may be sent to the host: a message from it or a
  /// newer report of it has been received within the given time. The first
  /// report of a host does not count, since a peer may have kept it for a long
  /// time.
  bool wasSeenRecently(const HostId &host, Instant at,
                       Duration seenWithin) const;
  /// Returns whether the host has been seen recently enough for an attempt to
  /// connect to it.
  bool isWorthConnecting(const HostId &host, Instant at) const;
  /// Removes hosts that have been silent for a long time, both here and in the
  /// knowledge. Keeps `self`.
  void eraseSilentHosts(PeerKnowledge &knowledge, const HostId &self,
                        Instant at);

private:
  struct HostActivity {
    Instant LastAt{};
    /// Whether a message from the host or a second report of it was received.
    bool HasNewerReport = false;
  };
  std::map<HostId, HostActivity> HostActivities;
};

} // namespace sorrelbay
