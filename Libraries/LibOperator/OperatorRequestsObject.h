#pragma once

#include "LibBase/Error.h"
#include "LibServing/OperatorRequests.h"
#include <string>
#include <vector>

namespace sorrelbay {

/// The stored requests of operators can't be read, or exceed their bounds.
class OperatorRequestsMalformed : public Error {
public:
  using Error::Error;
};

/// The name of the object in the store that holds all requests of operators. It
/// is of the kind of the quarantines, whose watch also returns its changes.
constexpr const char *OperatorRequestsName = "operators";

/// The most entries over all three lists.
constexpr std::size_t MaxOperatorRequests = 256;
/// The most bytes of the object's body. Larger objects are not relayed between
/// hosts, so that each host would query the store.
constexpr std::size_t MaxOperatorRequestsBytes = 32UL * 1024;
constexpr int MinTeamWeight = 1;
constexpr int MaxTeamWeight = 100;

/// Renders the requests as the JSON text of the object's body. Throws
/// OperatorRequestsMalformed if they exceed a bound.
std::string renderOperatorRequests(const OperatorRequests &requests);
/// The inverse. Throws OperatorRequestsMalformed.
OperatorRequests parseOperatorRequests(const std::string &body);
/// The same, but leaves out malformed entries, and adds why to `refused`: a
/// daemon acts by the others.
OperatorRequests readOperatorRequests(const std::string &body,
                                      std::vector<std::string> &refused);

/// Drops the holds that ended so long before `now`, by the operator's clock,
/// that they have ended by fleet time as well.
void dropEndedRequests(OperatorRequests &requests, Instant now);

/// The requests as a table for operators.
std::string renderOperatorRequestsTable(const OperatorRequests &requests,
                                        Instant now);

} // namespace sorrelbay
