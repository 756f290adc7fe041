#pragma once

#include "LibDecision/BucketUpdater.h"
#include "LibDecision/DeskCallProtocol.h"
#include "LibDecision/TicketTable.h"
#include <functional>
#include <map>
#include <memory>
#include <random>

namespace sorrelbay {

/// A part of the mechanism that the simulation leaves out, to show that the
/// checks detect the failures that it prevents.
enum class Omission {
  None,
  IntentBeforeSend,
  RefusalOfTheKey,
  RereadAfterLostReply,
  ConditionalUpdate,
  SingleSendAfterLoss,
  TicketOwner,
  ClosedMark,
};

/// Counters of one run.
struct SimulationCounts {
  std::uint64_t Events = 0;
  std::uint64_t Runs = 0;
  std::uint64_t DoubleRuns = 0;
  std::uint64_t Done = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Unknown = 0;
  /// Attempts that ran although a "not run" covers them, sent before or after
  /// the run.
  std::uint64_t FalseNotRun = 0;
  /// "Not run" answers for an attempt whose caller had started a later attempt
  /// that ran. Such an answer is correct.
  std::uint64_t Superseded = 0;
  /// Attempts that never got an answer although their host did not crash.
  std::uint64_t Unanswered = 0;
  std::uint64_t Crashes = 0;
  std::uint64_t LostReplies = 0;
  std::uint64_t BrokenInvariants = 0;

  SimulationCounts &operator+=(const SimulationCounts &more);
};

/// Simulates entry hosts, a ledger, desks and callers. The seed determines the
/// order in which messages are delivered and the crashes, pauses, outages and
/// losses between them. All decisions are made by LibDecision.
class DeskCallSimulation {
public:
  DeskCallSimulation(std::uint64_t seed, Omission omission);
  SimulationCounts run(int steps);

private:
  struct Caller {
    CallId Id;
    bool DeclaresAttempts = true;
    CallAttempt Latest = 0;
    bool HasDoneAnswer = false;
    /// The ordinals of the attempts that have run, and the last one covered by
    /// a "not run".
    std::vector<CallAttempt> RanBy;
    CallAttempt NotRunThrough = 0;
  };
  using Reply = std::function<void(const DeskCallAnswer &)>;
  struct LiveCall {
    DeskCallProtocol Protocol;
    std::size_t CallerIndex = 0;
    CallAttempt Ordinal = 0;
    bool WasSent = false;
    Reply Respond;
    /// For a forwarded call: breaks the connection to the forwarding host.
    std::function<void()> Disconnect;
  };
  struct Host {
    bool IsPaused = false;
    std::uint64_t ProcessNumber = 0;
    IncarnationId Incarnation;
    std::unique_ptr<TicketTable> Tickets;
    std::map<std::uint32_t, BucketUpdater> Updaters;
    std::map<std::uint64_t, LiveCall> Calls;
    std::map<EditNumber, std::uint64_t> EditOwners;
  };
  /// A message in transit. Messages to a host are held while it is paused.
  /// Replies belong to a connection of one process of the host and are lost
  /// when that process ends.
  struct Event {
    int ToHost = -1;
    std::uint64_t OfProcess = 0;
    std::function<void()> Deliver;
  };
  using ProtocolEvent = DeskCallActions (DeskCallProtocol::*)();

  std::uint64_t pick(std::uint64_t n) { return Engine() % n; }
  bool chance(int percent) { return pick(100) < std::uint64_t(percent); }
  void post(std::function<void()> deliver) {
    PendingMessages.push_back({-1, 0, std::move(deliver)});
  }
  void postTo(int host, std::function<void()> deliver) {
    PendingMessages.push_back({host, 0, std::move(deliver)});
  }
  void reply(int host, std::function<void()> deliver) {
    PendingMessages.push_back(
        {host, Hosts[host].ProcessNumber, std::move(deliver)});
  }

  void step();
  bool deliverOne();
  void injectFault();
  void startProcess(int host);
  void crash(int host);

  void beginAttempt(std::size_t caller);
  void queryCall(std::size_t caller);
  void receive(std::size_t caller, CallAttempt ordinal,
               const DeskCallAnswer &answer);

  enum class EntryMode { Start, Shed, Query };
  void acceptCall(int host, EntryMode entryMode, std::size_t caller,
                  CallAttempt ordinal, Reply respond,
                  std::function<void()> disconnect);
  DeskCallActions begin(int host, LiveCall &live, EntryMode entryMode);
  void executeActions(int host, std::uint64_t call,
                      const DeskCallActions &actions);
  void submit(int host, std::uint64_t call, const SubmitEdit &submit);
  void sendDueRequest(int host, std::uint32_t bucket);
  void onEdit(int host, std::uint64_t call, const EditOutcome &outcome);
  void onDesk(int host, std::uint64_t call, ProtocolEvent protocolEvent);
  void sendToStore(int host, std::uint32_t bucket,
                   const BucketRequest &request);
  void serveStore(int host, std::uint64_t processNumber, std::uint32_t bucket,
                  const BucketRequest &request);
  void sendToDesk(int host, std::uint64_t call);
  void serveDesk(int host, std::uint64_t processNumber, std::uint64_t call,
                 std::size_t caller, CallAttempt ordinal);
  void forward(int host, std::uint64_t call, const IncarnationId &owner);
  void answer(int host, std::uint64_t call, DeskCallAnswer answer);

  void checkRun(std::size_t caller, CallAttempt ordinal);
  void checkNotRun(std::size_t caller, CallAttempt ordinal);

  std::mt19937_64 Engine;
  Omission Omitted;
  int FaultPercent = 0;
  bool IsFaultFree = false;
  Instant Clock{hours(1)};
  std::vector<Host> Hosts;
  std::vector<Caller> Callers;
  std::vector<Event> PendingMessages;
  std::map<std::uint32_t, StoredObject> Store;
  bool IsStoreDown = false;
  std::uint64_t NextNumber = 1;
  SimulationCounts Count;
};

} // namespace sorrelbay
