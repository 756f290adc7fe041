#pragma once

#include "LibServing/CrashChance.h"
#include "LibServing/ServingCall.h"
#include "LibServing/UpstreamCrash.h"
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace sorrelbay {

struct PromptQuarantineSettings {
  /// Crashes, each under another call that was sent after the one before, that
  /// no other part explains, after which a part is quarantined.
  int Crashes = 3;
  /// The same for parts with which calls survived before, and for parts that
  /// can't be distinguished although they never came in the same call.
  int CertainCrashes = 5;
  /// A crash counts against parts once other hosts have had this time to report
  /// what it ended there.
  Duration SettleTime = milliseconds(400);
  /// A call is not quarantined as long as crashes for other reasons explain its
  /// own with this probability.
  double MaxChance = 0.01;
  /// Crashes for other reasons are counted from this time before a call was
  /// first sent.
  Duration ChanceTime = seconds(10);
  /// Most that the fleet time of two hosts differs.
  Duration FleetTimeError = milliseconds(100);
  /// Crashes that are further apart than this did not happen together.
  Duration SeparateCrashTime = seconds(1);
  /// Two hosts that see the same process crash within this time see one crash.
  Duration SameCrashTime = seconds(3);
  /// A crash is forgotten after this time.
  Duration Retention = minutes(30);
  /// Crashes and survivals are reported to other hosts for this time.
  Duration ReportTime = seconds(30);
  /// Calls that are suspects of one crash only are reported for this time:
  /// callers send a call again within their own patience.
  Duration CallReportTime = seconds(10);
  std::size_t MaxCrashes = 128;
  /// Crashes in one report, the newest.
  std::size_t MaxReportedCrashes = 16;
  /// Crashes that are to outlast all processes.
  std::size_t MaxDurableCrashes = 32;
  /// Suspects of one crash.
  std::size_t MaxSuspects = 128;
  /// Parts of which it is known that calls with them survived.
  std::size_t MaxSurvivals = 1024;
  /// Quarantines in force. Released ones are dropped first, then calls.
  std::size_t MaxQuarantines = 128;
};

/// What becomes of a quarantine, for logs and metrics.
enum class QuarantineChange {
  Declared,
  /// A call with the part survived, or the crashes have another cause.
  Cleared,
  /// An operator released it.
  Released,
};

/// Finds the parts of prompts and the calls under which upstreams crash, from
/// the crashes and the answers that all hosts saw, and decides which calls are
/// not to be sent.
///
/// All calls that an upstream runs end with it, so a single crash says little
/// about a part. A part is suspected by the crashes of upstreams to which it
/// was sent, one after the other: calls that were sent before an earlier crash
/// add nothing, because many upstreams may fail together, nor do repeats of one
/// call. A call that gets past the begin of its answer clears the parts of its
/// prompt, which then take the blame only if no part does that never survived.
/// A crash that a quarantined part explains is no evidence against others. Of
/// parts with the same evidence that came in the same calls, a prompt must
/// contain all to be quarantined.
///
/// A call is suspected by itself, too, wherever in its answer the upstream
/// crashed. Its caller sends it again, so its crashes count although they are
/// under one call, and at once; only its whole answer clears it. Where
/// upstreams crash for other reasons, too, it takes more crashes until these
/// are not likely to explain them.
///
/// Times are fleet time. Not thread-safe.
class PromptQuarantine {
public:
  using ChangeHook = std::function<void(QuarantineChange, const QuarantineKey &,
                                        const QuarantineMark &)>;

  explicit PromptQuarantine(PromptQuarantineSettings settings = {},
                            ChangeHook onChange = nullptr);

  /// The quarantine that a prompt falls under; null if there is none. Cheap as
  /// long as there are none.
  const QuarantineKey *matching(const ServiceId &service,
                                const std::vector<PromptPart> &prompt) const;

  /// The same for the call as a whole.
  const QuarantineKey *matchingCall(const ServiceId &service,
                                    const ServingCall &call) const;
  /// Whether the call, of which callFingerprint returned that, is quarantined
  /// by itself.
  bool isCallQuarantined(const ServiceId &service,
                         const std::string &fingerprint) const;
  /// The number of upstreams of the service, among which crashes for other
  /// reasons are spread.
  void setUpstreams(const ServiceId &service, std::size_t count) {
    Upstreams[service] = count;
  }

  /// Records a crash that this host saw.
  void noteCrash(const UpstreamCrash &crash, Instant now);
  /// Records that the call was answered whole.
  void noteAnswered(const ServiceId &service, const std::string &fingerprint,
                    Instant now);
  /// Records that a call got past the begin of its answer, or was answered.
  void noteSurvived(const ServiceId &service,
                    const std::vector<PromptPart> &prompt, Instant now);
  /// Adds what another host or the store knows.
  void merge(const CrashKnowledge &other, Instant now);
  void merge(const QuarantineMarks &marks);
  /// Declares the quarantines that are due and drops what is old. To be called
  /// several times a second.
  void tick(Instant now);

  /// What is to be reported to other hosts.
  CrashKnowledge knowledge(Instant now) const;
  /// What must outlast the processes of all hosts: the quarantines, and the
  /// crashes of parts that are suspects of several.
  CrashKnowledge durableKnowledge() const;
  const QuarantineMarks &quarantines() const { return Marks; }
  /// The number of the service's quarantines in force.
  int inForce(const ServiceId &service) const;
  std::size_t crashes() const { return Crashes.size(); }
  /// Increases with each change of what is known.
  std::uint64_t revision() const { return Revision; }

private:
  struct StoredCrash {
    UpstreamCrash Crash;
    /// When it became known here.
    Instant NotedAt{};
  };
  /// The crashes that a part may have caused, in order of time.
  struct Evidence {
    std::vector<const UpstreamCrash *> Crashes;
    /// Those that count.
    int Count = 0;
    /// Calls with the part have survived before.
    bool HasSurvived = false;
  };
  /// When a call with a part last survived.
  struct Survival {
    Instant At{};
    /// Until then other hosts are to know.
    Instant ReportUntil{};
  };
  using EvidenceByPart = std::map<PromptPartKey, Evidence>;

  StoredCrash *findCrash(const UpstreamCrash &crash);
  bool addCrash(const UpstreamCrash &crash, Instant now);
  bool addSuspects(UpstreamCrash &known, const UpstreamCrash &crash,
                   Instant now);
  bool hasRoomFor(UpstreamCrash &known, const std::string &part) const;
  bool isWatched(const PromptPartKey &key) const;
  bool noteSurvivedAt(const PromptPartKey &key, Instant at, Instant now);
  void clearQuarantines(const PromptPartKey &key, Instant at, Instant now);
  bool mergeMark(const QuarantineKey &key, const QuarantineMark &mark);
  void declare(const QuarantineKey &key, int crashes, Instant now);
  void release(const QuarantineKey &key, QuarantineChange change, Instant now);
  void onMarksChanged();
  const QuarantineKey *findInForce(const ServiceId &service,
                                   const std::string &first) const;
  bool isExplained(const UpstreamCrash &crash) const;
  bool isExplainedByPart(const UpstreamCrash &crash) const;
  std::set<std::uint64_t> explainingCalls(const UpstreamCrash &crash) const;
  void judgeCalls(const UpstreamCrash &crash, Instant now);
  bool isCallFatal(const PromptPartKey &call,
                   const std::vector<const UpstreamCrash *> &crashes) const;
  CrashRate otherCrashes(const PromptPartKey &call, Instant from,
                         Instant to) const;
  bool isSuspect(const PromptPartKey &key, const SuspectSend &send) const;
  EvidenceByPart evidence(bool includesExplained, Instant now) const;
  int countSeries(const PromptPartKey &key,
                  const std::vector<const UpstreamCrash *> &crashes) const;
  std::vector<PromptPartKey> rivals(const PromptPartKey &key,
                                    const EvidenceByPart &all) const;
  int crashesNeeded(const Evidence &evidence) const;
  bool declareNext(Instant now);
  bool declareWithRivals(const PromptPartKey &key, const EvidenceByPart &all,
                         Instant now);
  std::vector<std::string> remainingParts(const QuarantineKey &key,
                                          const EvidenceByPart &all) const;
  void narrow(Instant now);
  void retractExplained(Instant now);
  void dropUnrepeatedCalls(UpstreamCrash &crash) const;
  void forgetOld(Instant now);
  void dropExcess();

  PromptQuarantineSettings Settings;
  ChangeHook OnChange;
  /// In order of time.
  std::vector<StoredCrash> Crashes;
  std::map<PromptPartKey, Survival> Survivals;
  QuarantineMarks Marks;
  /// The quarantines in force, by the first of their parts.
  std::unordered_map<std::string, std::vector<QuarantineKey>> InForce;
  std::map<ServiceId, std::size_t> Upstreams;
  std::uint64_t Revision = 0;
  std::uint64_t JudgedRevision = 0;
  bool HasUnsettledCrash = false;
};

/// The parts of the prompt that calls can share, without repeats. The last part
/// belongs to the call itself or to its conversation. A part that is named like
/// a call is left out: its caller may have chosen the name.
std::vector<std::string> sharedParts(const std::vector<PromptPart> &prompt);

} // namespace sorrelbay
