#include "LibServing/UpstreamReachability.h"
#include <algorithm>

namespace sorrelbay {

void UpstreamReachability::forgetOldFailures(Paths &paths, Instant now) const {
  for (auto it = paths.FailedAt.begin(); it != paths.FailedAt.end();)
    it = now - it->second > Settings.FailureRetention ? paths.FailedAt.erase(it)
                                                      : std::next(it);
}

void UpstreamReachability::noteConnect(const ServiceId &service,
                                       const UpstreamId &upstream,
                                       bool isConnected, std::size_t upstreams,
                                       Instant now) {
  Paths &paths = ByService[service];
  paths.IsKnown = true;
  if (isConnected) {
    paths.ConnectedAt = now;
    paths.FailedAt.clear();
    if (paths.IsUnreachable)
      paths.RecoveredAt = now;
    paths.IsUnreachable = false;
    return;
  }
  forgetOldFailures(paths, now);
  paths.FailedAt[upstream] = now;
  const std::size_t needed = std::min(Settings.FailedUpstreams, upstreams);
  paths.IsUnreachable =
      paths.IsUnreachable ||
      paths.FailedAt.size() >= std::max<std::size_t>(1, needed);
}

void UpstreamReachability::noteSent(const ServiceId &service, Instant now) {
  ByService[service].WaitingSince.insert(now);
}

void UpstreamReachability::noteReceived(const ServiceId &service, Instant now) {
  ByService[service].ReceivedAt = now;
}

void UpstreamReachability::noteBroken(const ServiceId &service, Instant now) {
  ByService[service].BrokenAt = now;
}

void UpstreamReachability::noteWaitEnded(const ServiceId &service,
                                         Instant sentAt) {
  std::multiset<Instant> &waiting = ByService[service].WaitingSince;
  const auto it = waiting.find(sentAt);
  if (it != waiting.end())
    waiting.erase(it);
}

bool UpstreamReachability::isUnreachable(const ServiceId &service) const {
  const auto it = ByService.find(service);
  return it != ByService.end() && it->second.IsUnreachable;
}

bool UpstreamReachability::wasUnreachable(const ServiceId &service,
                                          Instant since) const {
  const auto it = ByService.find(service);
  return it != ByService.end() &&
         (it->second.IsUnreachable || it->second.RecoveredAt >= since);
}

bool UpstreamReachability::hasConnectedSince(const ServiceId &service,
                                             Instant since) const {
  const auto it = ByService.find(service);
  return it != ByService.end() && it->second.ConnectedAt > since;
}

std::set<ServiceId> UpstreamReachability::unreachable() const {
  std::set<ServiceId> out;
  for (const auto &[service, paths] : ByService)
    if (paths.IsUnreachable)
      out.insert(service);
  return out;
}

std::size_t
UpstreamReachability::failedUpstreams(const ServiceId &service) const {
  const auto it = ByService.find(service);
  return it == ByService.end() ? 0 : it->second.FailedAt.size();
}

bool UpstreamReachability::isAnyCallWaiting() const {
  return std::any_of(ByService.begin(), ByService.end(), [](const auto &it) {
    return !it.second.WaitingSince.empty();
  });
}

bool UpstreamReachability::hasFailure(const Paths &paths, Instant now) const {
  return std::any_of(paths.FailedAt.begin(), paths.FailedAt.end(),
                     [&](const auto &it) {
                       return now - it.second <= Settings.FailureRetention;
                     });
}

/// Whether a call has been waiting for a while since an upstream of the service
/// last sent something.
bool UpstreamReachability::isSilent(const Paths &paths, Instant now) const {
  const auto oldest = paths.WaitingSince.lower_bound(paths.ReceivedAt);
  return oldest != paths.WaitingSince.end() &&
         now - *oldest >= Settings.SilenceLimit;
}

/// One upstream of each zone in turn, so that the first few are of different
/// zones.
static std::vector<UpstreamId>
interleavedByZone(const std::map<UpstreamId, ZoneId> &upstreams) {
  std::map<ZoneId, std::vector<UpstreamId>> byZone;
  for (const auto &[id, zone] : upstreams)
    byZone[zone].push_back(id);
  std::vector<UpstreamId> out;
  for (std::size_t n = 0; out.size() < upstreams.size(); ++n)
    for (const auto &[zone, ids] : byZone)
      if (n < ids.size())
        out.push_back(ids[n]);
  return out;
}

bool UpstreamReachability::isProbeDue(const ServiceId &service,
                                      Instant now) const {
  const auto it = ByService.find(service);
  if (it == ByService.end())
    return true;
  const Paths &paths = it->second;
  if (now - paths.ProbedAt < Settings.ProbeInterval)
    return false;
  return !paths.IsKnown || paths.IsUnreachable || isSilent(paths, now) ||
         hasFailure(paths, now) || paths.BrokenAt > paths.ConnectedAt;
}

std::vector<UpstreamId>
UpstreamReachability::takeProbes(const ServiceId &service,
                                 const std::map<UpstreamId, ZoneId> &upstreams,
                                 Instant now) {
  if (upstreams.empty() || !isProbeDue(service, now))
    return {};
  Paths &paths = ByService[service];
  paths.ProbedAt = now;
  const std::vector<UpstreamId> all = interleavedByZone(upstreams);
  std::size_t wanted = Settings.FailedUpstreams;
  if (paths.IsUnreachable)
    wanted = 1;
  else if (paths.IsKnown && !isSilent(paths, now))
    // Calls that meet the same failure open further connections.
    wanted = std::clamp<std::size_t>(paths.FailedAt.size(), 1, wanted);
  std::vector<UpstreamId> out;
  for (std::size_t n = 0; n < std::min(wanted, all.size()); ++n)
    out.push_back(all[(Settings.FirstProbe + paths.Probes++) % all.size()]);
  return out;
}

} // namespace sorrelbay
