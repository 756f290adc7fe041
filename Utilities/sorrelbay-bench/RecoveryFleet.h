#pragma once

#include "LibDecision/RecoveryPlan.h"
#include <algorithm>
#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <vector>

namespace sorrelbay {

/// Faults of the connections between engines, entry host and callers; each
/// value is the probability of the fault for one token, or for the end of one
/// attempt.
struct WireFaults {
  double Lost = 0;
  double Late = 0;
  double Misrouted = 0;
  double Duplicated = 0;
  double Truncated = 0;
  /// The caller's connection breaks while events are in flight.
  double CallerCut = 0;
  /// The export or import of a KV cache fails.
  double MoveFails = 0;
};

/// How the open answers of a reclaimed engine are recovered.
enum class RecoveryPolicy {
  Planned,
  /// At the notice, restarts each answer from its prompt.
  RestartAll,
  /// At the notice, resumes each answer on the least loaded engine, which
  /// prefills the prompt and the tokens so far and continues after them.
  ResumeAtOnce,
  /// Waits until the engine has stopped; then as ResumeAtOnce.
  WaitUntilGone,
  /// Recovers no answer.
  Nothing,
};

/// A reclaim of engines: At is the time of the notice, and Notice the time from
/// then until the engines stop.
struct Reclaim {
  std::vector<std::size_t> Engines;
  Duration At{};
  Duration Notice{};
};

struct FleetSettings {
  std::size_t Engines = 9;
  std::size_t Zones = 4;
  /// Maximum number of concurrent answers that an engine serves within its
  /// latency target.
  std::uint32_t Capacity = 16;
  double Load = 0.6;
  /// Until this time, each answer that ends is followed by a new one if an
  /// engine that is not reclaimed has a free slot.
  Duration ArrivalsUntil{};
  RecoverySettings Recovery;
  RecoveryPolicy Policy = RecoveryPolicy::Planned;
  WireFaults Faults;
  /// Sends tokens to the caller as they arrive, without the checks of
  /// AnswerStream.
  bool SkipsTokenChecks = false;
  std::vector<Reclaim> Reclaims;
};

struct FleetResult {
  std::uint64_t Recomputed = 0;
  std::uint64_t Moved = 0;
  std::uint64_t Resumed = 0;
  /// Largest number of answers by which any engine exceeded its capacity.
  std::uint32_t MaxOverload = 0;
  /// Longest time between two tokens of an answer.
  Duration LongestGap{};
  std::uint64_t Answers = 0;
  /// Answers whose caller received exactly the expected text and one end.
  std::uint64_t Whole = 0;
};

/// Simulates engines that decode one token per step for each of their answers,
/// connections with faults, and callers that assemble the texts. The entry host
/// runs the product's decision code.
class RecoveryFleet {
public:
  RecoveryFleet(FleetSettings settings, std::uint64_t seed)
      : Settings(std::move(settings)), Random(seed), Plan(Settings.Recovery) {
    for (std::size_t i = 0; i < Settings.Engines; ++i) {
      Engines.push_back({UpstreamId("engine" + std::to_string(i)), {}, true});
      Plan.setUpstream(Engines[i].Id, zoneOf(i), Settings.Capacity);
    }
    const auto each =
        static_cast<std::size_t>(Settings.Capacity * Settings.Load);
    for (std::size_t i = 0; i < Settings.Engines * each; ++i)
      addAnswer(Engines[i % Settings.Engines], false);
  }

  /// Runs until all answers have ended, or for MaxSimulatedSteps steps.
  FleetResult run() {
    for (Step = 0; Step < MaxSimulatedSteps && Open > 0; ++Step)
      step();
    Result.Answers = Callers.size();
    for (std::size_t i = 0; i < Callers.size(); ++i)
      Result.Whole += isWhole(i) ? 1 : 0;
    return Result;
  }

  /// Indices of the zone's engines, for Reclaim::Engines.
  std::vector<std::size_t> enginesOf(std::size_t zone) const {
    std::vector<std::size_t> found;
    for (std::size_t i = zone; i < Settings.Engines; i += Settings.Zones)
      found.push_back(i);
    return found;
  }

private:
  static constexpr std::uint64_t MaxSimulatedSteps = 20000;
  /// Steps without progress after which an attempt counts as lost.
  static constexpr std::uint64_t MaxSilentSteps = 60;

