#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include "LibLoad/RunningEstimate.h"
#include <cstdint>
#include <map>
#include <utility>

namespace sorrelbay {

/// How long calls take at a service's upstreams, as measured by this host: the
/// time to the first byte of a prompt relative to what placement expects, the
/// time of each output token, and the response time of calls without a prompt.
/// Not thread-safe.
class CallTimes {
public:
  /// A prompt's first token came `took` after it was sent. Engines start urgent
  /// calls first, so that the wait differs by priority.
  void noteFirstToken(const ServiceId &service, int priority, Duration expected,
                      Duration took);
  /// A response of up to `tokens` output tokens ended `took` after its first.
  void noteOutput(const ServiceId &service, std::int64_t tokens, Duration took);
  /// A call without a prompt had its first byte `took` after it was sent.
  void noteResponse(const ServiceId &service, Duration took);

  /// The time to a first token that placement expects after `expected`, by what
  /// such expectations were worth lately.
  Duration firstToken(const ServiceId &service, int priority,
                      Duration expected) const;
  /// The usual time of that many output tokens; zero until it is known.
  Duration output(const ServiceId &service, std::int64_t tokens) const;
  /// The time that this many output tokens take at least: as long as those of
  /// the fastest engine lately; zero until it is known.
  Duration shortestOutput(const ServiceId &service, std::int64_t tokens) const;
  /// The usual time of a response to a call without a prompt; zero until it is
  /// known.
  Duration response(const ServiceId &service) const;
  /// How long after its send a first token is no longer to be expected; zero
  /// until it is known.
  Duration firstTokenTimeout(const ServiceId &service, int priority,
                             Duration expected) const;
  /// The same for the response to a call without a prompt.
  Duration responseTimeout(const ServiceId &service) const;

private:
  /// The mean output: short ones vary much in their time per token, and weigh
  /// little here.
  struct OutputEstimate {
    RunningEstimate Tokens;
    /// In seconds.
    RunningEstimate Took;
    /// The least time per token lately, in seconds.
    double FastestPace = 0;
  };

  const OutputEstimate *outputOf(const ServiceId &service) const;
  const RunningEstimate *ratioOf(const ServiceId &service, int priority) const;

  /// Measured by expected time to the first token.
  std::map<std::pair<ServiceId, int>, RunningEstimate> FirstTokenRatios;
  std::map<ServiceId, OutputEstimate> Outputs;
  /// In seconds.
  std::map<ServiceId, RunningEstimate> Responses;
};

} // namespace sorrelbay
