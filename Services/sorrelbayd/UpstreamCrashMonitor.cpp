#include "UpstreamCrashMonitor.h"
#include "LibBase/BootClock.h"
#include "LibBase/Hash.h"
#include "LibBase/LogLine.h"
#include <algorithm>
#include <boost/asio/post.hpp>

namespace sorrelbay {

namespace {

/// An answer with so many complete events has got past its begin.
constexpr std::size_t EventsPastBegin = 2;
/// An upstream that is silent for this long, while calls wait for it, is
/// checked, and again at this interval.
constexpr Duration SilenceLimit = milliseconds(500);
constexpr Duration CheckInterval = seconds(2);
/// A silent upstream can only have crashed under calls that were sent while it
/// ran; it need not have shown that at the very moment.
constexpr Duration AliveTolerance = milliseconds(250);
/// What is known of an upstream without open calls is kept for this long.
constexpr Duration UpstreamRetention = seconds(10);
/// A crash is dropped if its service has not been reached for this long.
constexpr Duration LongestHoldTime = seconds(5);
/// Lost sends of an upstream that are kept until it is known whether it runs.
constexpr std::size_t MaxLostSends = 64;
/// Suspected parts, and calls, that a log line names.
constexpr std::size_t MaxLogged = 8;

} // namespace

UpstreamCrashMonitor::SendId
UpstreamCrashMonitor::begin(const ReplicaRecord &upstream,
                            const ServingCall &call,
                            std::function<void()> withdraw) {
  const SendId id = ++LastId;
  Send send;
  send.Upstream = upstream.Id;
  send.CallHash = stableHash(call.Fingerprint);
  send.Prompt = call.Prompt;
  send.Fingerprint = call.Fingerprint;
  send.SentAt = bootNow();
  send.Withdraw = std::move(withdraw);
  WatchedUpstream &watched = Upstreams[upstream.Id];
  watched.Record = upstream;
  ++watched.OpenSends;
  Sends.emplace(id, std::move(send));
  return id;
}

void UpstreamCrashMonitor::noteConnected(const UpstreamId &upstream) {
  Upstreams[upstream].AliveAt = bootNow();
}

void UpstreamCrashMonitor::noteReceived(SendId id, std::size_t events) {
  const auto it = Sends.find(id);
  if (it == Sends.end())
    return;
  Send &send = it->second;
  WatchedUpstream &upstream = Upstreams[send.Upstream];
  upstream.AliveAt = bootNow();
  send.Events = events;
  if (send.IsPastBegin || events < EventsPastBegin)
    return;
  send.IsPastBegin = true;
  Hooks.OnSurvived(upstream.Record.OfService, send.Prompt);
}

void UpstreamCrashMonitor::end(SendId id, WatchedEnd result) {
  const auto it = Sends.find(id);
  if (it == Sends.end())
    return;
  Send send = std::move(it->second);
  Sends.erase(it);
  WatchedUpstream &upstream = Upstreams[send.Upstream];
  --upstream.OpenSends;
  if (result == WatchedEnd::Answered) {
    Hooks.OnAnswered(upstream.Record.OfService, send.Fingerprint);
    if (!send.IsPastBegin)
      Hooks.OnSurvived(upstream.Record.OfService, send.Prompt);
  }
  const Instant now = bootNow();
  const bool isSilent = result == WatchedEnd::GivenUp &&
                        now - send.SentAt >= SilenceLimit &&
                        now - upstream.AliveAt >= SilenceLimit;
  const bool isLost = result == WatchedEnd::BrokenOff || isSilent;
  if (!isLost)
    return;
  upstream.HasBrokenOff =
      upstream.HasBrokenOff || result == WatchedEnd::BrokenOff;
  noteLost(upstream, send);
  check(upstream, now);
}

/// Opens a connection to the upstream, to see whether it runs.
void UpstreamCrashMonitor::check(WatchedUpstream &upstream, Instant now) {
  if (upstream.IsChecking)
    return;
  upstream.IsChecking = true;
  upstream.CheckedAt = now;
  // A call that goes on at another upstream takes its connection first.
  boost::asio::post(
      Loop, [this, address = upstream.Record.Address, id = upstream.Record.Id] {
        Client.openIdle(address, [this, id](ConnectResult result) {
          onChecked(id, result);
        });
      });
}

void UpstreamCrashMonitor::onChecked(const UpstreamId &id,
                                     ConnectResult result) {
  const auto it = Upstreams.find(id);
  if (it == Upstreams.end())
    return;
  WatchedUpstream &upstream = it->second;
  upstream.IsChecking = false;
  const bool isRunning = result == ConnectResult::Connected;
  if (isRunning)
    upstream.AliveAt = bootNow();
  else
    hold(id, upstream);
  upstream.Lost.clear();
  upstream.HasBrokenOff = false;
}

/// Reports the crash of the upstream, at once if this host reaches its service.
/// Silence under which no call can have been the cause is not reported.
void UpstreamCrashMonitor::hold(const UpstreamId &id,
                                WatchedUpstream &upstream) {
  addSilentSends(id, upstream);
  HeldCrash held;
  held.Crash = crashOf(upstream);
  held.OfVersion = upstream.Record.OfVersion;
  held.IsSilent = !upstream.HasBrokenOff;
  held.Lost = upstream.Lost;
  held.NotBegun = static_cast<std::size_t>(
      std::count_if(held.Lost.begin(), held.Lost.end(),
                    [](const LostSend &it) { return !it.IsPastBegin; }));
  held.AliveAt = upstream.AliveAt;
  held.HeldSince = bootNow();
  if (held.IsSilent && held.Crash.Suspects.empty())
    return;
  Held.push_back(std::move(held));
  reportHeld();
}

/// Keeps the send until it is known whether its upstream runs.
void UpstreamCrashMonitor::noteLost(WatchedUpstream &upstream,
                                    const Send &send) {
  if (upstream.Lost.size() < MaxLostSends)
    upstream.Lost.push_back({send.CallHash, send.Fingerprint, send.Prompt,
                             send.SentAt, send.Events, send.IsPastBegin});
}

/// Adds the calls that still wait for the upstream, which does not run.
void UpstreamCrashMonitor::addSilentSends(const UpstreamId &id,
                                          WatchedUpstream &upstream) {
  for (const auto &[sendId, send] : Sends)
    if (send.Upstream == id)
      noteLost(upstream, send);
}

/// The crash with the calls that may have been its cause. A silent upstream can
/// only have crashed under calls that were sent while it ran.
UpstreamCrash
UpstreamCrashMonitor::crashOf(const WatchedUpstream &upstream) const {
  UpstreamCrash crash;
  crash.Upstream = upstream.Record.Id;
  crash.StartedMs = upstream.Record.StartedMs;
  crash.Service = upstream.Record.OfService;
  crash.At =
      Time.at(upstream.HasBrokenOff ? upstream.CheckedAt : upstream.AliveAt);
  for (const LostSend &it : upstream.Lost) {
    if (!upstream.HasBrokenOff && it.SentAt > upstream.AliveAt + AliveTolerance)
      continue;
    addSuspects(crash, it, Time.at(it.SentAt));
  }
  return crash;
}

/// Adds the call, and the shared parts of its prompt unless it had got past the
/// begin of its answer. `sentAt` is in fleet time.
void UpstreamCrashMonitor::addSuspects(UpstreamCrash &crash,
                                       const LostSend &lost, Instant sentAt) {
  const auto add = [&](const std::string &name) {
    SuspectSend &suspect = crash.Suspects[name];
    if (suspect.SentAt < sentAt)
      suspect = {sentAt, lost.CallHash};
  };
  add(lost.Fingerprint);
  if (lost.IsPastBegin)
    return;
  for (const std::string &part : sharedParts(lost.Prompt))
    add(part);
}

void UpstreamCrashMonitor::log(const HeldCrash &held, Instant now) {
  const UpstreamCrash &crash = held.Crash;
  const char *manner = held.IsSilent ? "silence" : "reset";
  Counts.countUpstreamCrash(crash.Service.text(), manner);
  if (!LogBudget.take(now))
    return;
  std::string calls;
  for (std::size_t n = 0; n < std::min(held.Lost.size(), MaxLogged); ++n)
    calls += (n == 0 ? "" : ",") + held.Lost[n].Fingerprint + "/" +
             std::to_string(held.Lost[n].Events);
  std::string parts;
  std::size_t suspectedParts = 0;
  for (const auto &[suspect, send] : crash.Suspects)
    if (!isCallSuspect(suspect) && suspectedParts++ < MaxLogged)
      parts += (parts.empty() ? "" : ",") + suspect;
  LogLine(Severity::Warning, "upstream crashed")
      .field("upstream", crash.Upstream.text())
      .field("service", crash.Service.text())
      .field("version", held.OfVersion.text())
      .field("manner", manner)
      .field("calls", static_cast<std::int64_t>(held.NotBegun))
      .field("lost", static_cast<std::int64_t>(held.Lost.size()))
      .field("fingerprints", calls)
      .field("suspects", static_cast<std::int64_t>(suspectedParts))
      .field("parts", parts)
      .field("silent_ms", toMilliseconds(now - held.AliveAt));
}

bool UpstreamCrashMonitor::isOpenOrRecent(const WatchedUpstream &upstream,
                                          Instant now) {
  return upstream.OpenSends > 0 || upstream.IsChecking ||
         now - upstream.AliveAt < UpstreamRetention;
}

/// Reports the crashes of services that this host reaches. A host that is cut
/// off can't tell crashes from its own loss until it reaches another upstream.
void UpstreamCrashMonitor::reportHeld() {
  const Instant now = bootNow();
  std::vector<HeldCrash> held = std::move(Held);
  Held.clear();
  for (HeldCrash &it : held) {
    if (!Paths.isUnreachable(it.Crash.Service)) {
      log(it, now);
      Hooks.OnCrash(it.Crash);
    } else if (now - it.HeldSince < LongestHoldTime) {
      Held.push_back(std::move(it));
    } else if (LogBudget.take(now)) {
      LogLine(Severity::Warning, "upstream crash dropped")
          .field("upstream", it.Crash.Upstream.text())
          .field("service", it.Crash.Service.text())
          .field("why", "service_unreachable")
          .field("held_ms", toMilliseconds(now - it.HeldSince));
    }
  }
}

void UpstreamCrashMonitor::tick() {
  const Instant now = bootNow();
  reportHeld();
  std::map<UpstreamId, Instant> waitingSince;
  for (const auto &[id, send] : Sends) {
    const auto [it, isNew] =
        waitingSince.try_emplace(send.Upstream, send.SentAt);
    if (!isNew)
      it->second = std::min(it->second, send.SentAt);
  }
  for (const auto &[id, since] : waitingSince) {
    WatchedUpstream &upstream = Upstreams[id];
    if (now - since >= SilenceLimit && now - upstream.AliveAt >= SilenceLimit &&
        now - upstream.CheckedAt >= CheckInterval)
      check(upstream, now);
  }
  for (auto it = Upstreams.begin(); it != Upstreams.end();)
    it = isOpenOrRecent(it->second, now) ? std::next(it) : Upstreams.erase(it);
}

void UpstreamCrashMonitor::withdraw(const PromptQuarantine &quarantine) {
  std::vector<std::function<void()>> withdrawn;
  for (const auto &[id, send] : Sends) {
    const ServiceId &service = Upstreams[send.Upstream].Record.OfService;
    if (quarantine.isCallQuarantined(service, send.Fingerprint) ||
        (!send.IsPastBegin && quarantine.matching(service, send.Prompt)))
      withdrawn.push_back(send.Withdraw);
  }
  for (const auto &it : withdrawn)
    it();
}

} // namespace sorrelbay