  struct Attempt {
    std::size_t Caller;
    AnswerAttempt Number;
    std::uint64_t Offset;
    double PrefillLeft;
  };
  struct Engine {
    UpstreamId Id;
    std::vector<Attempt> Attempts;
    bool IsRunning;
  };
  struct Caller {
    AnswerStream Answer;
    OpenAnswer Description;
    std::uint64_t Length;
    std::vector<AnswerEvent> Received;
    std::uint64_t LastToken;
    /// Step of the last token, or of the last start or loss of an attempt.
    std::uint64_t LastProgress;
    bool AwaitsFirstToken;
    UpstreamId At;
  };
  struct Transfer {
    std::size_t Caller;
    UpstreamId From;
    UpstreamId To;
    std::uint64_t Tokens;
    std::uint64_t Done;
  };
  struct DelayedToken {
    std::size_t Receiver;
    ReceivedToken Token;
    std::uint64_t Due;
  };

  ZoneId zoneOf(std::size_t engine) const {
    return ZoneId("zone" + std::to_string(engine % Settings.Zones));
  }
  bool happens(double probability) {
    return probability > 0 &&
           std::uniform_real_distribution<>(0, 1)(Random) < probability;
  }
  std::uint64_t drawBetween(std::uint64_t low, std::uint64_t high) {
    return std::uniform_int_distribution<std::uint64_t>(low, high)(Random);
  }
  Duration stepTime() const {
    return fromSeconds(1 / Settings.Recovery.TokensPerSecond);
  }
  Instant at() const { return Instant(stepTime() * Step + hours(1)); }
  static std::string tokenText(std::size_t caller, std::uint64_t offset) {
    return std::to_string(caller) + ":" + std::to_string(offset) + " ";
  }
  Engine &engine(const UpstreamId &id) {
    return *std::find_if(Engines.begin(), Engines.end(),
                         [&](const Engine &it) { return it.Id == id; });
  }
  std::size_t callerOf(const RequestId &request) const {
    return std::stoul(request.text());
  }

  void addAnswer(Engine &at, bool isNew) {
    const std::size_t index = Callers.size();
    std::lognormal_distribution<> prompt(6.8, 0.7);
    std::lognormal_distribution<> length(5.6, 0.6);
    OpenAnswer open;
    open.Request = RequestId(std::to_string(index));
    open.PromptTokens = 50 + static_cast<std::uint64_t>(prompt(Random));
    const auto whole = 20 + static_cast<std::uint64_t>(length(Random));
    open.TokensSoFar = isNew ? 0 : drawBetween(0, whole - 1);
    // The entry host has only an estimate of the length.
    open.ExpectedLength = whole * drawBetween(70, 140) / 100;
    if (happens(0.3))
      open.Cached.push_back({Engines[drawBetween(0, Engines.size() - 1)].Id,
                             open.PromptTokens / 2});
    std::vector<std::string> tokens;
    for (std::uint64_t i = 0; i < open.TokensSoFar; ++i)
      tokens.push_back(tokenText(index, i));
    Callers.push_back({AnswerStream(open.Request, std::move(tokens), 0),
                       open,
                       whole,
                       {},
                       Step,
                       Step,
                       false,
                       at.Id});
    if (Settings.SkipsTokenChecks)
      for (std::uint64_t i = 0; i < open.TokensSoFar; ++i)
        Callers.back().Received.push_back({i, false, tokenText(index, i)});
    ++Open;
    Plan.open(open, at.Id);
    begin(index, at, open.TokensSoFar, isNew ? open.PromptTokens : 0);
    drain(index);
  }

