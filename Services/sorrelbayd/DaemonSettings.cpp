#include "DaemonSettings.h"
#include "LibBase/TomlReader.h"
#include <algorithm>
#include <arpa/inet.h>

namespace sorrelbay {

namespace {

constexpr std::size_t MinPeerSecret = 16;
constexpr std::size_t PublicKeyHexDigits = 64;
constexpr std::int64_t MaxPort = 65535;

bool isAddress(const std::string &text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon + 1 == text.size())
    return false;
  in_addr host{};
  if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &host) != 1)
    return false;
  const std::string port = text.substr(colon + 1);
  const bool isNumber =
      port.find_first_not_of("0123456789") == std::string::npos;
  return isNumber && port.size() <= 5 && std::stol(port) <= MaxPort;
}

std::string requiredAddress(TomlReader &reader, const char *key) {
  std::string out = reader.requiredText(key);
  if (reader.has(key) && !isAddress(out))
    reader.addFault(key, "must be an IP address and a port, as 10.0.0.1:8080");
  return out;
}

bool isPublicKey(const std::string &text) {
  return text.size() == PublicKeyHexDigits &&
         text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

void readPeer(TomlReader peer, DaemonSettings &out) {
  out.PeerListen = requiredAddress(peer, "listen");
  out.Peers = peer.texts("seeds");
  if (!std::all_of(out.Peers.begin(), out.Peers.end(), isAddress))
    peer.addFault("seeds", "must hold only addresses, as 10.0.0.1:8081");
  out.PeerSecret = peer.requiredText("secret");
  if (peer.has("secret") && out.PeerSecret.size() < MinPeerSecret)
    peer.addFault("secret", "must have at least " +
                                std::to_string(MinPeerSecret) + " characters");
}

void readLimits(TomlReader limits, DaemonSettings &out) {
  out.Workers =
      static_cast<std::size_t>(limits.integer("workers", 700, 4, 10'000));
  out.MaxBodyBytes = static_cast<std::size_t>(
      limits.integer("max_body_bytes", 1'048'576, 1024, 67'108'864));
  out.MaxOpenCalls = static_cast<std::size_t>(
      limits.integer("max_open_calls", 600, 1, 10'000));
  if (out.MaxOpenCalls >= out.Workers)
    limits.addFault("max_open_calls",
                    "must be below workers; otherwise refusals and health "
                    "checks would wait for open calls to end");
}

void readTimes(TomlReader times, DaemonSettings &out) {
  const auto read = [&times](const char *key, std::int64_t defaultValue,
                             std::int64_t low, std::int64_t high) {
    return milliseconds(times.integer(key, defaultValue, low, high));
  };
  out.ObjectApiTimeout = read("object_api_timeout_ms", 1000, 10, 60'000);
  out.EngineSilenceTimeout = read("engine_silence_ms", 5000, 50, 600'000);
  out.DeskTimeout = read("desk_timeout_ms", 5000, 10, 600'000);
  out.PollInterval = read("poll_interval_ms", 500, 10, 60'000);
  out.WatchTimeout = read("watch_patience_ms", 5000, 10, 30'000);
  out.AddressTimeToLive = read("address_ttl_ms", 5000, 100, 3'600'000);
  out.StopGrace = read("stop_grace_ms", 30'000, 0, 3'600'000);
}

void readRecovery(TomlReader recovery, RecoverySettings &out) {
  const auto read = [&recovery](const char *key, std::uint32_t defaultValue,
                                std::int64_t low) {
    return static_cast<std::uint32_t>(
        recovery.integer(key, defaultValue, low, 1000));
  };
  out.TokensPerSecond =
      recovery.number("tokens_per_second", out.TokensPerSecond, 1, 100'000);
  out.PrefillTokensPerSecond = recovery.number(
      "prefill_tokens_per_second", out.PrefillTokensPerSecond, 1, 10'000'000);
  out.CacheBytesPerToken =
      recovery.number("cache_bytes_per_token", out.CacheBytesPerToken, 1, 1e9);
  out.MoveBytesPerSecond =
      recovery.number("move_bytes_per_second", out.MoveBytesPerSecond, 1, 1e12);
  out.MovesPerSource = read("moves_per_source", out.MovesPerSource, 0);
  out.MovesTogether = read("moves_together", out.MovesTogether, 0);
  out.PrefillsTogether = read("prefills_together", out.PrefillsTogether, 1);
}

} // namespace

DaemonSettings parseDaemonSettings(const std::string &text,
                                   const std::string &file) {
  TomlReader root = TomlReader::parse(text, file);
  DaemonSettings out;
  out.Host = HostId(root.requiredText("host"));
  out.Zone = ZoneId(root.requiredText("zone"));
  out.Listen = requiredAddress(root, "listen");
  out.Platform = requiredAddress(root, "platform");
  out.OperatorKeys = root.texts("operator_keys");
  if (out.OperatorKeys.empty())
    root.addFault("operator_keys", "must name at least one accepted key");
  if (!std::all_of(out.OperatorKeys.begin(), out.OperatorKeys.end(),
                   isPublicKey))
    root.addFault("operator_keys",
                  "must hold only public keys of 64 hexadecimal digits");
  readPeer(root.table("peer"), out);
  readLimits(root.table("limits"), out);
  readTimes(root.table("times"), out);
  readRecovery(root.table("recovery"), out.Recovery);
  out.WritesSpans = root.table("traces").boolean("enabled", false);
  root.finish();
  return out;
}

} // namespace sorrelbay
