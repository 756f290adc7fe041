#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include <map>
#include <set>
#include <vector>

namespace sorrelbay {

struct PromptPartitionSettings {
  /// A prompt is short if its prefill takes at most this long; zero reserves no
  /// engines.
  Duration ShortPromptTime{};
  /// The utilization by short prompts at which engines are reserved for them.
  /// A queue's mean wait is then about as long as its mean service time.
  double TargetUtilization = 0.5;
  /// Above this utilization, reserved engines are not preferred for short
  /// prompts: while their number rises from zero, all short prompts would go to
  /// the first of them.
  double MaxUtilization = 0.65;
  /// Reserved engines are preferred for short prompts only while the mean wait
  /// at the other engines is longer than the prefill of this many prompts of
  /// the longest short size. With less congestion, the preference makes calls
  /// wait for slots of reserved engines.
  double MinOthersWaitPrompts = 2;
  /// A short prompt goes to another engine if it is expected to have its first
  /// token earlier there by more than the prefill of this many such prompts.
  /// Less than that is within the error of the estimate: the wait at the other
  /// engines is estimated too low, as long prompts of other hosts are not known
  /// yet.
  double MaxExtraWaitPrompts = 4;
  /// The largest share of a service's engines that is reserved.
  double MaxReservedShare = 0.5;
  /// No engines are reserved in services with fewer engines than this.
  int MinEngines = 8;
  /// No engines are reserved with fewer hosts than this times an engine's
  /// slots: few hosts know of each other's prompts early enough.
  int MinHostsPerSlot = 4;
  /// A different number must have been needed for this long before the number
  /// of reserved engines changes.
  Duration ChangeDelay = seconds(1);
  /// The shortest time between two changes by one engine.
  Duration ChangeInterval = milliseconds(250);
};

/// What the number of reserved engines of a service is computed from.
struct PromptPartitionInput {
  /// The service's engines that are not leaving, by zone.
  std::map<ZoneId, std::vector<UpstreamId>> Engines;
  /// The number of calls that one engine processes at a time.
  int Slots = 1;
  /// The number of hosts that send calls to the engines.
  int Hosts = 1;
  /// Engine time that short prompts need, in seconds per second.
  double ShortDemand = 0;
};

/// Reserves some of a service's engines for short prompts. Hosts learn of each
/// other's prompts late, so that a short prompt is queued behind long ones by
/// chance; an engine that gets no long prompts has no such queue. All hosts
/// rank the engines alike without exchanging messages, so that hosts whose
/// numbers differ by n disagree on n engines only. Not thread-safe.
class PromptPartition {
public:
  explicit PromptPartition(PromptPartitionSettings settings = {})
      : Settings(settings) {}

  /// Whether a prompt whose prefill takes `milliseconds` is short.
  bool isShort(double milliseconds) const;
  /// How much later a short prompt may have its first token at a reserved
  /// engine than at another one, in milliseconds. `othersWait` is the mean wait
  /// at the other engines.
  double allowedExtraWait(double othersWait) const;
  /// The number of engines to reserve, without regard to the present one.
  int needed(const PromptPartitionInput &input) const;
  /// Moves the number of reserved engines by at most one towards the needed
  /// one. Returns whether it has changed.
  bool update(const PromptPartitionInput &input, Instant now);
  bool isReserved(const UpstreamId &id) const {
    return Reserved.count(id) != 0;
  }
  /// Whether the reserved engines have capacity for all short prompts.
  bool hasCapacity() const { return HasCapacity; }
  /// The number of reserved engines.
  int count() const { return static_cast<int>(Reserved.size()); }

private:
  bool isApplicable(const PromptPartitionInput &input) const;
  int mostReserved(const PromptPartitionInput &input) const;
  int next(const PromptPartitionInput &input, Instant now);

  PromptPartitionSettings Settings;
  std::set<UpstreamId> Reserved;
  int Count = 0;
  bool HasCapacity = false;
  /// Since when more (1) or fewer (-1) engines have been needed than are
  /// reserved.
  int Direction = 0;
  Instant DirectionSince{};
  Instant ChangedAt{};
};

} // namespace sorrelbay
