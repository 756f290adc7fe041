#include "CallChecks.h"

namespace sorrelbay {

static constexpr Duration ShortRetryAfter = milliseconds(500);

std::shared_ptr<const Bundle> requireBundle(const BundleStore &bundles,
                                            Outcome refusal) {
  auto bundle = bundles.current();
  if (!bundle)
    throw Problem(503, "not-ready", "no bundle is in force yet", refusal,
                  ShortRetryAfter);
  return bundle;
}

void requireTeam(const Bundle &bundle, const TeamId &team, Outcome refusal) {
  if (findTeam(bundle, team) == nullptr)
    throw Problem(403, "unknown-team",
                  "X-Team names no team of the bundle: " + team.text(),
                  refusal);
}

} // namespace sorrelbay