  void begin(std::size_t caller, Engine &engine, std::uint64_t offset,
             double prefill) {
    const AnswerAttempt number = Callers[caller].Answer.beginAttempt();
    cancel(caller);
    Callers[caller].At = engine.Id;
    engine.Attempts.push_back({caller, number, offset, prefill});
    Callers[caller].LastProgress = Step;
    Callers[caller].AwaitsFirstToken = true;
    noteLoad(engine);
  }
  void cancel(std::size_t caller) {
    for (Engine &it : Engines)
      it.Attempts.erase(std::remove_if(it.Attempts.begin(), it.Attempts.end(),
                                       [caller](const Attempt &attempt) {
                                         return attempt.Caller == caller;
                                       }),
                        it.Attempts.end());
  }
  void noteLoad(const Engine &engine) {
    const auto n = static_cast<std::uint32_t>(engine.Attempts.size());
    if (n > Settings.Capacity)
      Result.MaxOverload = std::max(Result.MaxOverload, n - Settings.Capacity);
  }

  void step() {
    for (const Reclaim &it : Settings.Reclaims)
      reclaim(it);
    for (Engine &it : Engines)
      if (it.IsRunning)
        decode(it);
    deliverDelayed();
    finishTransfers();
    recoverSilentAttempts();
    if (Settings.Policy == RecoveryPolicy::Planned && Plan.isBusy())
      perform(Plan.tick(at()));
  }

  std::uint64_t stepOf(Duration time) const {
    return static_cast<std::uint64_t>(time / stepTime());
  }

  void reclaim(const Reclaim &reclaim) {
    if (Step == stepOf(reclaim.At))
      startNotice(reclaim);
    if (Step == stepOf(reclaim.At + reclaim.Notice))
      for (std::size_t it : reclaim.Engines)
        stopEngine(Engines[it]);
  }

  void startNotice(const Reclaim &reclaim) {
    std::vector<UpstreamId> ids;
    for (std::size_t it : reclaim.Engines) {
      ids.push_back(Engines[it].Id);
      Leaving.push_back(Engines[it].Id);
    }
    if (Settings.Policy == RecoveryPolicy::Planned)
      perform(Plan.notice(at(), ids, at() + reclaim.Notice));
    if (Settings.Policy == RecoveryPolicy::RestartAll ||
        Settings.Policy == RecoveryPolicy::ResumeAtOnce)
      for (std::size_t it : reclaim.Engines)
        for (const Attempt &attempt :
             std::vector<Attempt>(Engines[it].Attempts))
          resumeOnLeastLoaded(attempt.Caller);
  }

  void stopEngine(Engine &engine) {
    engine.IsRunning = false;
    const std::vector<Attempt> cutAttempts = std::move(engine.Attempts);
    engine.Attempts.clear();
    for (const Attempt &it : cutAttempts) {
      Callers[it.Caller].Answer.abandonAttempt(it.Number);
      if (Settings.Policy != RecoveryPolicy::Planned &&
          Settings.Policy != RecoveryPolicy::Nothing)
        resumeOnLeastLoaded(it.Caller);
    }
    if (Settings.Policy == RecoveryPolicy::Planned)
      perform(Plan.gone(at(), engine.Id));
  }

  bool isLeavingEngine(const Engine &engine) const {
    return std::find(Leaving.begin(), Leaving.end(), engine.Id) !=
           Leaving.end();
  }
  Engine *leastLoaded() {
    Engine *best = nullptr;
    for (Engine &it : Engines)
      if (it.IsRunning && !isLeavingEngine(it) &&
          (!best || it.Attempts.size() < best->Attempts.size()))
        best = &it;
    return best;
  }

  void admitNext() {
    if (at() - hours(1) >= Instant(Settings.ArrivalsUntil))
      return;
    Engine *best = leastLoaded();
    if (!best || best->Attempts.size() >= Settings.Capacity)
      return;
    if (Settings.Policy != RecoveryPolicy::Planned || Plan.mayAdmit(best->Id))
      addAnswer(*best, true);
  }

  void resumeOnLeastLoaded(std::size_t caller) {
    Engine *best = leastLoaded();
    if (!best)
      return;
    const Caller &it = Callers[caller];
    const bool restarts = Settings.Policy == RecoveryPolicy::RestartAll;
    const std::uint64_t whole =
        it.Description.PromptTokens + it.Answer.nextOffset();
    Result.Recomputed += whole;
    ++Result.Resumed;
    begin(caller, *best, restarts ? 0 : it.Answer.nextOffset(),
          static_cast<double>(restarts ? it.Description.PromptTokens : whole));
  }

