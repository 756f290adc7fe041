#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace sorrelbay {

/// One object as the platform's object API holds it. Versions start at 1 and
/// grow with each update of that object.
struct StoredObject {
  std::string Body;
  std::uint64_t Version = 0;
};

/// The object API can't be reached or says that it can't serve now. Of a
/// write: it did not take effect.
class ObjectApiUnavailable : public Error {
public:
  using Error::Error;
};

/// The write's reply was lost: it may or may not have taken effect. The caller
/// must read the object to learn which.
class WriteOutcomeUnknown : public Error {
public:
  using Error::Error;
};

/// A conditional update named another version than the stored one; nothing
/// was changed.
class VersionConflict : public Error {
public:
  using Error::Error;
};

/// The object would be larger than the object API takes (one megabyte).
class ObjectTooLarge : public Error {
public:
  using Error::Error;
};

/// The expected version of an object that must not exist yet.
constexpr std::uint64_t AbsentVersion = 0;
/// The largest body that the object API takes, in bytes.
constexpr std::size_t MaxObjectBytes = 1024UL * 1024;

/// The platform's object API as hooks, so that tests and randomised runs put
/// a fake in its place. Each call is counted by the platform and costs
/// milliseconds. All may be called from any thread.
struct ObjectApi {
  /// The object of that name, or nothing if there is none. Throws
  /// ObjectApiUnavailable.
  std::function<std::optional<StoredObject>(const std::string &name)> Read;
  /// Writes the body if the stored version equals the expected one
  /// (AbsentVersion: if there is no object), and returns the new version.
  /// Throws VersionConflict, ObjectTooLarge, ObjectApiUnavailable or
  /// WriteOutcomeUnknown.
  std::function<std::uint64_t(const std::string &name, const std::string &body,
                              std::uint64_t expectedVersion)>
      Write;
  /// Waits until the object's version is above the known one or the time is
  /// over; nothing if it did not change. Throws ObjectApiUnavailable.
  std::function<std::optional<StoredObject>(
      const std::string &name, std::uint64_t knownVersion, Duration waitLimit)>
      Watch;
  /// The names that start with the prefix, sorted. Throws
  /// ObjectApiUnavailable.
  std::function<std::vector<std::string>(const std::string &prefix)> List;
};

} // namespace sorrelbay
