#pragma once

#include "LibBase/Identifier.h"
#include <cstdint>
#include <map>
#include <vector>

namespace sorrelbay {

/// Work in progress at one upstream.
struct OutstandingWork {
  /// Calls that were sent and whose response is not complete.
  int Calls = 0;
  /// Prompt tokens still to be prefilled, of the calls without a first byte.
  std::int64_t PromptTokens = 0;
  /// Memory that the calls need at their end, in tokens: their prompts plus
  /// their maximum output.
  std::int64_t Tokens = 0;

  friend bool operator==(const OutstandingWork &a, const OutstandingWork &b) {
    return a.Calls == b.Calls && a.PromptTokens == b.PromptTokens &&
           a.Tokens == b.Tokens;
  }
  friend OutstandingWork operator+(const OutstandingWork &a,
                                   const OutstandingWork &b) {
    return {a.Calls + b.Calls, a.PromptTokens + b.PromptTokens,
            a.Tokens + b.Tokens};
  }
  friend OutstandingWork operator-(const OutstandingWork &a,
                                   const OutstandingWork &b) {
    return {a.Calls - b.Calls, a.PromptTokens - b.PromptTokens,
            a.Tokens - b.Tokens};
  }
};

/// An upstream whose work differs between two reports.
struct WorkChange {
  UpstreamId Upstream;
  OutstandingWork Before;
  OutstandingWork Now;
};

/// The upstreams whose work differs between the reports. Those that a report
/// leaves out have none.
std::vector<WorkChange>
changesOfWork(const std::map<UpstreamId, OutstandingWork> &before,
              const std::map<UpstreamId, OutstandingWork> &now);

/// What one call adds to an upstream's work in progress.
struct CallCost {
  /// Prompt tokens that the upstream is expected to prefill, without cached
  /// ones.
  std::int64_t PromptTokens = 0;
  std::int64_t Tokens = 0;
};

} // namespace sorrelbay
