#include "DeskCallSimulation.h"
#include "LibBase/Invariant.h"
#include <algorithm>

namespace sorrelbay {

static constexpr int HostCount = 4;
static constexpr int CallerCount = 6;
static constexpr CallAttempt MaxAttempts = 7;
// Few, so that calls meet in them.
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
  // From nearly undisturbed to hopeless: some faults need a call to get far.
  DisturbancePercent = 1 + static_cast<int>(pick(8));
  for (int it = 0; it < HostCount; it++)
    startLife(it);
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
    IsCalm = true;
    IsStoreDown = false;
    for (Host &it : Hosts)
      it.IsPaused = false;
    for (int it = 0; it < DrainSteps && !Bag.empty(); it++)
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
  if (!IsCalm && chance(DisturbancePercent))
    disturb();
  else
    deliverOne();
}

bool DeskCallSimulation::deliverOne() {
  if (Bag.empty())
    return false;
  std::swap(Bag[pick(Bag.size())], Bag.back());
  Event event = std::move(Bag.back());
  Bag.pop_back();
  if (event.ToHost >= 0 && Hosts[event.ToHost].IsPaused) {
    Bag.push_back(std::move(event));
    return false;
  }
  if (event.OfLife != 0 && Hosts[event.ToHost].Life != event.OfLife)
    return false;
  Count.Events++;
  event.Deliver();
  return true;
}

void DeskCallSimulation::disturb() {
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
    // Longer than an intent may wait to be used.
    Clock += minutes(pick(3));
    return;
  case 5:
    return ask(caller);
  default:
    // The caller gave up waiting.
    return beginAttempt(caller);
  }
}

void DeskCallSimulation::startLife(int host) {
  Host fresh;
  fresh.Life = NextNumber++;
  fresh.Incarnation =
      IncarnationId(std::to_string(host) + "-" + std::to_string(fresh.Life));
  fresh.Tickets =
      std::make_unique<TicketTable>(fresh.Incarnation, LedgerLimits{});
  Hosts[host] = std::move(fresh);
}

// The new process has the old one's address and none of its memory.
void DeskCallSimulation::crash(int host) {
  Count.Crashes++;
  for (auto &[number, live] : Hosts[host].Calls)
    if (live.Drop && !live.Protocol.isAnswered())
      live.Drop();
  startLife(host);
}

void DeskCallSimulation::beginAttempt(std::size_t caller) {
  Caller &it = Callers[caller];
  if (it.Latest >= MaxAttempts)
    return;
  const CallAttempt ordinal = ++it.Latest;
  const int host = static_cast<int>(pick(HostCount));
  const EntryMode entrance = chance(15) ? EntryMode::Shed : EntryMode::Start;
  postTo(host, [this, host, entrance, caller, ordinal] {
    enter(
        host, entrance, caller, ordinal,
        [this, caller, ordinal](const DeskCallAnswer &answer) {
          post([this, caller, ordinal, answer] {
            receive(caller, ordinal, answer);
          });
        },
        nullptr);
  });
}

void DeskCallSimulation::ask(std::size_t caller) {
  const CallAttempt ordinal = Callers[caller].Latest;
  if (ordinal == 0)
    return;
  const int host = static_cast<int>(pick(HostCount));
  postTo(host, [this, host, caller, ordinal] {
    enter(host, EntryMode::Query, caller, ordinal, nullptr, nullptr);
  });
}

void DeskCallSimulation::receive(std::size_t caller, CallAttempt ordinal,
                                 const DeskCallAnswer &answer) {
  Caller &it = Callers[caller];
  if (answer.Outcome == CallOutcome::Done)
    it.IsSatisfied = true;
  if (ordinal == it.Latest && (!it.IsSatisfied || chance(20)))
    beginAttempt(caller);
}

void DeskCallSimulation::enter(int host, EntryMode entrance, std::size_t caller,
                               CallAttempt ordinal, Reply respond,
                               std::function<void()> drop) {
  Host &at = Hosts[host];
  const Caller &from = Callers[caller];
  DeskCall call;
  call.Purpose =
      entrance == EntryMode::Query ? CallPurpose::Query : CallPurpose::Run;
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
                std::move(drop)};
  at.Calls.emplace(number, std::move(live));
  act(host, number, begin(host, at.Calls.at(number), entrance));
  if (chance(15))
    reply(host, [this, host, number] {
      onDesk(host, number, &DeskCallProtocol::onDeadline);
    });
}

DeskCallActions DeskCallSimulation::begin(int host, LiveCall &live,
                                          EntryMode entrance) {
  const auto ticket = parseTicket(live.Protocol.call().Id.Key);
  const bool isOwn = ticket && ticket->Owner == Hosts[host].Incarnation;
  if (isOwn && !Hosts[host].Tickets->isValid(*ticket, Clock))
    return live.Protocol.refuseExpiredTicket();
  if (entrance == EntryMode::Shed)
    return live.Protocol.shed();
  return live.Protocol.start(Clock);
}

void DeskCallSimulation::act(int host, std::uint64_t call,
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
  pump(host, bucket);
}

void DeskCallSimulation::pump(int host, std::uint32_t bucket) {
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
  act(host, call, Hosts[host].Calls.at(call).Protocol.onEdit(outcome, Clock));
}

