#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sorrelbay {

/// A part of a prompt that calls share, in the order in which it is read.
struct PromptPart {
  std::string Id;
  std::int64_t Tokens = 0;
};

/// What a caller's request says of itself, whatever its interface calls it.
struct ServingCall {
  /// The caller's attempt; empty if it names none.
  std::string Id;
  std::string HostName;
  std::string Path;
  std::string Method;
  std::string Key;
  /// How long the caller waits, from when the request was read.
  std::optional<Duration> WaitLimit;
  std::optional<std::int64_t> PromptTokens;
  std::int64_t MaxOutputTokens = 0;
  std::vector<PromptPart> Prompt;
  /// The last event that the caller has of a stream that it resumes.
  std::string LastEventId;
};

/// Where one try of a call goes and what is sent to the upstream with it.
struct UpstreamAttempt {
  UpstreamId Replica;
  std::string Address;
  Duration WaitLimit{};
  TeamId Team;
  int Priority = 0;
  /// Set where a broken stream goes on.
  std::string ResumeAfter;
  /// The other end and the handle of moved memory, where the call goes on from
  /// it.
  std::string KvCacheSource;
};

/// What the head of an upstream's answer says besides status and body.
struct UpstreamReplyInfo {
  /// The attempt that it answers; empty if it names none.
  std::string Id;
  /// The upstream says that it did not run the call.
  bool IsNotRun = false;
  /// The upstream runs, what waits there, and its places.
  struct Load {
    int Running = 0;
    int Waiting = 0;
    int Slots = 0;
  };
  std::optional<Load> Reported;
};

} // namespace sorrelbay
