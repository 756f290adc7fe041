#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sorrelbay {

/// The deployment's bounds on delays, counts and shares; section [bounds] of
/// the settings.
struct GatewayBounds {
  /// Longest time from an upstream announcing that it leaves until no new call
  /// may reach it.
  Duration Drain{};
  /// Longest time from the request to stop until the process is ended;
  /// responses that are still open then are cut off.
  Duration Grace{};
  /// Longest time from a plan's acceptance until all hosts serve by it.
  Duration PlanInForce{};
  /// Longest time from the order to evacuate a zone until no new call may reach
  /// its upstreams; zero if the deployment does not evacuate zones.
  Duration Evacuation{};
  /// Longest time from an API key's removal until no call with it may run.
  Duration KeyRemoval{};
  /// Whether calls with keys are refused when the plan was last confirmed
  /// longer ago than KeyRemoval.
  bool KeysFailClosed = true;
  /// Retry budget of a service over all hosts together: in RetryWindow, at most
  /// RetryShare times its calls plus RetrySlack retries. Calls beyond it are
  /// not retried.
  double RetryShare = 0;
  Duration RetryWindow{};
  std::int64_t RetrySlack = 0;
  /// Units that a team may use beyond its allotment, over all hosts together.
  std::int64_t AllotmentSlack = 0;
  /// In any span of this length, a team may use its rate times the span, and
  /// its burst; zero if the span is not known.
  Duration AllotmentWindow{};
  /// Two hosts must not exercise the duties alternately within this time. The
  /// lease lasts longer than that.
  Duration Lease{};
  /// Length of the windows by which usage is reported.
  Duration UsageWindow{};
  /// Longest time from a window's end until its usage is reported.
  Duration UsageDue{};
  // FIXME: Enforce the two trial bounds as hard limits; only the canary judge's
  // steps keep to them now.
  /// Bounds on a version under trial: it may get at most TrialShare of its
  /// service's calls plus TrialSlack calls.
  double TrialShare = 0;
  std::int64_t TrialSlack = 0;
  /// Longest time from a version showing a fault until it gets no more calls.
  Duration TrialEnd{};
  /// Longest time that callers cache an address from a lookup.
  Duration AddressTimeToLive{};
};

/// Settings of a daemon on a platform whose store holds the operators' plan;
/// sorrelbayd(5) describes each key.
struct GatewaySettings {
  HostId Host;
  ZoneId Zone;
  std::string Region;
  /// The region of each known availability zone.
  std::map<ZoneId, std::string> RegionOf;
  /// CPU cores, or the fraction of one, that the daemon may use. The hosts with
  /// the most cores aggregate for the others.
  double Cores = 1;
  /// Listening address for callers, "ip:port" like the other addresses.
  std::string CallerListen;
  /// Listening address for the platform's readiness probes.
  std::string ReadinessListen;
  /// Listening address for callers' address lookups.
  std::string AddressListen;
  /// Listening address for other daemons.
  std::string PeerListen;
  /// Listening address for calls that other daemons relay to this one; empty to
  /// accept none, and to relay none.
  std::string RelayListen;
  /// Listening address for metrics; empty to serve none.
  std::string MetricsListen;
  std::string StoreAddress;
  std::string CloudAddress;
  /// Calls a second that the cloud accepts for the duties from all hosts
  /// together; it refuses calls beyond that.
  double DutyCallsPerSecond = 1;
  /// Interval at which upstreams renew their entries in the store.
  Duration Heartbeat{};
  /// Most calls that wait for a place at the upstreams of one service without
  /// engines; 0 to send calls there without a limit.
  std::size_t MaxWaitingCalls = 0;
  /// Most memory that the bodies of these calls may take. Key
  /// waiting.max_megabytes.
  std::size_t MaxWaitingBytes = 0;
  GatewayBounds Bounds;
  /// Seconds of a team's rate that are reserved for its more urgent calls in a
  /// large fleet; 0 to admit calls in order of arrival.
  double UrgentReserve = 0.3;
  /// A prompt is short if its prefill takes at most this long; zero reserves no
  /// engines for short prompts. Key placement.short_prompt_ms.
  Duration ShortPromptTime{};
};

/// Whether the settings name the platform's store as the source of the plan.
/// Such settings are parsed by parseGatewaySettings.
bool usesStoreAsBundleSource(const std::string &text);

/// Parses the text of the settings file. Throws TomlRefused, which lists every
/// fault.
GatewaySettings parseGatewaySettings(const std::string &text,
                                     const std::string &file);

} // namespace sorrelbay
