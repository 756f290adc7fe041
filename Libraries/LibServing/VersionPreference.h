#pragma once

#include "LibBase/Identifier.h"

namespace sorrelbay {

/// Which of a service's versions a call may go to.
struct VersionPreference {
  /// Preferred if one of its upstreams is available; empty for any version.
  VersionId Preferred;
  /// Excluded even if no other version is available; empty for none.
  VersionId Excluded;

  friend bool operator==(const VersionPreference &a,
                         const VersionPreference &b) {
    return a.Preferred == b.Preferred && a.Excluded == b.Excluded;
  }
};

/// Whether a call with this choice may go to the version, without falling back
/// to versions that are not preferred.
inline bool allowsVersion(const VersionId &version,
                          const VersionPreference &choice) {
  if (!choice.Excluded.empty() && version == choice.Excluded)
    return false;
  return choice.Preferred.empty() || version == choice.Preferred;
}

} // namespace sorrelbay
