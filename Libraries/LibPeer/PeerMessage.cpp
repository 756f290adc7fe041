#include "LibPeer/PeerMessage.h"
#include "LibBase/JsonList.h"
#include "LibPeer/RolloutCodec.h"
#include "LibPeer/RolloutJson.h"
#include <nlohmann/json.hpp>

namespace sorrelbay {

namespace {

using nlohmann::json;

/// The names of the message kinds on the wire, in the order of the variant.
constexpr const char *KindNames[] = {"hello", "proof",   "heartbeat", "alive",
                                     "news",  "request", "reply"};
static_assert(std::size(KindNames) == std::variant_size_v<PeerMessage>);

json binary(const std::string &bytes) {
  return json::binary({bytes.begin(), bytes.end()});
}

std::string bytesAt(const json &from, const char *key) {
  const auto &bytes = from.at(key).get_binary();
  return {bytes.begin(), bytes.end()};
}

std::string textAt(const json &from, const char *key) {
  return from.at(key).get<std::string>();
}

json timeToJson(Instant at) { return at.time_since_epoch().count(); }

Instant timeFromJson(const json &from) {
  return Instant(Duration(from.get<std::int64_t>()));
}

json toJson(const HostReport &report) {
  json inFlight = json::object();
  for (const auto &[upstream, count] : report.InFlight)
    inFlight[upstream.text()] = count;
  return {{"zone", report.Zone.text()},
          {"incarnation", report.Incarnation.text()},
          {"peer_address", report.PeerAddress},
          {"caller_address", report.CallerAddress},
          {"started_at", timeToJson(report.StartedAt)},
          {"sequence", report.Sequence},
          {"leaving", report.IsLeaving},
          {"in_flight", inFlight}};
}

HostReport reportFromJson(const json &from) {
  HostReport report;
  report.Zone = ZoneId(textAt(from, "zone"));
  report.Incarnation = IncarnationId(textAt(from, "incarnation"));
  report.PeerAddress = textAt(from, "peer_address");
  report.CallerAddress = textAt(from, "caller_address");
  report.StartedAt = timeFromJson(from.at("started_at"));
  from.at("sequence").get_to(report.Sequence);
  from.at("leaving").get_to(report.IsLeaving);
  for (const auto &it : from.at("in_flight").items())
    report.InFlight[UpstreamId(it.key())] = it.value().get<std::uint32_t>();
  return report;
}

RolloutKnowledge rolloutFromPeer(const json &from) {
  try {
    return rolloutFromJson(from);
  } catch (const RolloutKnowledgeMalformed &error) {
    throw PeerMessageRefused(error.what());
  }
}

json toJson(const PeerKnowledge &knowledge) {
  json out = json::object();
  if (knowledge.Bundle.Generation != 0)
    out["bundle"] = {{"generation", knowledge.Bundle.Generation},
                     {"signed", binary(knowledge.Bundle.Signed)}};
  for (const auto &[upstream, until] : knowledge.Leaving)
    out["leaving"][upstream.text()] = timeToJson(until);
  for (const auto &[host, report] : knowledge.Hosts)
    out["hosts"][host.text()] = toJson(report);
  if (!isEmpty(knowledge.Rollout))
    out["rollout"] = rolloutToJson(knowledge.Rollout);
  return out;
}

PeerKnowledge knowledgeFromJson(const json &from) {
  PeerKnowledge knowledge;
  if (from.contains("bundle")) {
    const json &bundle = from.at("bundle");
    bundle.at("generation").get_to(knowledge.Bundle.Generation);
    knowledge.Bundle.Signed = bytesAt(bundle, "signed");
  }
  if (from.contains("leaving"))
    for (const auto &it : from.at("leaving").items())
      knowledge.Leaving[UpstreamId(it.key())] = timeFromJson(it.value());
  if (from.contains("hosts"))
    for (const auto &it : from.at("hosts").items())
      knowledge.Hosts[HostId(it.key())] = reportFromJson(it.value());
  if (from.contains("rollout"))
    knowledge.Rollout = rolloutFromPeer(from.at("rollout"));
  return knowledge;
}

json toJson(const PeerHello &hello) {
  return {{"host", hello.Host.text()},
          {"incarnation", hello.Incarnation.text()},
          {"nonce", binary(hello.Nonce)}};
}
json toJson(const PeerProof &proof) { return {{"code", binary(proof.Code)}}; }
json toJson(const PeerHeartbeat &it) {
  return {{"asked_at", timeToJson(it.HeartbeatSentAt)}};
}
json toJson(const PeerHeartbeatReply &it) {
  return {{"asked_at", timeToJson(it.HeartbeatSentAt)}};
}
json toJson(const PeerUpdate &peerUpdate) {
  return {{"knowledge", toJson(peerUpdate.Knowledge)}};
}
json toJson(const PeerRequest &request) {
  return {{"number", request.Number},
          {"service", request.Kind},
          {"body", binary(request.Body)}};
}
json toJson(const PeerReply &reply) {
  return {{"number", reply.Number},
          {"done", reply.IsDone},
          {"body", binary(reply.Body)}};
}

PeerMessage messageFromJson(const std::string &kind, const json &from) {
  if (kind == "hello")
    return PeerHello{HostId(textAt(from, "host")),
                     IncarnationId(textAt(from, "incarnation")),
                     bytesAt(from, "nonce")};
  if (kind == "proof")
    return PeerProof{bytesAt(from, "code")};
  if (kind == "heartbeat")
    return PeerHeartbeat{timeFromJson(from.at("asked_at"))};
  if (kind == "alive")
    return PeerHeartbeatReply{timeFromJson(from.at("asked_at"))};
  if (kind == "news")
    return PeerUpdate{knowledgeFromJson(from.at("knowledge"))};
  if (kind == "request")
    return PeerRequest{from.at("number").get<std::uint64_t>(),
                       textAt(from, "service"), bytesAt(from, "body")};
  if (kind == "reply")
    return PeerReply{from.at("number").get<std::uint64_t>(),
                     from.at("done").get<bool>(), bytesAt(from, "body")};
  throw PeerMessageRefused("peer message has an unknown kind");
}

} // namespace

std::string encodePeerMessage(const PeerMessage &message) {
  json value = std::visit([](const auto &it) { return toJson(it); }, message);
  value["kind"] = KindNames[message.index()];
  std::string out;
  json::to_cbor(value, out);
  return out;
}

PeerMessage decodePeerMessage(const std::string &bytes) {
  try {
    const json value = parseCbor(bytes);
    return messageFromJson(textAt(value, "kind"), value);
  } catch (const json::exception &error) {
    throw PeerMessageRefused(std::string("peer message can't be decoded: ") +
                             error.what());
  }
}

} // namespace sorrelbay
