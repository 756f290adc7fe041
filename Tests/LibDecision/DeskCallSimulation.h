#pragma once

#include "LibDecision/BucketUpdater.h"
#include "LibDecision/DeskCallProtocol.h"
#include "LibDecision/TicketTable.h"
#include <functional>
#include <map>
#include <memory>
#include <random>

namespace sorrelbay {

/// A part of the mechanism that the world leaves out, to show that the checks
/// find what it prevents.
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

/// What a run of the world has counted.
struct SimulationCounts {
  std::uint64_t Events = 0;
  std::uint64_t Runs = 0;
  std::uint64_t DoubleRuns = 0;
  std::uint64_t Done = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Unknown = 0;
  /// An attempt ran that a "not run" covers, before or after it was said.
  std::uint64_t FalseNotRun = 0;
  /// "Not run" said of an attempt whose caller had begun a later one that ran;
  /// true as it is worded.
  std::uint64_t Superseded = 0;
  /// Attempts on a living host that never got an answer.
  std::uint64_t Unanswered = 0;
  std::uint64_t Crashes = 0;
  std::uint64_t LostReplies = 0;
  std::uint64_t BrokenInvariants = 0;

  SimulationCounts &operator+=(const SimulationCounts &more);
};

/// Entry hosts, a ledger, desks and callers whose messages are delivered in an
/// order drawn from the seed, with crashes, pauses, outages and losses between
/// any two of them. All decisions are those of LibDecision.
class DeskCallSimulation {
public:
  DeskCallSimulation(std::uint64_t seed, Omission omission);
  SimulationCounts run(int steps);

private:
  struct Caller {
    CallId Id;
    bool DeclaresAttempts = true;
    CallAttempt Latest = 0;
    bool IsSatisfied = false;
    /// By ordinal: the attempts that have run, and the last one covered by a
    /// "not run".
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
    /// For a forwarded call: the connection to the forwarding host is cut.
    std::function<void()> Drop;
  };
  struct Host {
    bool IsPaused = false;
    std::uint64_t Life = 0;
    IncarnationId Incarnation;
    std::unique_ptr<TicketTable> Tickets;
    std::map<std::uint32_t, BucketUpdater> Updaters;
    std::map<std::uint64_t, LiveCall> Calls;
    std::map<EditNumber, std::uint64_t> EditOwners;
  };
  /// A message on its way. Those to a host wait while it is paused; replies
  /// belong to a connection of one life of it.
  struct Event {
    int ToHost = -1;
    std::uint64_t OfLife = 0;
    std::function<void()> Deliver;
  };
  using Take = DeskCallActions (DeskCallProtocol::*)();

  std::uint64_t pick(std::uint64_t n) { return Engine() % n; }
  bool chance(int percent) { return pick(100) < std::uint64_t(percent); }
  void post(std::function<void()> deliver) {
    Bag.push_back({-1, 0, std::move(deliver)});
  }
  void postTo(int host, std::function<void()> deliver) {
    Bag.push_back({host, 0, std::move(deliver)});
  }
  void reply(int host, std::function<void()> deliver) {
    Bag.push_back({host, Hosts[host].Life, std::move(deliver)});
  }

  void step();
  bool deliverOne();
  void disturb();
  void startLife(int host);
  void crash(int host);

  void beginAttempt(std::size_t caller);
  void ask(std::size_t caller);
  void receive(std::size_t caller, CallAttempt ordinal,
               const DeskCallAnswer &answer);

  enum class EntryMode { Start, Shed, Query };
  void enter(int host, EntryMode entrance, std::size_t caller,
             CallAttempt ordinal, Reply respond, std::function<void()> drop);
  DeskCallActions begin(int host, LiveCall &live, EntryMode entrance);
  void act(int host, std::uint64_t call, const DeskCallActions &actions);
  void submit(int host, std::uint64_t call, const SubmitEdit &submit);
  void pump(int host, std::uint32_t bucket);
  void onEdit(int host, std::uint64_t call, const EditOutcome &outcome);
  void onDesk(int host, std::uint64_t call, Take take);
  void sendToStore(int host, std::uint32_t bucket,
                   const BucketRequest &request);
  void serveStore(int host, std::uint64_t life, std::uint32_t bucket,
                  const BucketRequest &request);
  void sendToDesk(int host, std::uint64_t call);
  void serveDesk(int host, std::uint64_t life, std::uint64_t call,
                 std::size_t caller, CallAttempt ordinal);
  void forward(int host, std::uint64_t call, const IncarnationId &owner);
  void answer(int host, std::uint64_t call, DeskCallAnswer answer);

  void checkRun(std::size_t caller, CallAttempt ordinal);
  void checkNotRun(std::size_t caller, CallAttempt ordinal);

  std::mt19937_64 Engine;
  Omission Omitted;
  int DisturbancePercent = 0;
  bool IsCalm = false;
  Instant Clock{hours(1)};
  std::vector<Host> Hosts;
  std::vector<Caller> Callers;
  std::vector<Event> Bag;
  std::map<std::uint32_t, StoredObject> Store;
  bool IsStoreDown = false;
  std::uint64_t NextNumber = 1;
  SimulationCounts Count;
};

} // namespace sorrelbay
