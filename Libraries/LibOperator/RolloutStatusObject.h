#pragma once

#include "LibBase/Error.h"
#include "LibDecision/Bundle.h"
#include "LibDecision/Evidence.h"
#include "LibObjectApi/ObjectApi.h"
#include <string>
#include <vector>

namespace sorrelbay {

/// The state of the rollout of a version.
enum class PublishedRolloutState { Moving, Done, TakenBack };

/// Returns "moving", "done" or "taken_back".
const char *nameOf(PublishedRolloutState state);

/// The evidence about a version on one route, summed over all entry hosts.
struct RouteEvidence {
  RouteId OnRoute;
  EvidenceCount Count;
};

/// The status of a rollout, which daemons write to `status/moves/<version>` for
/// operators.
struct RolloutStatusObject {
  VersionId Version;
  ServiceId Service;
  /// The generation of the bundle that ordered the rollout.
  std::uint64_t Generation = 0;
  PublishedRolloutState State = PublishedRolloutState::Moving;
  /// The stage of the rollout, from 0.
  int Stage = 0;
  /// The share of calls that the version gets currently, 0 to 1.
  double Share = 0;
  /// The deadline of the rollout; the epoch if the bundle has none.
  Instant Deadline{};
  /// The cost of this version's replicas since the start of the rollout, in
  /// millionths of the currency unit.
  std::int64_t Cost = 0;
  std::vector<RouteEvidence> Evidence;
  /// A sentence that explains why the rollout is done, rolled back or waiting.
  std::string Reason;
  /// When the rollout reached this state.
  Instant Since{};
};

/// The prefix of the objects' names; the version's id follows.
constexpr const char *RolloutStatusPrefix = "status/moves/";

/// An object with the prefix RolloutStatusPrefix is not the status of a
/// rollout.
class RolloutStatusMalformed : public Error {
public:
  using Error::Error;
};

/// Encodes the status as a JSON object on one line.
std::string encodeRolloutStatus(const RolloutStatusObject &status);
/// Decodes a status. Throws RolloutStatusMalformed.
RolloutStatusObject decodeRolloutStatus(const std::string &text);

/// Reads the status of all rollouts, sorted by the versions' ids. Throws
/// ObjectApiUnavailable or RolloutStatusMalformed.
std::vector<RolloutStatusObject> readRolloutStatuses(const ObjectApi &api);

/// Whether the rollouts of all versions with a deadline have ended under this
/// bundle. Daemons write the first status some time after the bundle is rolled,
/// so a missing or older status means that the rollout has not begun.
bool areRolloutsSettled(const Bundle &bundle,
                        const std::vector<RolloutStatusObject> &statuses);

} // namespace sorrelbay
