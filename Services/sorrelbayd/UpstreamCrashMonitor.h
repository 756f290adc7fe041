#pragma once

#include "LibBase/LogRateLimiter.h"
#include "LibHttp/AsyncHttpClient.h"
#include "LibServing/FleetClock.h"
#include "LibServing/PromptQuarantine.h"
#include "LibServing/ReplicaRecord.h"
#include "LibServing/ServingCall.h"
#include "LibServing/UpstreamCrash.h"
#include "LibServing/UpstreamReachability.h"
#include "Metrics.h"
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace sorrelbay {

/// How a send ended, as far as it shows whether its upstream still runs.
enum class WatchedEnd {
  /// The answer was complete.
  Answered,
  /// The connection was closed or reset before that.
  BrokenOff,
  /// It was given up, by this host or its caller, while the upstream was
  /// silent.
  GivenUp,
  /// It shows nothing.
  Other,
};

struct UpstreamCrashHooks {
  /// A process of an upstream has crashed.
  std::function<void(const UpstreamCrash &)> OnCrash =
      [](const UpstreamCrash &) {};
  /// The call with that fingerprint was answered whole.
  std::function<void(const ServiceId &, const std::string &)> OnAnswered =
      [](const ServiceId &, const std::string &) {};
  /// A call got past the begin of its answer.
  std::function<void(const ServiceId &, const std::vector<PromptPart> &)>
      OnSurvived = [](const ServiceId &, const std::vector<PromptPart> &) {};
};

/// Finds out which upstreams crash, and what may have been the cause: each call
/// that had not been answered whole, and the shared parts of the prompts of
/// those whose answers had not got past their begin. An upstream has crashed if
/// calls sent to it break off or are silent and no connection to it can be
/// opened afterwards. Used on the event loop's thread only.
class UpstreamCrashMonitor {
public:
  /// Identifies a watched send; 0 for none.
  using SendId = std::uint64_t;

  UpstreamCrashMonitor(boost::asio::io_context &loop, AsyncHttpClient &client,
                       const FleetClock &time,
                       const UpstreamReachability &paths, Metrics &counts)
      : Loop(loop), Client(client), Time(time), Paths(paths), Counts(counts) {}

  void setHooks(UpstreamCrashHooks hooks) { Hooks = std::move(hooks); }
  /// The call is sent to the upstream now. `withdraw` is called if the call is
  /// to be withdrawn, and ends the send.
  SendId begin(const ReplicaRecord &upstream, const ServingCall &call,
               std::function<void()> withdraw);
  /// A connection to the upstream was opened.
  void noteConnected(const UpstreamId &upstream);
  /// Bytes of the answer arrived, which has `events` complete events by now.
  void noteReceived(SendId id, std::size_t events);
  void end(SendId id, WatchedEnd result);
  /// Looks for silent upstreams. To be called several times a second.
  void tick();
  /// Withdraws the sends that would crash their upstreams: those of quarantined
  /// calls, and those whose prompts are quarantined unless their answers have
  /// got past their begin.
  void withdraw(const PromptQuarantine &quarantine);

private:
  struct Send {
    UpstreamId Upstream;
    std::uint64_t CallHash = 0;
    std::vector<PromptPart> Prompt;
    std::string Fingerprint;
    Instant SentAt{};
    std::size_t Events = 0;
    bool IsPastBegin = false;
    std::function<void()> Withdraw;
  };
  /// A send that ended, or is silent, until it is known whether its upstream
  /// runs.
  struct LostSend {
    std::uint64_t CallHash = 0;
    std::string Fingerprint;
    std::vector<PromptPart> Prompt;
    Instant SentAt{};
    std::size_t Events = 0;
    bool IsPastBegin = false;
  };
  /// An upstream and, since the last check, what has been lost there.
  struct WatchedUpstream {
    ReplicaRecord Record;
    /// When the upstream last sent anything, or accepted a connection.
    Instant AliveAt{};
    Instant CheckedAt{};
    bool IsChecking = false;
    int OpenSends = 0;
    std::vector<LostSend> Lost;
    /// A connection to it was closed or reset under a call.
    bool HasBrokenOff = false;
  };

  /// A crash that is not reported yet.
  struct HeldCrash {
    UpstreamCrash Crash;
    VersionId OfVersion;
    bool IsSilent = false;
    /// The calls that ended with it, and how many of them had not got past the
    /// begin of their answers.
    std::vector<LostSend> Lost;
    std::size_t NotBegun = 0;
    Instant AliveAt{};
    Instant HeldSince{};
  };

  void check(WatchedUpstream &upstream, Instant now);
  void onChecked(const UpstreamId &id, ConnectResult result);
  void hold(const UpstreamId &id, WatchedUpstream &upstream);
  void reportHeld();
  UpstreamCrash crashOf(const WatchedUpstream &upstream) const;
  void log(const HeldCrash &held, Instant now);
  static void noteLost(WatchedUpstream &upstream, const Send &send);
  static void addSuspects(UpstreamCrash &crash, const LostSend &lost,
                          Instant sentAt);
  void addSilentSends(const UpstreamId &id, WatchedUpstream &upstream);
  static bool isOpenOrRecent(const WatchedUpstream &upstream, Instant now);

  boost::asio::io_context &Loop;
  AsyncHttpClient &Client;
  const FleetClock &Time;
  const UpstreamReachability &Paths;
  Metrics &Counts;
  UpstreamCrashHooks Hooks;
  std::unordered_map<SendId, Send> Sends;
  std::map<UpstreamId, WatchedUpstream> Upstreams;
  std::vector<HeldCrash> Held;
  SendId LastId = 0;
  /// Log lines a second.
  LogRateLimiter LogBudget{20};
};

} // namespace sorrelbay
