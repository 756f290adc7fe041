#pragma once

#include "BundleStore.h"
#include "LibCaller/Problem.h"
#include <memory>

namespace sorrelbay {

/// Returns the bundle in force. Throws Problem with the given outcome while
/// there is none.
std::shared_ptr<const Bundle> requireBundle(const BundleStore &bundles,
                                            Outcome refusal);

/// Throws Problem with the given outcome if the bundle does not list the team.
void requireTeam(const Bundle &bundle, const TeamId &team, Outcome refusal);

} // namespace sorrelbay
