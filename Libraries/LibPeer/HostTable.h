#pragma once

#include "LibDecision/PeerKnowledge.h"
#include <map>

namespace sorrelbay {

/// When the reports of the entry hosts last grew, as seen from this one, which
/// tells the living from those that peers only remember.
class HostTable {
public:
  /// Notes the reports that were new here.
  void noteNews(const std::map<HostId, HostReport> &news, Instant at);
  /// The host is linked to this one and answers.
  void noteAlive(const HostId &host, Instant at);
  /// Whether callers may be sent there: it was heard of more than once, lately.
  /// A first report proves nothing; a peer may remember it from long ago.
  bool isLiving(const HostId &host, Instant at, Duration livingFor) const;
  /// Whether it is worth a try to connect there.
  bool isWorthConnecting(const HostId &host, Instant at) const;
  /// Drops the hosts that were not heard of for long, here and in the
  /// knowledge.
  void eraseDeadHosts(PeerKnowledge &knowledge, const HostId &self, Instant at);

private:
  struct Heard {
    Instant LastAt{};
    bool HasGrown = false;
  };
  std::map<HostId, Heard> All;
};

} // namespace sorrelbay
