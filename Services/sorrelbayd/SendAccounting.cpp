#include "SendAccounting.h"
#include "LibBase/BootClock.h"
#include "LibBase/LogLine.h"
#include "ResponseStatements.h"
#include <algorithm>

namespace sorrelbay {

/// A shorter wait for the first byte is not slow, whatever is usual.
static constexpr Duration MinSlowFirstByte = milliseconds(20);

SendAccounting::SendAccounting(GatewayState &state, SentCall sent)
    : State(state), Sent(std::move(sent)) {
  ExpectedCost.Tokens =
      Sent.Call.PromptTokens.value_or(0) + Sent.Call.MaxOutputTokens;
}

void SendAccounting::noteChosen(const CallSend &send) {
  HasRecorded = false;
  ExpectedCost.PromptTokens = send.Expected.TokensToPrefill;
  State.Replicas.noteSent(send.Replica, ExpectedCost, send.At);
  State.Waiting.noteOpened(Sent.Service);
  State.Replicas.notePrompt(send.Replica, Sent.Call.Prompt, send.At);
}

void SendAccounting::noteConnect(const CallSend &send, ConnectResult result) {
  const Instant now = bootNow();
  State.NoteConnect(Sent.Service, send.Replica, result);
  if (result == ConnectResult::Connected)
    State.Crashes.noteConnected(send.Replica);
  if (result == ConnectResult::Connected || !State.ConnectLogBudget.take(now))
    return;
  LogLine(Severity::Warning, "upstream connection failed")
      .field("id", Sent.Call.Id)
      .field("upstream", send.Replica.text())
      .field("why", toText(result))
      .field("ms", toMilliseconds(now - send.At));
}

void SendAccounting::noteSending(CallSend &send,
                                 std::function<void()> onQuarantined) {
  send.IsWaiting = true;
  State.Paths.noteSent(Sent.Service, send.SentAt);
  State.WatchForSilence();
  send.WatchId = State.Crashes.begin(*State.Replicas.find(send.Replica),
                                     Sent.Call, std::move(onQuarantined));
}

void SendAccounting::noteReceived(CallSend &send) {
  State.Paths.noteReceived(Sent.Service, bootNow());
  endWait(send);
}

void SendAccounting::endWait(CallSend &send) {
  if (send.IsWaiting)
    State.Paths.noteWaitEnded(Sent.Service, send.SentAt);
  send.IsWaiting = false;
}

void SendAccounting::noteFirstByte(const CallSend &send, bool isSuccessful) {
  const Instant now = send.FirstByteAt;
  State.Replicas.noteFirstByte(send.Replica, ExpectedCost);
  const bool isPrefillDone =
      Sent.Route.IsStream && isSuccessful && !send.ReplyInfo.DidNotRun;
  if (isPrefillDone && Sent.Call.PromptTokens && !State.wasStalled(now))
    State.Replicas.noteFirstToken(
        send.Replica,
        {send.Expected.TokensToPrefill + send.Expected.TokensAhead,
         now - send.At},
        now);
  if (send.ReplyInfo.DidNotRun)
    return;
  noteCallStarted(send);
  if (!isSuccessful)
    return;
  if (!State.wasStalled(now))
    noteTimeToFirstByte(send.Expected.FirstToken, now - send.At);
  recordFirstByte(send);
}

void SendAccounting::noteTimeToFirstByte(Duration expected, Duration took) {
  if (Sent.Call.PromptTokens)
    State.Times.noteFirstToken(Sent.Service, Sent.Priority, expected, took);
  else
    State.Times.noteResponse(Sent.Service, took);
}

/// Records how long the send took. One that was ended before its first byte or
/// its last shows that it would have taken at least that long: if only
/// responses counted, estimates would fall below what callers wait for.
void SendAccounting::noteTimes(const CallSend &send, SendResult result) {
  const Instant now = bootNow();
  if (result == SendResult::Rejected || State.wasStalled(now) ||
      !send.WasSending)
    return;
  const bool isAnswered = result == SendResult::Answered;
  if (send.HasFirstByte)
    noteOutputTime(send, isAnswered);
  else if (!isAnswered)
    noteTimeWithoutFirstByte(send.Expected.FirstToken, now - send.At);
}

void SendAccounting::noteTimeWithoutFirstByte(Duration expected,
                                              Duration waited) {
  const Duration usual =
      Sent.Call.PromptTokens
          ? State.Times.firstToken(Sent.Service, Sent.Priority, expected)
          : State.Times.response(Sent.Service);
  if (usual > Duration::zero() && waited > usual)
    noteTimeToFirstByte(expected, waited);
}

/// A caller that reads slowly, or has the beginning already, shows nothing of
/// the engine.
void SendAccounting::noteOutputTime(const CallSend &send, bool isWhole) {
  if (!Sent.Call.PromptTokens || send.IsDiscarded || send.WasPaused ||
      send.IsContinuation)
    return;
  const std::int64_t tokens = Sent.Call.MaxOutputTokens;
  const Duration took = bootNow() - send.FirstByteAt;
  if (isWhole || took > State.Times.output(Sent.Service, tokens))
    State.Times.noteOutput(Sent.Service, tokens, took);
}

/// Records for the send's version whether the response began in time. Streams
/// may go on for long, too long to wait for their ends.
void SendAccounting::recordFirstByte(const CallSend &send) {
  HasRecorded = true;
  const Duration took = send.FirstByteAt - send.At;
  const double multiple = toSeconds(took) * 1000 / expectedFirstByte(send);
  const bool isOverTarget = Sent.Route.LatencyTarget > Duration::zero() &&
                            took > Sent.Route.LatencyTarget;
  const bool isComparable = !State.wasStalled(send.FirstByteAt);
  const bool isSlow =
      isComparable && took >= MinSlowFirstByte &&
      State.FirstBytes.isSlow(Sent.Service, Sent.Route.Name, multiple);
  if (isComparable && !State.IsRolloutTarget(Sent.Service, send.OfVersion))
    State.FirstBytes.note(Sent.Service, Sent.Route.Name, multiple);
  State.RecordOutcome(Sent.Service, send.OfVersion, Sent.Route.Name,
                      isOverTarget || isSlow ? UpstreamOutcome::Late
                                             : UpstreamOutcome::Good);
}

/// The time in milliseconds to the first byte at an engine of usual speed that
/// has nothing of the call cached; 1 for a call without a prompt.
double SendAccounting::expectedFirstByte(const CallSend &send) const {
  if (!Sent.Call.PromptTokens)
    return 1;
  const EngineModel &model = State.Replicas.modelOf(Sent.Service);
  const std::int64_t tokens =
      send.Expected.TokensAhead + *Sent.Call.PromptTokens;
  return std::max(1.0, model.base() +
                           model.prefillTime(static_cast<double>(tokens)));
}

void SendAccounting::noteStatements(const CallSend &send,
                                    const UpstreamReplyInfo &replyInfo,
                                    StatementSource source) {
  ResponseStatements(State, {send.Replica, Sent.Call.Id, send.At, send.SentAt,
                             source.IsSuccessful, source.IsForThisCall})
      .apply(replyInfo);
}

void SendAccounting::noteCallStarted(const CallSend &send) {
  if (IsCounted || !Sent.Team || !send.Peer.empty())
    return;
  IsCounted = true;
  State.Usage.noteCallStarted(
      Sent.Team->Name,
      State.Time.at(Sent.Route.IsStream ? bootNow() : send.At));
}

void SendAccounting::noteEnded(CallSend &send, SendResult result) {
  endWait(send);
  State.Crashes.end(send.WatchId, send.watchedEnd(result));
  if (result == SendResult::Broken && send.WasSending)
    State.Paths.noteBroken(Sent.Service, bootNow());
  // Without a path to its upstreams, this host has no evidence against them.
  if (result == SendResult::Broken &&
      State.Paths.wasUnreachable(Sent.Service, send.At))
    result = SendResult::Inconclusive;
  recordOutcome(send, result);
  noteTimes(send, result);
  const Instant now = bootNow();
  State.Replicas.noteEnded(send.Replica, ExpectedCost, send.HasFirstByte,
                           result, now);
  State.Waiting.noteEnded(Sent.Service, {result, send.At}, now);
}

/// Records the send's outcome for its version while the service is being
/// rolled out.
void SendAccounting::recordOutcome(const CallSend &send, SendResult result) {
  if (result == SendResult::Rejected || result == SendResult::Inconclusive ||
      !send.WasSending)
    return;
  if (result == SendResult::Broken)
    return State.Failures.add(
        {Sent.Service, send.OfVersion, Sent.Route.Name, send.Replica},
        bootNow());
  const bool isAnswered = result == SendResult::Answered;
  if (!isAnswered || !HasRecorded)
    State.RecordOutcome(Sent.Service, send.OfVersion, Sent.Route.Name,
                        isAnswered ? UpstreamOutcome::Good
                                   : UpstreamOutcome::Failed);
}

} // namespace sorrelbay
