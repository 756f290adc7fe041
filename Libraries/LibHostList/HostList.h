#pragma once

#include "LibBase/Error.h"
#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include <string>
#include <vector>

namespace sorrelbay {

/// The host list is unavailable or malformed.
class HostListUnavailable : public Error {
public:
  using Error::Error;
};

enum class HostRole { Entry, Engine, Desk };

/// An entry of the host list of the platform, which lags behind the actual
/// state.
struct HostListEntry {
  /// The address that the process on the host listens on, "ip:port".
  std::string Address;
  /// For entry hosts: the address for connections from peers. Empty otherwise.
  std::string PeerAddress;
  HostRole Role = HostRole::Engine;
  ZoneId Zone;
  ServiceId Service;
  VersionId Version;
  bool IsLeaving = false;
  /// The time at which the host leaves, if it is leaving; the epoch if that is
  /// unknown.
  Instant LeavesAt{};
};

/// Fetches the list from the platform at "ip:port". Throws HostListUnavailable.
std::vector<HostListEntry> fetchHostList(const std::string &platform,
                                         Duration timeout);

/// Parses the JSON array of the list. Malformed entries are logged and skipped,
/// so that one of them does not make the whole list unusable. Throws
/// HostListUnavailable if the text is not a JSON array.
std::vector<HostListEntry> parseHostList(const std::string &json);

} // namespace sorrelbay
