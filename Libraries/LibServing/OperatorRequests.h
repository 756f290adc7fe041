#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include <map>
#include <optional>
#include <set>
#include <string>

namespace sorrelbay {

/// A request of an operator to send nothing new to an upstream or a host.
struct OperatorHold {
  /// When it ends, by fleet time; empty if it lasts until it is released.
  std::optional<Instant> Until;
  /// Who made it; for people only.
  std::string By;

  bool isInForce(Instant now) const { return !Until || now < *Until; }
  friend bool operator==(const OperatorHold &a, const OperatorHold &b) {
    return a.Until == b.Until && a.By == b.By;
  }
};

/// The weight of a team for which operators have set none.
constexpr int DefaultTeamWeight = 1;

/// What operators have requested. All times are fleet time, so that a request
/// ends on all hosts at once, whatever their clocks show.
struct OperatorRequests {
  std::map<UpstreamId, OperatorHold> Upstreams;
  std::map<HostId, OperatorHold> Hosts;
  std::map<TeamId, int> TeamWeights;

  bool isUpstreamHeld(const UpstreamId &id, Instant now) const;
  bool isHostHeld(const HostId &host, Instant now) const;
  /// The team's share of contended capacity relative to other teams.
  int teamWeight(const TeamId &team) const;

  /// The upstreams and hosts that are held at that time.
  std::set<UpstreamId> heldUpstreams(Instant now) const;
  std::set<HostId> heldHosts(Instant now) const;

  friend bool operator==(const OperatorRequests &a, const OperatorRequests &b) {
    return a.Upstreams == b.Upstreams && a.Hosts == b.Hosts &&
           a.TeamWeights == b.TeamWeights;
  }
};

} // namespace sorrelbay
