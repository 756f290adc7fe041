#pragma once

#include <functional>
#include <string>
#include <utility>

namespace sorrelbay {

/// A name whose kind is part of its type, so that a zone can't be passed where
/// a host is meant. Immutable; the text comes from settings, the platform or a
/// caller and is not interpreted here.
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

/// An entry host: a machine on which a sorrelbayd runs.
using HostId = Identifier<struct HostTag>;
/// An availability zone.
using ZoneId = Identifier<struct ZoneTag>;
/// A caller's team, the unit of fairness.
using TeamId = Identifier<struct TeamTag>;
/// A model or a desk as callers name it.
using ServiceId = Identifier<struct ServiceTag>;
/// One version of a service's upstreams.
using VersionId = Identifier<struct VersionTag>;
/// A kind of call with its own latency target and its own evidence.
using RouteId = Identifier<struct RouteTag>;
/// One upstream process, by "address:port".
using UpstreamId = Identifier<struct UpstreamTag>;
/// The caller's idempotency key, unique within a team.
using IdempotencyKey = Identifier<struct CallKeyTag>;
/// One life of one daemon process; a restarted daemon has a new one.
using IncarnationId = Identifier<struct IncarnationTag>;
/// Whose report it is: a host's, or a zone's by the host that aggregates for
/// it.
using SourceId = Identifier<struct SourceTag>;

} // namespace sorrelbay

namespace std {
template <typename Tag> struct hash<sorrelbay::Identifier<Tag>> {
  size_t operator()(const sorrelbay::Identifier<Tag> &id) const noexcept {
    return hash<string>()(id.text());
  }
};
} // namespace std
