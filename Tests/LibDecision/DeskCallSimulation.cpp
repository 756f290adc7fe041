#include "DeskCallSimulation.h"
#include "LibBase/Invariant.h"
#include <algorithm>

namespace sorrelbay {

static constexpr int HostCount = 4;
static constexpr int CallerCount = 6;
static constexpr CallAttempt MaxAttempts = 7;
// Few buckets, so that calls share them.
static constexpr std::uint32_t Buckets = 2;
static constexpr int DrainSteps = 20000;

SimulationCounts &SimulationCounts::operator+=(const SimulationCounts &more) {
  Events += more.Events;
  Runs += more.Runs;
  DoubleRuns += more.DoubleRuns;
  Done += more.Done;
  NotRun += more.NotRun;
  Unknown += more.Unknown;
  FalseNotRun += more.FalseNotRun;
  Superseded += more.Superseded;
  Unanswered += more.Unanswered;
  Crashes += more.Crashes;
  LostReplies += more.LostReplies;
  BrokenInvariants += more.BrokenInvariants;
  return *this;
}

DeskCallSimulation::DeskCallSimulation(std::uint64_t seed, Omission omission)
    : Engine(seed), Omitted(omission), Hosts(HostCount) {
  // From almost no faults to very many: some defects only show once a call has
  // made progress.
  FaultPercent = 1 + static_cast<int>(pick(8));
  for (int it = 0; it < HostCount; it++)
    startProcess(it);
  for (std::size_t it = 0; it < CallerCount; it++) {
    Caller caller;
    caller.Id = {TeamId("north"), IdempotencyKey("key-" + std::to_string(it))};
    if (chance(35))
      caller.Id.Key =
          ticketKey(Hosts[pick(HostCount)].Tickets->issue("", Clock));
    caller.DeclaresAttempts = !chance(15);
    Callers.push_back(std::move(caller));
    post([this, it] { beginAttempt(it); });
  }
}

SimulationCounts DeskCallSimulation::run(int steps) {
  const InvariantHandler old =
      setInvariantHandler([](const std::string &name, const std::string &seen) {
        throw InvariantViolation(name + ": " + seen);
      });
  try {
    for (int it = 0; it < steps; it++)
      step();
    IsFaultFree = true;
    IsStoreDown = false;
    for (Host &it : Hosts)
      it.IsPaused = false;
    for (int it = 0; it < DrainSteps && !PendingMessages.empty(); it++)
      step();
  } catch (const InvariantViolation &) {
    Count.BrokenInvariants++;
  }
  setInvariantHandler(old);
  for (const Host &host : Hosts)
    for (const auto &[number, live] : host.Calls)
      Count.Unanswered += live.Protocol.isAnswered() ? 0 : 1;
  return Count;
}

void DeskCallSimulation::step() {
  Clock += milliseconds(pick(40));
  if (!IsFaultFree && chance(FaultPercent))
    injectFault();
  else
    deliverOne();
}

bool DeskCallSimulation::deliverOne() {
  if (PendingMessages.empty())
    return false;
  std::swap(PendingMessages[pick(PendingMessages.size())],
            PendingMessages.back());
  Event event = std::move(PendingMessages.back());
  PendingMessages.pop_back();
  if (event.ToHost >= 0 && Hosts[event.ToHost].IsPaused) {
    PendingMessages.push_back(std::move(event));
    return false;
  }
  if (event.OfProcess != 0 &&
      Hosts[event.ToHost].ProcessNumber != event.OfProcess)
    return false;
  Count.Events++;
  event.Deliver();
  return true;
}

void DeskCallSimulation::injectFault() {
  const int host = static_cast<int>(pick(HostCount));
  const std::size_t caller = pick(CallerCount);
  switch (pick(8)) {
  case 0:
    return chance(50) ? crash(host) : void();
  case 1:
  case 2:
    Hosts[host].IsPaused = !Hosts[host].IsPaused;
    return;
  case 3:
    IsStoreDown = !IsStoreDown;
    return;
  case 4:
    // May exceed the time after which an intent is not used any more.
    Clock += minutes(pick(3));
    return;
  case 5:
    return queryCall(caller);
  default:
    // The caller timed out and retries.
    return beginAttempt(caller);
  }
}

void DeskCallSimulation::startProcess(int host) {
  Host fresh;
  fresh.ProcessNumber = NextNumber++;
  fresh.Incarnation = IncarnationId(std::to_string(host) + "-" +
                                    std::to_string(fresh.ProcessNumber));
  fresh.Tickets =
      std::make_unique<TicketTable>(fresh.Incarnation, LedgerLimits{});
  Hosts[host] = std::move(fresh);
}

// The new process has the address of the old one but none of its memory.
void DeskCallSimulation::crash(int host) {
  Count.Crashes++;
  for (auto &[number, live] : Hosts[host].Calls)
    if (live.Disconnect && !live.Protocol.isAnswered())
      live.Disconnect();
  startProcess(host);
}

void DeskCallSimulation::beginAttempt(std::size_t caller) {
  Caller &it = Callers[caller];
  if (it.Latest >= MaxAttempts)
    return;
  const CallAttempt ordinal = ++it.Latest;
  const int host = static_cast<int>(pick(HostCount));
  const EntryMode entryMode = chance(15) ? EntryMode::Shed : EntryMode::Start;
  postTo(host, [this, host, entryMode, caller, ordinal] {
    acceptCall(
        host, entryMode, caller, ordinal,
        [this, caller, ordinal](const DeskCallAnswer &answer) {
          post([this, caller, ordinal, answer] {
            receive(caller, ordinal, answer);
          });
        },
        nullptr);
  });
}

void DeskCallSimulation::queryCall(std::size_t caller) {
  const CallAttempt ordinal = Callers[caller].Latest;
  if (ordinal == 0)
    return;
  const int host = static_cast<int>(pick(HostCount));
  postTo(host, [this, host, caller, ordinal] {
    acceptCall(host, EntryMode::Query, caller, ordinal, nullptr, nullptr);
  });
}

void DeskCallSimulation::receive(std::size_t caller, CallAttempt ordinal,
                                 const DeskCallAnswer &answer) {
  Caller &it = Callers[caller];
  if (answer.Outcome == CallOutcome::Done)
    it.HasDoneAnswer = true;
  if (ordinal == it.Latest && (!it.HasDoneAnswer || chance(20)))
    beginAttempt(caller);
}

void DeskCallSimulation::acceptCall(int host, EntryMode entryMode,
                                    std::size_t caller, CallAttempt ordinal,
                                    Reply respond,
                                    std::function<void()> disconnect) {
  Host &at = Hosts[host];
  const Caller &from = Callers[caller];
  DeskCall call;
  call.Purpose =
      entryMode == EntryMode::Query ? CallPurpose::Query : CallPurpose::Run;
  call.Id = from.Id;
  call.Attempt = from.DeclaresAttempts ? ordinal : UndeclaredAttempt;
  call.Self = at.Incarnation;
  call.Nonce = NextNumber++;
  const auto ticket = parseTicket(call.Id.Key);
  if (Omitted == Omission::TicketOwner && ticket)
    call.Self = ticket->Owner;
  const std::uint64_t number = call.Nonce;
  LiveCall live{DeskCallProtocol(call, DeskCallSettings{}),
                caller,
                ordinal,
                false,
                std::move(respond),
                std::move(disconnect)};
  at.Calls.emplace(number, std::move(live));
  executeActions(host, number, begin(host, at.Calls.at(number), entryMode));
  if (chance(15))
    reply(host, [this, host, number] {
      onDesk(host, number, &DeskCallProtocol::onDeadline);
    });
}

DeskCallActions DeskCallSimulation::begin(int host, LiveCall &live,
                                          EntryMode entryMode) {
  const auto ticket = parseTicket(live.Protocol.call().Id.Key);
  const bool isOwn = ticket && ticket->Owner == Hosts[host].Incarnation;
  if (isOwn && !Hosts[host].Tickets->isValid(*ticket, Clock))
    return live.Protocol.refuseExpiredTicket();
  if (entryMode == EntryMode::Shed)
    return live.Protocol.shed();
  return live.Protocol.start(Clock);
}

void DeskCallSimulation::executeActions(int host, std::uint64_t call,
                                        const DeskCallActions &actions) {
  for (const DeskCallAction &it : actions) {
    if (const auto *edit = std::get_if<SubmitEdit>(&it))
      submit(host, call, *edit);
    else if (std::holds_alternative<SendToDesk>(it))
      sendToDesk(host, call);
    else if (const auto *owner = std::get_if<ForwardToOwner>(&it))
      forward(host, call, owner->Owner);
    else
      answer(host, call, std::get<AnswerCaller>(it).Answer);
  }
}

void DeskCallSimulation::submit(int host, std::uint64_t call,
                                const SubmitEdit &submit) {
  LedgerEdit edit = submit.Edit;
  if (Omitted == Omission::ClosedMark && edit.Kind == EditKind::Close &&
      submit.Where == SubmitEdit::Place::Ledger) {
    reply(host, [this, host, call] {
      onEdit(host, call, {EditVerdict::NotRun, {}, false});
    });
    return;
  }
  if (submit.Where == SubmitEdit::Place::TicketTable) {
    const EditOutcome outcome = Hosts[host].Tickets->apply(edit, Clock);
    reply(host, [this, host, call, outcome] { onEdit(host, call, outcome); });
    return;
  }
  const EditNumber number = NextNumber++;
  if (Omitted == Omission::IntentBeforeSend && edit.Kind == EditKind::PutIntent)
    reply(host, [this, host, call] {
      onEdit(host, call, {EditVerdict::Accepted, {}, false});
    });
  else
    Hosts[host].EditOwners[number] = call;
  const std::uint32_t bucket = bucketOf(edit.Call, Buckets);
  Hosts[host].Updaters.try_emplace(bucket, LedgerLimits{});
  Hosts[host].Updaters.at(bucket).submit(number, std::move(edit));
  sendDueRequest(host, bucket);
}

void DeskCallSimulation::sendDueRequest(int host, std::uint32_t bucket) {
  BucketUpdater &updater = Hosts[host].Updaters.at(bucket);
  if (const auto request = updater.next(Clock))
    sendToStore(host, bucket, *request);
  for (const FinishedEdit &it : updater.takeFinished()) {
    const auto owner = Hosts[host].EditOwners.find(it.Number);
    if (owner == Hosts[host].EditOwners.end())
      continue;
    const std::uint64_t call = owner->second;
    const EditOutcome outcome = it.Outcome;
    reply(host, [this, host, call, outcome] { onEdit(host, call, outcome); });
  }
}

void DeskCallSimulation::onEdit(int host, std::uint64_t call,
                                const EditOutcome &outcome) {
  executeActions(host, call,
                 Hosts[host].Calls.at(call).Protocol.onEdit(outcome, Clock));
}

void DeskCallSimulation::onDesk(int host, std::uint64_t call,
                                ProtocolEvent protocolEvent) {
  if (Omitted == Omission::SingleSendAfterLoss &&
      protocolEvent == &DeskCallProtocol::onDeskLost)
    protocolEvent = &DeskCallProtocol::onDeskRefused;
  executeActions(host, call,
                 (Hosts[host].Calls.at(call).Protocol.*protocolEvent)());
}

void DeskCallSimulation::sendToStore(int host, std::uint32_t bucket,
                                     const BucketRequest &request) {
  const bool isTimedOut = !IsFaultFree && chance(10);
  // A request whose sender has timed out may still take effect.
  const std::uint64_t processNumber =
      isTimedOut ? 0 : Hosts[host].ProcessNumber;
  post([this, host, processNumber, bucket, request] {
    serveStore(host, processNumber, bucket, request);
  });
  if (!isTimedOut)
    return;
  Count.LostReplies++;
  reply(host, [this, host, bucket, request] {
    BucketUpdater &updater = Hosts[host].Updaters.at(bucket);
    if (request.What == BucketRequest::Kind::Read)
      updater.onUnavailable();
    else if (Omitted == Omission::RereadAfterLostReply)
      updater.onWritten(request.ExpectedVersion + 1);
    else
      updater.onWriteOutcomeUnknown();
    sendDueRequest(host, bucket);
  });
}

void DeskCallSimulation::serveStore(int host, std::uint64_t processNumber,
                                    std::uint32_t bucket,
                                    const BucketRequest &request) {
  std::function<void(BucketUpdater &)> updateBucket = [](BucketUpdater &it) {
    it.onUnavailable();
  };
  const auto found = Store.find(bucket);
  const std::uint64_t version =
      found == Store.end() ? AbsentVersion : found->second.Version;
  if (!IsStoreDown && request.What == BucketRequest::Kind::Read) {
    std::optional<StoredObject> object;
    if (found != Store.end())
      object = found->second;
    updateBucket = [object](BucketUpdater &it) { it.onRead(object); };
  } else if (!IsStoreDown && (request.ExpectedVersion == version ||
                              Omitted == Omission::ConditionalUpdate)) {
    Store[bucket] = {request.Body, version + 1};
    updateBucket = [version](BucketUpdater &it) { it.onWritten(version + 1); };
    if (!IsFaultFree && chance(8)) {
      Count.LostReplies++;
      updateBucket = [](BucketUpdater &it) { it.onWriteOutcomeUnknown(); };
    }
  } else if (!IsStoreDown) {
    updateBucket = [](BucketUpdater &it) { it.onConflict(); };
  }
  if (processNumber == 0 || Hosts[host].ProcessNumber != processNumber)
    return;
  reply(host, [this, host, bucket, updateBucket] {
    updateBucket(Hosts[host].Updaters.at(bucket));
    sendDueRequest(host, bucket);
  });
}

void DeskCallSimulation::sendToDesk(int host, std::uint64_t call) {
  LiveCall &live = Hosts[host].Calls.at(call);
  live.WasSent = true;
  const bool isTimedOut = !IsFaultFree && chance(10);
  const std::uint64_t processNumber =
      isTimedOut ? 0 : Hosts[host].ProcessNumber;
  const std::size_t caller = live.CallerIndex;
  const CallAttempt ordinal = live.Ordinal;
  post([this, host, processNumber, call, caller, ordinal] {
    serveDesk(host, processNumber, call, caller, ordinal);
  });
  if (isTimedOut)
    reply(host, [this, host, call] {
      onDesk(host, call, &DeskCallProtocol::onDeskLost);
    });
}

void DeskCallSimulation::serveDesk(int host, std::uint64_t processNumber,
                                   std::uint64_t call, std::size_t caller,
                                   CallAttempt ordinal) {
  const bool isRefused = processNumber != 0 && chance(25);
  if (!isRefused)
    checkRun(caller, ordinal);
  if (processNumber == 0 || Hosts[host].ProcessNumber != processNumber)
    return;
  const bool isLost = !isRefused && !IsFaultFree && chance(15);
  reply(host, [this, host, call, isRefused, isLost] {
    if (isRefused)
      return onDesk(host, call, &DeskCallProtocol::onDeskRefused);
    if (isLost)
      return onDesk(host, call, &DeskCallProtocol::onDeskLost);
    DeskCallProtocol &protocol = Hosts[host].Calls.at(call).Protocol;
    executeActions(host, call,
                   protocol.onDeskAnswered(200, protocol.call().Id.Key.text()));
  });
}

void DeskCallSimulation::forward(int host, std::uint64_t call,
                                 const IncarnationId &owner) {
  const int to = std::stoi(owner.text());
  const LiveCall &live = Hosts[host].Calls.at(call);
  const std::size_t caller = live.CallerIndex;
  const CallAttempt ordinal = live.Ordinal;
  const std::uint64_t processNumber = Hosts[host].ProcessNumber;
  const bool isQuery = !live.Respond;
  const auto sendBack = [this, host, processNumber,
                         call](const auto &applyReply) {
    if (Hosts[host].ProcessNumber == processNumber)
      reply(host, [this, host, call, applyReply] {
        executeActions(host, call,
                       applyReply(Hosts[host].Calls.at(call).Protocol));
      });
  };
  const auto loseForward = [sendBack] {
    sendBack([](DeskCallProtocol &it) { return it.onForwardLost(); });
  };
  const auto refuseForward = [sendBack] {
    sendBack([](DeskCallProtocol &it) { return it.onForwardRefused(); });
  };
  if (!IsFaultFree && chance(10))
    loseForward();
  postTo(to, [=] {
    if (Hosts[to].Incarnation != owner)
      return refuseForward();
    const EntryMode entryMode = isQuery      ? EntryMode::Query
                                : chance(15) ? EntryMode::Shed
                                             : EntryMode::Start;
    const Reply respond = [sendBack](const DeskCallAnswer &answer) {
      sendBack([answer](DeskCallProtocol &it) {
        return it.onForwardAnswered(answer);
      });
    };
    acceptCall(to, entryMode, caller, ordinal, respond, loseForward);
  });
}

void DeskCallSimulation::answer(int host, std::uint64_t call,
                                DeskCallAnswer answer) {
  const LiveCall &live = Hosts[host].Calls.at(call);
  if (Omitted == Omission::RefusalOfTheKey && !live.WasSent &&
      answer.Outcome == CallOutcome::Unknown)
    answer.Outcome = CallOutcome::NotRun;
  if (answer.Outcome == CallOutcome::NotRun)
    checkNotRun(live.CallerIndex, live.Ordinal);
  Count.Done += answer.Outcome == CallOutcome::Done ? 1 : 0;
  Count.NotRun += answer.Outcome == CallOutcome::NotRun ? 1 : 0;
  Count.Unknown += answer.Outcome == CallOutcome::Unknown ? 1 : 0;
  if (!live.Respond)
    return;
  if (IsFaultFree || !chance(5))
    live.Respond(answer);
  else if (live.Disconnect)
    live.Disconnect();
}

void DeskCallSimulation::checkRun(std::size_t caller, CallAttempt ordinal) {
  Caller &it = Callers[caller];
  Count.Runs++;
  if (!it.RanBy.empty())
    Count.DoubleRuns++;
  if (ordinal <= it.NotRunThrough)
    Count.FalseNotRun++;
  it.RanBy.push_back(ordinal);
}

void DeskCallSimulation::checkNotRun(std::size_t caller, CallAttempt ordinal) {
  Caller &it = Callers[caller];
  // The caller cannot match an undeclared attempt to an answer, so the answer
  // must hold for all attempts started so far.
  const CallAttempt through = it.DeclaresAttempts ? ordinal : it.Latest;
  it.NotRunThrough = std::max(it.NotRunThrough, through);
  for (const CallAttempt ran : it.RanBy) {
    if (ran <= through)
      Count.FalseNotRun++;
    else
      Count.Superseded++;
  }
}

} // namespace sorrelbay
