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
      Open(open), Makers(settings.MaxOpenCalls) {}

void AnswerHandover::handOverAll(const Peers &peers, const Forward &forward) {
  const std::vector<HandoverPeer> known = peers();
  for (const auto &it : Answers.all())
    if (it->What.Call.WantsStream)
      give(*it, orderPeers(it->What.Id, Settings.Zone, known), forward);
}

void AnswerHandover::give(LiveAnswer &answer,
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
      // If only the reply was lost, that peer makes the answer for nobody and
      // soon gives it up; the caller is sent to the one that replied.
      LogLine(Severity::Warning, "answer not handed over")
          .field("request", answer.What.Id.text())
          .field("peer", it.Host.text())
          .field("error", error.what());
      continue;
    }
    LogLine(Severity::Info, "answer handed over")
        .field("request", answer.What.Id.text())
        .field("peer", it.Host.text())
        .field("trace_id", answer.What.Context.Trace.TraceId);
    answer.setMoved(movedNotice(answer.What.Id, {it}));
    return;
  }
  answer.unfreeze();
}

void AnswerHandover::take(const std::string &body) {
  const Handover state = parseHandover({body.begin(), body.end()});
  const auto bundle = Bundles.current();
  const Route *route = bundle ? findRoute(*bundle, state.OnRoute) : nullptr;
  if (route == nullptr)
    throw HandoverRefused("no bundle in force here has this route");
  AnswerRequest what;
  what.Id = state.Request;
  what.Context.FromTeam = state.Team;
  what.Context.OnRoute = state.OnRoute;
  what.Context.Deadline = state.Deadline;
  what.Context.Trace = parseTraceParent(state.TraceParent);
  try {
    what.Call = parseModelCall(state.Body);
  } catch (const Problem &problem) {
    throw HandoverRefused(problem.what());
  }
  what.OnRoute = *route;
  what.Version = state.Version;
  what.Arrival = now();
  const auto answer = std::make_shared<LiveAnswer>(
      what, AnswerStream(state.Request, state.Tokens, state.LastAttempt));
  Answers.add(answer);
  Open.beginAgain();
  Makers.enqueue([this, answer, at = state.At] { Models.adopt(*answer, at); });
}

void AnswerHandover::stop() { Makers.shutdown(); }

} // namespace sorrelbay
