#pragma once

#include <functional>
#include <string>
#include <utility>

namespace sorrelbay {

/// An identifier whose kind is part of its type, so that a zone cannot be
/// passed where a host is expected. Immutable; the text comes from settings,
/// the platform or a caller and is not interpreted here.
template <typename Tag> class Identifier {
public:
  Identifier() = default;
  explicit Identifier(std::string text) : Text(std::move(text)) {}

  const std::string &text() const { return Text; }
  bool empty() const { return Text.empty(); }

  friend bool operator==(const Identifier &a, const Identifier &b) {
    return a.Text == b.Text;
  }
  friend bool operator!=(const Identifier &a, const Identifier &b) {
    return a.Text != b.Text;
  }
  friend bool operator<(const Identifier &a, const Identifier &b) {
    return a.Text < b.Text;
  }

private:
  std::string Text;
};

/// An entry host: a host on which a sorrelbayd runs.
using HostId = Identifier<struct HostTag>;
/// An availability zone.
using ZoneId = Identifier<struct ZoneTag>;
/// The team of a caller; rate limits and fair sharing apply by team.
using TeamId = Identifier<struct TeamTag>;
/// A model or a desk, by the name that callers use.
using ServiceId = Identifier<struct ServiceTag>;
/// A version of the upstreams of a service.
using VersionId = Identifier<struct VersionTag>;
/// A class of calls with its own latency target and its own canary evidence.
using RouteId = Identifier<struct RouteTag>;
/// An upstream process, identified by "address:port".
using UpstreamId = Identifier<struct UpstreamTag>;
/// The caller's idempotency key, unique within a team.
using IdempotencyKey = Identifier<struct CallKeyTag>;
/// One incarnation of a daemon process; a restarted daemon has a new one.
using IncarnationId = Identifier<struct IncarnationTag>;
/// The source of a report: a host, or the zone whose reports a host aggregates.
using SourceId = Identifier<struct SourceTag>;

} // namespace sorrelbay

namespace std {
template <typename Tag> struct hash<sorrelbay::Identifier<Tag>> {
  size_t operator()(const sorrelbay::Identifier<Tag> &id) const noexcept {
    return hash<string>()(id.text());
  }
};
} // namespace std
