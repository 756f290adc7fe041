#pragma once

#include "GatewayState.h"
#include "LibBase/LogRateLimiter.h"
#include "LibObjectApi/ResourceStore.h"
#include <map>
#include <string>
#include <utility>

namespace sorrelbay {

/// Puts the requests of operators into force as they are read from the store,
/// and logs and counts what becomes of each. Used only on the event loop's
/// thread.
class OperatorRequestWatch {
public:
  explicit OperatorRequestWatch(GatewayState &state) : State(state) {}

  /// Applies an object of the watched kind; others than that of the requests
  /// are ignored. If it can't be read, the last requests stay in force.
  void apply(const Resource &object);
  /// Ends all requests if that object was removed.
  void remove(const std::string &name);
  /// Ends requests whose time is over. To be called several times a second.
  void tick(Instant now);

private:
  /// "upstream", "host" or "team", and the name.
  using Key = std::pair<std::string, std::string>;

  /// What becomes of a request, and what its log lines say about it.
  struct Effect {
    /// Why it is ignored; empty if it is in force.
    std::string WhyIgnored;
    std::string By;
    /// The time left; zero if the request does not end by itself.
    Duration Left{};
    /// The weight of a team; 0 for other requests.
    int Weight = 0;
  };
  using Effects = std::map<Key, Effect>;

  void holdUpstreams();
  Effects effects(Instant now) const;
  void addUpstreams(Effects &to, Instant fleetTime) const;
  void addHosts(Effects &to, Instant now) const;
  void addTeams(Effects &to) const;
  static Effect effectOf(const OperatorHold &hold, Instant fleetTime);
  void logChanges(const Effects &current, Instant now);
  void count(const Effects &current);

  GatewayState &State;
  /// The requests as they were last logged.
  Effects Logged;
  /// Log lines a second. What exceeds it is logged later, if it still holds.
  LogRateLimiter LogBudget{20};
};

} // namespace sorrelbay
