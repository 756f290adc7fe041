#pragma once

#include "BundleStore.h"
#include "LibCaller/Problem.h"
#include <memory>

namespace sorrelbay {

/// The bundle by which a call is served. Throws Problem with that outcome while
/// none is in force.
std::shared_ptr<const Bundle> requireBundle(const BundleStore &bundles,
                                            Outcome refusal);

/// Throws Problem with that outcome unless the bundle names the team.
void requireTeam(const Bundle &bundle, const TeamId &team, Outcome refusal);

} // namespace sorrelbay
