#pragma once

#include "LibDecision/Bundle.h"
#include "LibObjectApi/ObjectApi.h"

namespace sorrelbay {

/// Returns a small bundle with one service, one version, one route and one
/// team.
Bundle sampleBundle(std::uint64_t generation);

/// An object API in memory with a single object. Tests replace the hooks to
/// make calls fail.
struct MemoryObject {
  std::optional<StoredObject> Object;
  /// Invoked before and after a write takes effect; either may throw.
  std::function<void()> BeforeWrite = [] {};
  std::function<void()> AfterWrite = [] {};
  std::function<void()> BeforeRead = [] {};

  /// Returns the API to this object. The object must outlive it.
  ObjectApi api();
};

} // namespace sorrelbay