  void decode(Engine &engine) {
    double budget =
        Settings.Recovery.PrefillTokensPerSecond * toSeconds(stepTime());
    std::vector<Attempt> ready;
    for (Attempt &it : engine.Attempts) {
      const double spent = std::min(budget, it.PrefillLeft);
      it.PrefillLeft -= spent;
      budget -= spent;
      if (it.PrefillLeft <= 0)
        ready.push_back(it);
    }
    for (const Attempt &it : ready)
      emit(engine, it);
  }

  void emit(Engine &engine, const Attempt &attempt) {
    auto own = std::find_if(
        engine.Attempts.begin(), engine.Attempts.end(), [&](const Attempt &it) {
          return it.Caller == attempt.Caller && it.Number == attempt.Number;
        });
    // A recovery that an earlier token of this step caused may have cancelled
    // the attempt.
    if (own == engine.Attempts.end())
      return;
    const RequestId &request = Callers[attempt.Caller].Description.Request;
    const bool isTruncated = happens(Settings.Faults.Truncated);
    if (isTruncated || attempt.Offset == Callers[attempt.Caller].Length) {
      engine.Attempts.erase(own);
      arriveEnd(attempt.Caller, {request, attempt.Number,
                                 std::optional<std::uint64_t>(
                                     attempt.Offset + (isTruncated ? 1 : 0))});
      return;
    }
    ++own->Offset;
    transmit(attempt.Caller, {request, attempt.Number, attempt.Offset,
                              tokenText(attempt.Caller, attempt.Offset)});
  }

  void transmit(std::size_t receiver, const ReceivedToken &token) {
    if (happens(Settings.Faults.Lost))
      return;
    if (happens(Settings.Faults.Late)) {
      InFlight.push_back({receiver, token, Step + drawBetween(1, 90)});
      return;
    }
    if (happens(Settings.Faults.Misrouted))
      arrive(drawBetween(0, Callers.size() - 1), token);
    if (happens(Settings.Faults.Duplicated))
      arrive(receiver, token);
    arrive(receiver, token);
  }

  void deliverDelayed() {
    std::vector<DelayedToken> due;
    auto split = std::partition(
        InFlight.begin(), InFlight.end(),
        [this](const DelayedToken &it) { return it.Due > Step; });
    due.assign(split, InFlight.end());
    InFlight.erase(split, InFlight.end());
    for (const DelayedToken &it : due)
      arrive(it.Receiver, it.Token);
  }

  void arrive(std::size_t receiver, const ReceivedToken &token) {
    Caller &caller = Callers[receiver];
    const TokenVerdict verdict = caller.Answer.take(token);
    if (Settings.SkipsTokenChecks)
      caller.Received.push_back({caller.Received.size(), false, token.Text});
    if (verdict == TokenVerdict::Taken)
      handleTaken(receiver);
    if (verdict == TokenVerdict::Gap)
      handleLostAttempt(receiver);
  }

  void handleTaken(std::size_t receiver) {
    Caller &caller = Callers[receiver];
    if (caller.Answer.nextOffset() > 1)
      Result.LongestGap = std::max(
          Result.LongestGap,
          stepTime() * static_cast<std::int64_t>(Step - caller.LastToken));
    caller.LastToken = caller.LastProgress = Step;
    Plan.setProgress(caller.Description.Request, caller.Answer.nextOffset());
    drain(receiver);
    if (!caller.AwaitsFirstToken)
      return;
    caller.AwaitsFirstToken = false;
    perform(Plan.resumed(at(), caller.Description.Request));
  }

  void arriveEnd(std::size_t receiver, const ReceivedEnd &end) {
    Caller &caller = Callers[receiver];
    const EndVerdict verdict = caller.Answer.finish(end);
    if (verdict == EndVerdict::Truncated)
      handleLostAttempt(receiver);
    if (verdict != EndVerdict::Whole)
      return;
    --Open;
    Plan.close(caller.Description.Request);
    drain(receiver);
    admitNext();
  }