void DeskCallSimulation::onDesk(int host, std::uint64_t call, Take take) {
  if (Omitted == Omission::SingleSendAfterLoss &&
      take == &DeskCallProtocol::onDeskLost)
    take = &DeskCallProtocol::onDeskRefused;
  act(host, call, (Hosts[host].Calls.at(call).Protocol.*take)());
}

void DeskCallSimulation::sendToStore(int host, std::uint32_t bucket,
                                     const BucketRequest &request) {
  const bool isGivenUp = !IsCalm && chance(10);
  // A request that its sender no longer waits for may still take effect.
  const std::uint64_t life = isGivenUp ? 0 : Hosts[host].Life;
  post([this, host, life, bucket, request] {
    serveStore(host, life, bucket, request);
  });
  if (!isGivenUp)
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
    pump(host, bucket);
  });
}

void DeskCallSimulation::serveStore(int host, std::uint64_t life,
                                    std::uint32_t bucket,
                                    const BucketRequest &request) {
  std::function<void(BucketUpdater &)> tell = [](BucketUpdater &it) {
    it.onUnavailable();
  };
  const auto found = Store.find(bucket);
  const std::uint64_t version =
      found == Store.end() ? AbsentVersion : found->second.Version;
  if (!IsStoreDown && request.What == BucketRequest::Kind::Read) {
    std::optional<StoredObject> object;
    if (found != Store.end())
      object = found->second;
    tell = [object](BucketUpdater &it) { it.onRead(object); };
  } else if (!IsStoreDown && (request.ExpectedVersion == version ||
                              Omitted == Omission::ConditionalUpdate)) {
    Store[bucket] = {request.Body, version + 1};
    tell = [version](BucketUpdater &it) { it.onWritten(version + 1); };
    if (!IsCalm && chance(8)) {
      Count.LostReplies++;
      tell = [](BucketUpdater &it) { it.onWriteOutcomeUnknown(); };
    }
  } else if (!IsStoreDown) {
    tell = [](BucketUpdater &it) { it.onConflict(); };
  }
  if (life == 0 || Hosts[host].Life != life)
    return;
  reply(host, [this, host, bucket, tell] {
    tell(Hosts[host].Updaters.at(bucket));
    pump(host, bucket);
  });
}

void DeskCallSimulation::sendToDesk(int host, std::uint64_t call) {
  LiveCall &live = Hosts[host].Calls.at(call);
  live.WasSent = true;
  const bool isGivenUp = !IsCalm && chance(10);
  const std::uint64_t life = isGivenUp ? 0 : Hosts[host].Life;
  const std::size_t caller = live.CallerIndex;
  const CallAttempt ordinal = live.Ordinal;
  post([this, host, life, call, caller, ordinal] {
    serveDesk(host, life, call, caller, ordinal);
  });
  if (isGivenUp)
    reply(host, [this, host, call] {
      onDesk(host, call, &DeskCallProtocol::onDeskLost);
    });
}

void DeskCallSimulation::serveDesk(int host, std::uint64_t life,
                                   std::uint64_t call, std::size_t caller,
                                   CallAttempt ordinal) {
  const bool isRefused = life != 0 && chance(25);
  if (!isRefused)
    checkRun(caller, ordinal);
  if (life == 0 || Hosts[host].Life != life)
    return;
  const bool isLost = !isRefused && !IsCalm && chance(15);
  reply(host, [this, host, call, isRefused, isLost] {
    if (isRefused)
      return onDesk(host, call, &DeskCallProtocol::onDeskRefused);
    if (isLost)
      return onDesk(host, call, &DeskCallProtocol::onDeskLost);
    DeskCallProtocol &protocol = Hosts[host].Calls.at(call).Protocol;
    act(host, call,
        protocol.onDeskAnswered(200, protocol.call().Id.Key.text()));
  });
}

void DeskCallSimulation::forward(int host, std::uint64_t call,
                                 const IncarnationId &owner) {
  const int to = std::stoi(owner.text());
  const LiveCall &live = Hosts[host].Calls.at(call);
  const std::size_t caller = live.CallerIndex;
  const CallAttempt ordinal = live.Ordinal;
  const std::uint64_t life = Hosts[host].Life;
  const bool isQuery = !live.Respond;
  const auto back = [this, host, life, call](const auto &feed) {
    if (Hosts[host].Life == life)
      reply(host, [this, host, call, feed] {
        act(host, call, feed(Hosts[host].Calls.at(call).Protocol));
      });
  };
  const auto lose = [back] {
    back([](DeskCallProtocol &it) { return it.onForwardLost(); });
  };
  const auto refuse = [back] {
    back([](DeskCallProtocol &it) { return it.onForwardRefused(); });
  };
  if (!IsCalm && chance(10))
    lose();
  postTo(to, [=] {
    if (Hosts[to].Incarnation != owner)
      return refuse();
    const EntryMode entrance = isQuery      ? EntryMode::Query
                               : chance(15) ? EntryMode::Shed
                                            : EntryMode::Start;
    const Reply respond = [back](const DeskCallAnswer &answer) {
      back([answer](DeskCallProtocol &it) {
        return it.onForwardAnswered(answer);
      });
    };
    enter(to, entrance, caller, ordinal, respond, lose);
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
  if (IsCalm || !chance(5))
    live.Respond(answer);
  else if (live.Drop)
    live.Drop();
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
  // Of an undeclared attempt the caller can't tell which it was, so the
  // answer must hold for all that were begun.
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
