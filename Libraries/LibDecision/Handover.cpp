#include "LibDecision/Handover.h"
#include "LibBase/Hash.h"
#include "LibBase/JsonList.h"
#include <algorithm>
#include <nlohmann/json.hpp>
#include <tuple>
#include <utility>

namespace sorrelbay {

using Json = nlohmann::json;

bool operator==(const Handover &a, const Handover &b) {
  return std::tie(a.Request, a.Team, a.OnRoute, a.Version, a.Body, a.Tokens,
                  a.LastAttempt, a.At, a.Deadline, a.TraceParent) ==
         std::tie(b.Request, b.Team, b.OnRoute, b.Version, b.Body, b.Tokens,
                  b.LastAttempt, b.At, b.Deadline, b.TraceParent);
}

std::vector<std::uint8_t> encodeHandover(const Handover &handover) {
  // A token is an arbitrary byte sequence and may end within a UTF-8 character.
  Json tokens = Json::array();
  for (const std::string &it : handover.Tokens)
    tokens.push_back(Json::binary({it.begin(), it.end()}));
  return Json::to_cbor(
      Json{{"request", handover.Request.text()},
           {"team", handover.Team.text()},
           {"route", handover.OnRoute.text()},
           {"version", handover.Version.text()},
           {"body", Json::binary({handover.Body.begin(), handover.Body.end()})},
           {"tokens", tokens},
           {"last_attempt", handover.LastAttempt},
           {"at", handover.At.text()},
           {"deadline_ms", toEpochMilliseconds(handover.Deadline)},
           {"traceparent", handover.TraceParent}});
}

static std::string bytesOf(const Json &value) {
  const auto &bytes = value.get_binary();
  return {bytes.begin(), bytes.end()};
}

Handover parseHandover(const std::vector<std::uint8_t> &message) {
  Handover handover;
  try {
    const Json map = parseCbor({message.begin(), message.end()});
    handover.Request = RequestId(map.at("request").get<std::string>());
    handover.Team = TeamId(map.at("team").get<std::string>());
    handover.OnRoute = RouteId(map.at("route").get<std::string>());
    handover.Version = VersionId(map.at("version").get<std::string>());
    handover.Body = bytesOf(map.at("body"));
    for (const Json &it : map.at("tokens"))
      handover.Tokens.push_back(bytesOf(it));
    handover.LastAttempt = map.at("last_attempt").get<AnswerAttempt>();
    handover.At = UpstreamId(map.at("at").get<std::string>());
    handover.Deadline =
        fromEpochMilliseconds(map.at("deadline_ms").get<std::int64_t>());
    handover.TraceParent = map.at("traceparent").get<std::string>();
  } catch (const Json::exception &e) {
    throw HandoverRefused(std::string("invalid handover: ") + e.what());
  }
  if (handover.Request.empty())
    throw HandoverRefused("invalid handover: the request id is empty");
  if (!handover.Tokens.empty() && handover.LastAttempt == 0)
    throw HandoverRefused("invalid handover: it has tokens but no attempt");
  return handover;
}

std::vector<HandoverPeer> orderPeers(const RequestId &request,
                                     const ZoneId &ownZone,
                                     std::vector<HandoverPeer> peers) {
  peers.erase(
      std::remove_if(peers.begin(), peers.end(),
                     [](const HandoverPeer &it) { return it.IsLeaving; }),
      peers.end());
  auto rank = [&](const HandoverPeer &it) {
    return std::make_tuple(
        it.Zone == ownZone,
        stableHash(request.text(), stableHash(it.Host.text())));
  };
  std::sort(peers.begin(), peers.end(),
            [&rank](const HandoverPeer &a, const HandoverPeer &b) {
              return rank(a) < rank(b);
            });
  return peers;
}

std::string movedNotice(const RequestId &request,
                        const std::vector<HandoverPeer> &peers) {
  Json addresses = Json::array();
  for (const HandoverPeer &it : peers)
    addresses.push_back(it.CallerAddress);
  return Json{{"request", request.text()}, {"addresses", addresses}}.dump();
}

} // namespace sorrelbay