  void handleLostAttempt(std::size_t receiver) {
    cancel(receiver);
    Callers[receiver].LastProgress = Step;
    if (Settings.Policy == RecoveryPolicy::Planned)
      perform(Plan.attemptLost(at(), Callers[receiver].Description.Request,
                               Callers[receiver].At, AttemptLoss::Connection));
    else if (Settings.Policy != RecoveryPolicy::Nothing)
      resumeOnLeastLoaded(receiver);
  }

  void recoverSilentAttempts() {
    for (std::size_t i = 0; i < Callers.size(); ++i) {
      Caller &caller = Callers[i];
      const bool prefills = caller.AwaitsFirstToken;
      if (!caller.Answer.hasAttempt() || prefills ||
          Step - caller.LastProgress < MaxSilentSteps)
        continue;
      caller.Answer.abandonAttempt(caller.Answer.currentAttempt());
      handleLostAttempt(i);
    }
  }

  void perform(const RecoveryActions &actions) {
    for (const MoveCache &it : actions.Moves) {
      const std::size_t caller = callerOf(it.Request);
      const std::uint64_t tokens = Callers[caller].Description.PromptTokens +
                                   Callers[caller].Answer.nextOffset();
      const Duration transferTime = fromSeconds(
          static_cast<double>(tokens) * Settings.Recovery.CacheBytesPerToken /
          Settings.Recovery.MoveBytesPerSecond *
          static_cast<double>(drawBetween(80, 130)) / 100);
      Transfers.push_back(
          {caller, it.From, it.To, tokens, Step + 1 + stepOf(transferTime)});
    }
    for (const AnswerResumption &it : actions.Resumes) {
      const std::size_t caller = callerOf(it.Request);
      Result.Recomputed += it.Recomputed;
      ++Result.Resumed;
      begin(caller, engine(it.To), Callers[caller].Answer.nextOffset(),
            static_cast<double>(it.Recomputed));
    }
  }

  void finishTransfers() {
    std::vector<Transfer> done;
    auto split =
        std::partition(Transfers.begin(), Transfers.end(),
                       [this](const Transfer &it) { return it.Done > Step; });
    done.assign(split, Transfers.end());
    Transfers.erase(split, Transfers.end());
    for (const Transfer &it : done) {
      const RequestId &request = Callers[it.Caller].Description.Request;
      // The plan has dropped the moves of a stopped engine.
      if (!engine(it.From).IsRunning || !engine(it.To).IsRunning)
        continue;
      if (happens(Settings.Faults.MoveFails)) {
        perform(Plan.moveFailed(at(), request));
        continue;
      }
      ++Result.Moved;
      perform(Plan.moved(at(), request, it.Tokens));
    }
  }

  /// Sends all pending events to the caller, whose connection may break for
  /// each of them; it then reconnects after the last event that it received.
  void drain(std::size_t index) {
    Caller &caller = Callers[index];
    if (Settings.SkipsTokenChecks)
      return;
    while (auto event = caller.Answer.nextEvent()) {
      if (!happens(Settings.Faults.CallerCut)) {
        caller.Received.push_back(*event);
        continue;
      }
      caller.Answer.reconnect(
          caller.Received.empty()
              ? std::nullopt
              : std::optional<std::uint64_t>(caller.Received.back().Id));
    }
  }

  bool isWhole(std::size_t index) const {
    const Caller &caller = Callers[index];
    std::string expectedText;
    std::string text;
    for (std::uint64_t i = 0; i < caller.Length; ++i)
      expectedText += tokenText(index, i);
    for (std::size_t i = 0; i < caller.Received.size(); ++i) {
      if (caller.Received[i].Id != i)
        return false;
      text += caller.Received[i].Text;
    }
    const bool hasEnd =
        Settings.SkipsTokenChecks ||
        (!caller.Received.empty() && caller.Received.back().IsEnd);
    return hasEnd && text == expectedText;
  }

  FleetSettings Settings;
  std::mt19937_64 Random;
  RecoveryPlan Plan;
  std::vector<Engine> Engines;
  std::deque<Caller> Callers;
  std::vector<UpstreamId> Leaving;
  std::vector<Transfer> Transfers;
  std::vector<DelayedToken> InFlight;
  FleetResult Result;
  std::uint64_t Step = 0;
  std::size_t Open = 0;
};

} // namespace sorrelbay
