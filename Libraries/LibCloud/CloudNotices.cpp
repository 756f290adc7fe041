#include "LibCloud/CloudNotices.h"
#include "LibBase/JsonList.h"
#include "LibBase/LogLine.h"
#include "LibHttp/HttpClient.h"
#include <nlohmann/json.hpp>

namespace sorrelbay {

using Json = nlohmann::json;

static constexpr int StatusOk = 200;
static constexpr Duration NetworkAllowance = seconds(1);

static ReclaimNotice parseNotice(const Json &json) {
  ReclaimNotice notice;
  notice.Sequence = json.at("sequence").get<std::uint64_t>();
  notice.Address = json.at("address").get<std::string>();
  notice.ReclaimAt =
      fromEpochMilliseconds(json.at("goes_at_ms").get<std::int64_t>());
  return notice;
}

std::vector<ReclaimNotice> parseReclaimNotices(const std::string &text) {
  const auto list = parseJsonArray(text, "sequence");
  if (!list)
    throw CloudUnavailable("the notices are not a JSON array");
  std::vector<ReclaimNotice> out;
  for (const JsonListEntry &it : *list) {
    try {
      out.push_back(parseNotice(it.Value.value_or(Json())));
    } catch (const Json::exception &error) {
      LogLine(Severity::Warning, "skipped a malformed reclaim notice")
          .field("why", error.what());
    }
  }
  // The caller would ask again at once for what follows those that it knows.
  if (out.empty() && !list->empty())
    throw CloudUnavailable("all notices are malformed");
  return out;
}

std::vector<ReclaimNotice> fetchReclaimNotices(const std::string &platform,
                                               std::uint64_t known,
                                               Duration waitLimit) {
  HttpCall call;
  call.Path = "/v1/cloud/notices?after=" + std::to_string(known) +
              "&timeout_ms=" + std::to_string(toMilliseconds(waitLimit));
  call.ReadTimeout = waitLimit + NetworkAllowance;
  std::vector<ReclaimNotice> out;
  try {
    const HttpReply reply = sendOnce(platform, call);
    if (reply.Status != StatusOk)
      throw CloudUnavailable("the cloud API responded with status " +
                             std::to_string(reply.Status));
    out = parseReclaimNotices(reply.Body);
  } catch (const Json::exception &error) {
    throw CloudUnavailable(error.what());
  } catch (const HttpNotSent &error) {
    throw CloudUnavailable(error.what());
  } catch (const HttpOutcomeUnknown &error) {
    throw CloudUnavailable(error.what());
  }
  return out;
}

} // namespace sorrelbay
