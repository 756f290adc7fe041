#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace sorrelbay {

/// An object as stored in the platform's object API. Versions start at 1 and
/// increase with each update of the object.
struct StoredObject {
  std::string Body;
  std::uint64_t Version = 0;
};

/// The object API can't be reached or reports that it is unavailable. If the
/// call was a write, it did not take effect.
class ObjectApiUnavailable : public Error {
public:
  using Error::Error;
};

/// The reply to a write was lost, so the write may or may not have taken
/// effect. The caller must read the object to find out.
class WriteOutcomeUnknown : public Error {
public:
  using Error::Error;
};

/// The expected version of a conditional update differs from the stored one;
/// nothing was changed.
class VersionConflict : public Error {
public:
  using Error::Error;
};

/// The object would be larger than MaxObjectBytes.
class ObjectTooLarge : public Error {
public:
  using Error::Error;
};

/// The expected version of an object that must not exist yet.
constexpr std::uint64_t AbsentVersion = 0;
/// The largest body that the object API accepts, in bytes.
constexpr std::size_t MaxObjectBytes = 1024UL * 1024;

/// The platform's object API as function objects, so that tests and randomised
/// runs can substitute a fake. The platform counts each call, and a call takes
/// milliseconds. All functions may be called from any thread.
struct ObjectApi {
  /// Returns the object of that name, or nothing if there is none. Throws
  /// ObjectApiUnavailable.
  std::function<std::optional<StoredObject>(const std::string &name)> Read;
  /// Writes the body if the stored version equals the expected one
  /// (AbsentVersion: if there is no object), and returns the new version.
  /// Throws VersionConflict, ObjectTooLarge, ObjectApiUnavailable or
  /// WriteOutcomeUnknown.
  std::function<std::uint64_t(const std::string &name, const std::string &body,
                              std::uint64_t expectedVersion)>
      Write;
  /// Waits until the object's version exceeds the known one and returns the
  /// object, or nothing if it has not changed within the wait limit. Throws
  /// ObjectApiUnavailable.
  std::function<std::optional<StoredObject>(
      const std::string &name, std::uint64_t knownVersion, Duration waitLimit)>
      Watch;
  /// Returns the names that start with the prefix, sorted. Throws
  /// ObjectApiUnavailable.
  std::function<std::vector<std::string>(const std::string &prefix)> List;
};

} // namespace sorrelbay
