#include "CallLog.h"
#include "LibBase/LogLine.h"

namespace sorrelbay {

static constexpr const char *InsideEvent = "inside_event";

static void countCall(GatewayState &state, const CallRecord &record) {
  const char *result = *record.Cause == 0 ? record.Outcome : record.Cause;
  if (!record.RelayedFrom.empty())
    return state.Counts.countRelayedCall("received", result);
  const std::string route = record.Route ? record.Route->Name.text() : "";
  state.Counts.countCall(route, result);
  const CallSend &send = *record.LastSend;
  if (send.Head.Status != 0)
    state.Counts.countResponse(toText(send.Head.Framing),
                               record.EndedInsideEvent ? InsideEvent
                               : *record.Cause == 0    ? "complete"
                                                       : record.Cause);
  if (record.FirstByteAt == Instant{})
    return;
  state.Counts.observeFirstToken(route, record.FirstByteAt - record.ReceivedAt);
  if (send.Expected.FirstToken > Duration::zero())
    state.Counts.observeExpectedFirstToken(route, send.Expected.FirstToken);
}

static void addTeam(LogLine &line, GatewayState &state,
                    const CallRecord &record) {
  static constexpr int TooManyRequests = 429;
  const ServingTeam &team = *record.Team;
  line.field("team", team.Name.text()).field("units", record.Units);
  if (record.Class.Count > 1)
    line.field("class", static_cast<std::int64_t>(record.Class.Rank));
  if (record.Status == TooManyRequests)
    line.field("level", state.RateLimiters[team.Name].level())
        .field("rate", team.Rate)
        .field("burst", team.Burst);
}

/// What the last send's response states, where it is not what the caller got.
static void addResponse(LogLine &line, const CallRecord &record) {
  const HttpReplyHead &head = record.LastSend->Head;
  line.field("framing", toText(head.Framing));
  if (head.Status == record.Status)
    return;
  line.field("upstream_status", static_cast<std::int64_t>(head.Status))
      .field("first_on_connection",
             static_cast<std::int64_t>(head.IsFirstOnConnection))
      .field("named_call", record.LastSend->ReplyInfo.Id);
}

static void addSends(LogLine &line, const CallRecord &record) {
  if (record.Sends)
    line.field("sends", static_cast<std::int64_t>(*record.Sends))
        .field("failed_connects",
               static_cast<std::int64_t>(record.FailedConnects));
  if (record.Waited > Duration::zero())
    line.field("waited_ms", toMilliseconds(record.Waited));
  const CallSend &send = *record.LastSend;
  if (!send.Replica.empty())
    line.field("upstream", send.Replica.text());
  if (send.Head.Status != 0)
    addResponse(line, record);
  if (record.EndedInsideEvent)
    line.field("response_end", InsideEvent);
  if (!send.Peer.empty())
    line.field("relayed_to", send.Peer.text());
  if (!record.RelayedFrom.empty())
    line.field("relayed_from", record.RelayedFrom.text());
  const ReplicaChoice &expected = send.Expected;
  if (expected.FirstToken > Duration::zero())
    line.field("expected_wait_ms", toMilliseconds(expected.Wait))
        .field("expected_first_byte_ms", toMilliseconds(expected.FirstToken))
        .field("tokens_to_read", expected.TokensToPrefill)
        .field("tokens_ahead", expected.TokensAhead);
}

void recordCall(GatewayState &state, const CallRecord &record, Instant now) {
  countCall(state, record);
  const bool isGood = record.Status / 100 == 2 && *record.Cause == 0;
  LogRateLimiter &budget =
      isGood ? state.SuccessLogBudget : state.FailureLogBudget;
  if (!budget.take(now))
    return;
  LogLine line(isGood ? Severity::Info : Severity::Warning, "call");
  line.field("id", record.Call->Id)
      .field("outcome", record.Outcome)
      .field("status", static_cast<std::int64_t>(record.Status))
      .field("cause", record.Cause)
      .field("ms", toMilliseconds(now - record.ReceivedAt));
  if (!isGood && !record.Call->Fingerprint.empty())
    line.field("fingerprint", record.Call->Fingerprint);
  if (!record.Call->LastEventId.empty())
    line.field("resumed_after", record.Call->LastEventId);
  if (record.Events != 0)
    line.field("events", static_cast<std::int64_t>(record.Events));
  if (record.Route)
    line.field("route", record.Route->Name.text());
  if (record.Team)
    addTeam(line, state, record);
  addSends(line, record);
  if (record.FirstByteAt != Instant{})
    line.field("first_byte_ms",
               toMilliseconds(record.FirstByteAt - record.ReceivedAt));
  if (record.Plan)
    line.field("plan", static_cast<std::int64_t>(record.Plan->plan().Version))
        .field("plan_age_ms", toMilliseconds(state.planAge(now)));
}

} // namespace sorrelbay
