#pragma once

#include <string>

namespace sorrelbay {

/// What an upstream can state about itself in a response, besides the response
/// to the call.
enum class StatementKind {
  /// The calls per second that it accepts from all hosts together.
  RateLimit,
  /// The rejections per second that it bears.
  RejectionLimit,
  /// The time for which it wants no calls from this host.
  Pause,
  /// It is leaving and wants no new calls.
  Leaving,
  /// Its running and waiting calls, its slots, and its slowness.
  Load,
  /// A statement of a kind that this version does not know.
  Unknown,
};

/// Why a statement of an upstream had no effect.
enum class IgnoredReason {
  /// The value can't be read.
  Malformed,
  /// Another upstream than the expected one responded.
  OtherUpstream,
  /// The statement has no meaning in a response with that status.
  OtherStatus,
  /// The response is for an earlier call on the connection, or for an unknown
  /// one.
  OtherCall,
  /// An earlier process of the upstream made it.
  EarlierProcess,
  /// The value can't be true.
  Implausible,
  /// What the upstream did or what this host has open there contradicts it.
  Contradicted,
  /// The host was suspended since the call was sent, so that the age of the
  /// statement is not known.
  Stale,
  /// This version does not know what it means.
  UnknownKind,
};

/// A statement that had no effect.
struct IgnoredStatement {
  StatementKind Kind = StatementKind::RateLimit;
  IgnoredReason Reason = IgnoredReason::Malformed;
  /// The value as it was received; the name of an unknown statement.
  std::string Value;

  friend bool operator==(const IgnoredStatement &a, const IgnoredStatement &b) {
    return a.Kind == b.Kind && a.Reason == b.Reason && a.Value == b.Value;
  }
};

/// The names of both in logs and metrics.
const char *toText(StatementKind kind);
const char *toText(IgnoredReason reason);

} // namespace sorrelbay
