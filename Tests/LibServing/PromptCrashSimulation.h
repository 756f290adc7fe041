#pragma once

#include "LibServing/PromptQuarantine.h"
#include "SimulatedHost.h"
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace sorrelbay {

/// Where the parts, or the calls, under which engines crash come from.
enum class FatalTraffic {
  /// None: engines crash for other reasons only.
  None,
  /// One call, which its caller sends again and again to other hosts.
  OneCall,
  /// Two such calls of two callers, at once.
  TwoCalls,
  /// One part, first in the prompt or in its middle.
  OnePart,
  /// Two parts, each in calls of its own.
  TwoParts,
  /// One part, in calls that also have a victim's part, which the victim's own
  /// calls use rarely.
  WithVictimsPart,
};

/// What else crashes engines.
enum class OtherCrashes {
  None,
  /// All engines of a zone, at the same time, twice.
  ZoneAtOnce,
  /// One engine after the other, while most calls have the same part.
  Series,
};

/// What happens to hosts, beside late and lost reports.
enum class HostTrouble {
  None,
  /// Single hosts are killed and start again.
  Kills,
  /// All hosts are killed at once, some time after the first crashes.
  AllKilled,
  /// The store is away from the first crash on, for a while.
  StoreAway,
  /// A third of the hosts are cut off from the others and the store for a while
  /// and go on serving.
  Cuts,
  /// Single hosts stand still for some seconds, and wake with what they knew.
  Freezes,
};

/// When engines crash under a fatal call, and what its caller does then.
struct FatalCallManner {
  /// After several events instead of before the first.
  bool IsAfterEvents = false;
  /// The caller comes back after a pause instead of at once.
  bool IsPausing = false;
};

/// The parameters of one random run. Values are drawn from the seed.
struct PromptCrashPlan {
  std::uint64_t Seed = 0;
  int Hosts = 6;
  int Zones = 4;
  FatalTraffic Fatal = FatalTraffic::OnePart;
  OtherCrashes Other = OtherCrashes::None;
  HostTrouble Trouble = HostTrouble::None;
  FatalCallManner Manner;
  /// Callers send calls that ended with an engine again, for 10 s.
  bool CallersReturn = false;
  /// Callers whose calls are sound, last for many seconds, and are sent again
  /// whenever an engine crashes under them.
  int LongCalls = 0;
  /// A crashed engine is silent; otherwise its connections are reset.
  bool IsSilent = false;
  /// Calls are sent to another engine if theirs crashes.
  bool RetriesCalls = false;
  /// Hosts take no notice of prompts, to verify that the checks detect that.
  bool IsUnguarded = false;
};

/// Hosts that send calls to engines which crash when they begin to answer a
/// call with a certain part in its prompt, or under certain calls. Callers send
/// a call that ended with its engine again, to another host. Simulated time;
/// what hosts decide and report is the daemon's code, what they see of crashes
/// is modelled. Checked are the platform's rule, that from 3 s after the fifth
/// crash under a part at most three calls with it are sent to engines by hosts
/// in touch, and that from 3 s after three crashes under a call could be known
/// it is sent to none; that no sound part is quarantined at the end; and that
/// of the sound calls at least 95 in 100 are not rejected for their prompts,
/// from 6 s after the last of the first five crashes on, nor of those that lost
/// an engine.
class PromptCrashSimulation {
public:
  explicit PromptCrashSimulation(const PromptCrashPlan &plan);

  /// Returns the first violation; empty if there is none.
  std::string simulate();
  /// The calls with fatal parts that were sent, and the crashes.
  int fatalSends() const { return FatalSends; }
  int crashes() const { return CrashCount; }
  int soundCalls() const { return SoundCalls; }
  int rejectedSoundCalls() const { return RejectedSoundCalls; }
  /// The most engines that ended under one fatal call.
  std::size_t crashesOfCall() const;
  /// The long calls of callers, and of these those that were rejected.
  int longCalls() const { return static_cast<int>(LongCallIds.size()); }
  int rejectedLongCalls() const;

private:
  struct Host : SimulatedHost {
    Instant CutUntil{};
    /// From when on the host counts as in touch.
    Instant InTouchFrom{};
    bool HasReadStore = false;
    Instant PassedOnAt{};
  };
  struct Engine {
    ReplicaRecord Record;
    Instant UpAt{};
    bool IsUp = true;
  };
  struct Call {
    std::uint64_t Id = 0;
    std::vector<PromptPart> Prompt;
    bool IsSound = true;
    /// Its caller sends it again whenever its engine crashes.
    bool IsPersistent = false;
    std::size_t Host = 0;
    IncarnationId Process;
    std::size_t Engine = 0;
    Instant FirstSentAt{};
    Instant SentAt{};
    Instant BeginsAt{};
    Instant EndsAt{};
    bool IsPastBegin = false;
    int Sends = 0;
    bool IsDone = false;
  };
  /// The crash of an engine under a fatal call, and the process that saw it.
  struct CallCrash {
    Instant At{};
    std::size_t Host = 0;
    IncarnationId Process;
    /// When that process was killed; zero if it runs.
    Instant LostAt{};
  };
  /// Evidence that a host will have at a time.
  struct Sighting {
    Instant At{};
    std::size_t Host = 0;
    IncarnationId Process;
    UpstreamCrash Crash;
    /// Calls that the host sends again then.
    std::vector<Call> Retries;
  };

  void startProcess(std::size_t host);
  void trouble();
  std::size_t enginesUp() const;
  void kill(std::size_t host, Duration downTime);
  void writeStore();
  void sendReports(std::size_t from);
  void deliver();
  void receive(const SimulatedMessage &message);
  bool isCut(std::size_t host) const { return Now < Hosts[host].CutUntil; }
  void beginCalls();
  void beginCall(Call call);
  void beginFatalCalls();
  void beginLongCalls();
  void comeBack();
  void returnLater(const Call &call, Instant crashedAt);
  bool isRejected(const Call &call) const;
  Call drawCall();
  void place(Call &call);
  void advanceCalls();
  void crash(std::size_t engine);
  void injectCrashes();
  void restartEngines();
  void see();
  void checkRule(const Call &call);
  void checkCallRule(const Call &call);
  std::optional<Instant> knownFrom(const CallCrash &crash) const;
  void checkComingBack();
  void checkParts();
  void violate(const std::string &what);
  double draw();
  std::size_t drawIndex(std::size_t size);

  PromptCrashPlan Plan;
  std::mt19937_64 Random;
  std::vector<Host> Hosts;
  std::vector<Engine> Engines;
  std::vector<FleetMember> Registered;
  std::vector<Call> Calls;
  /// Calls that their callers send again at a time.
  std::vector<std::pair<Instant, Call>> Returning;
  std::vector<Sighting> Sightings;
  std::vector<SimulatedMessage> InFlightMessages;
  CrashKnowledge Stored;
  std::set<std::string> Fatal;
  std::map<std::string, std::vector<Instant>> CrashedUnder;
  std::map<std::string, int> LateSends;
  std::map<std::uint64_t, std::vector<CallCrash>> CrashedUnderCall;
  /// Sound calls that lost an engine, and those that were rejected then.
  std::set<std::uint64_t> ComingBack;
  std::set<std::uint64_t> RejectedComingBack;
  std::set<std::uint64_t> LongCallIds;
  Instant Start{seconds(5000)};
  Instant Now;
  Instant End{};
  Instant StoreAwayUntil{};
  Instant FirstCrashAt{};
  std::vector<Instant> PlannedTroubles;
  std::uint64_t LastCallId = 0;
  double FatalRate = 0;
  double QueueTime = 0;
  int FatalSends = 0;
  int CrashCount = 0;
  int SoundCalls = 0;
  int RejectedSoundCalls = 0;
  std::string Violation;
};

} // namespace sorrelbay
