#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace sorrelbay {

/// Suspects that begin so are whole calls (callFingerprint), all others parts
/// of prompts.
constexpr const char *CallSuspectPrefix = "call:";

/// Whether the suspect of a crash is a whole call.
inline bool isCallSuspect(const std::string &suspect) {
  return suspect.rfind(CallSuspectPrefix, 0) == 0;
}

/// A call that ended with its upstream, as far as one suspect is concerned:
/// the call itself, or a part of its prompt if its answer had not got past its
/// begin.
struct SuspectSend {
  /// When the call was sent, in fleet time.
  Instant SentAt{};
  /// The same for all sends of one request, also in its caller's repeats.
  std::uint64_t CallHash = 0;

  friend bool operator==(const SuspectSend &a, const SuspectSend &b) {
    return a.SentAt == b.SentAt && a.CallHash == b.CallHash;
  }
};

/// The crash of an upstream's process, with the calls, and the parts of the
/// prompts, that may have caused it.
struct UpstreamCrash {
  UpstreamId Upstream;
  /// ReplicaRecord::StartedMs of the process; 0 if it is not known.
  std::int64_t StartedMs = 0;
  ServiceId Service;
  /// When the upstream was last known to run, in fleet time.
  Instant At{};
  /// The newest send of each call, and of each part of a prompt that calls can
  /// share.
  std::map<std::string, SuspectSend> Suspects;
};

/// A part of the prompts of a service's calls, or one of its calls.
struct PromptPartKey {
  ServiceId Service;
  std::string Part;

  friend bool operator<(const PromptPartKey &a, const PromptPartKey &b) {
    return std::tie(a.Service, a.Part) < std::tie(b.Service, b.Part);
  }
  friend bool operator==(const PromptPartKey &a, const PromptPartKey &b) {
    return a.Service == b.Service && a.Part == b.Part;
  }
};

/// Parts of which a prompt must contain all to be quarantined. Mostly one; more
/// as long as it is not known which of them crashes upstreams, because they
/// came in the same calls only. A quarantined call stands by itself.
struct QuarantineKey {
  ServiceId Service;
  /// In order, without repeats.
  std::vector<std::string> Parts;

  friend bool operator<(const QuarantineKey &a, const QuarantineKey &b) {
    return std::tie(a.Service, a.Parts) < std::tie(b.Service, b.Parts);
  }
  friend bool operator==(const QuarantineKey &a, const QuarantineKey &b) {
    return a.Service == b.Service && a.Parts == b.Parts;
  }
};

/// When a quarantine was declared and released, in fleet time. The later of the
/// two holds.
struct QuarantineMark {
  Instant DeclaredAt{};
  Instant ReleasedAt{};
  /// Crashes that led to it.
  int Crashes = 0;

  bool isInForce() const { return DeclaredAt > ReleasedAt; }
  friend bool operator==(const QuarantineMark &a, const QuarantineMark &b) {
    return a.DeclaredAt == b.DeclaredAt && a.ReleasedAt == b.ReleasedAt &&
           a.Crashes == b.Crashes;
  }
};

using QuarantineMarks = std::map<QuarantineKey, QuarantineMark>;

/// What hosts report to each other about crashes and prompts. Knowledge is
/// merged: reports may be late, lost or repeated.
struct CrashKnowledge {
  std::vector<UpstreamCrash> Crashes;
  /// When a call with the part last got past the begin of its answer, or the
  /// call was last answered.
  std::map<PromptPartKey, Instant> SurvivedAt;
  QuarantineMarks Quarantines;

  bool empty() const {
    return Crashes.empty() && SurvivedAt.empty() && Quarantines.empty();
  }
};

} // namespace sorrelbay
