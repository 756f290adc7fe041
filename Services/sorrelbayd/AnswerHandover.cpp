#include "AnswerHandover.h"
#include "LibBase/LogLine.h"
#include "LibCaller/Problem.h"
#include <utility>

namespace sorrelbay {

const char *const HandoverKind = "answer-handover";

AnswerHandover::AnswerHandover(const DaemonSettings &settings,
                               BundleStore &bundles, LiveAnswers &answers,
                               ModelCalls &models, OpenCalls &open)
    : Settings(settings), Bundles(bundles), Answers(answers), Models(models),
      Open(open), AnswerWorkers(settings.MaxOpenCalls) {}

void AnswerHandover::handOverAll(const Peers &peers, const Forward &forward) {
  const std::vector<HandoverPeer> known = peers();
  for (const auto &it : Answers.all())
    if (it->CallRequest.Call.WantsStream)
      handOver(*it, orderPeers(it->CallRequest.Id, Settings.Zone, known),
               forward);
}

void AnswerHandover::handOver(LiveAnswer &answer,
                              const std::vector<HandoverPeer> &peers,
                              const Forward &forward) const {
  const auto state = answer.freeze();
  if (!state)
    return;
  const std::vector<std::uint8_t> bytes = encodeHandover(*state);
  const std::string body(bytes.begin(), bytes.end());
  for (const HandoverPeer &it : peers) {
    try {
      forward(it.Host, body);
    } catch (const Error &error) {
      // If only the response was lost, that peer continues the answer without a
      // reader and soon abandons it; the caller is sent to the peer that
      // responded.
      LogLine(Severity::Warning, "answer not handed over")
          .field("request", answer.CallRequest.Id.text())
          .field("peer", it.Host.text())
          .field("error", error.what());
      continue;
    }
    LogLine(Severity::Info, "answer handed over")
        .field("request", answer.CallRequest.Id.text())
        .field("peer", it.Host.text())
        .field("trace_id", answer.CallRequest.Context.Trace.TraceId);
    answer.setMoved(movedNotice(answer.CallRequest.Id, {it}));
    return;
  }
  answer.unfreeze();
}

void AnswerHandover::acceptHandover(const std::string &body) {
  const Handover state = parseHandover({body.begin(), body.end()});
  const auto bundle = Bundles.current();
  const Route *route = bundle ? findRoute(*bundle, state.OnRoute) : nullptr;
  if (route == nullptr)
    throw HandoverRefused("no bundle in force here has this route");
  AnswerRequest callRequest;
  callRequest.Id = state.Request;
  callRequest.Context.FromTeam = state.Team;
  callRequest.Context.OnRoute = state.OnRoute;
  callRequest.Context.Deadline = state.Deadline;
  callRequest.Context.Trace = parseTraceParent(state.TraceParent);
  try {
    callRequest.Call = parseModelCall(state.Body);
  } catch (const Problem &problem) {
    throw HandoverRefused(problem.what());
  }
  callRequest.OnRoute = *route;
  callRequest.Version = state.Version;
  callRequest.Arrival = now();
  const auto answer = std::make_shared<LiveAnswer>(
      callRequest,
      AnswerStream(state.Request, state.Tokens, state.LastAttempt));
  Answers.add(answer);
  Open.beginReconnect();
  AnswerWorkers.enqueue(
      [this, answer, at = state.At] { Models.adopt(*answer, at); });
}

void AnswerHandover::stop() { AnswerWorkers.shutdown(); }

} // namespace sorrelbay
