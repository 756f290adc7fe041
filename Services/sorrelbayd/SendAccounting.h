#pragma once

#include "CallSend.h"
#include "GatewayState.h"
#include <functional>

namespace sorrelbay {

/// The call whose sends are recorded. The plan that holds the route and the
/// team must outlive the accounting.
struct SentCall {
  const ServingCall &Call;
  const ServingRoute &Route;
  /// Null if the route needs no key.
  const ServingTeam *Team = nullptr;
  ServiceId Service;
  /// The call's rank; 0 is the most urgent.
  int Priority = 0;
};

/// Records the sends of one call to upstreams in the host's tables: the
/// upstreams' load, statements and health, the paths to them, their crashes,
/// rollouts and the team's usage. Sends to other hosts are not recorded here.
class SendAccounting {
public:
  SendAccounting(GatewayState &state, SentCall sent);

  /// The send's upstream was chosen; the call counts as open there.
  void noteChosen(const CallSend &send);
  void noteConnect(const CallSend &send, ConnectResult result);
  /// The call is about to be written to the connection. `onQuarantined` is
  /// called if its prompt is quarantined while the send is open.
  void noteSending(CallSend &send, std::function<void()> onQuarantined);
  /// The upstream has sent something.
  void noteReceived(CallSend &send);
  void noteFirstByte(const CallSend &send, bool isSuccessful);
  /// How far a response's statements can be relied on.
  struct StatementSource {
    bool IsSuccessful = false;
    bool IsForThisCall = false;
  };
  /// Records what the upstream states about itself in the response.
  void noteStatements(const CallSend &send, const UpstreamReplyInfo &replyInfo,
                      StatementSource source);
  /// Counts the call once in its team's usage, unless it was relayed.
  void noteCallStarted(const CallSend &send);
  void noteEnded(CallSend &send, SendResult result);

private:
  void endWait(CallSend &send);
  void noteTimes(const CallSend &send, SendResult result);
  void noteTimeWithoutFirstByte(Duration expected, Duration waited);
  void noteOutputTime(const CallSend &send, bool isWhole);
  void noteTimeToFirstByte(Duration expected, Duration took);
  void recordOutcome(const CallSend &send, SendResult result);
  void recordFirstByte(const CallSend &send);
  double expectedFirstByte(const CallSend &send) const;

  GatewayState &State;
  const SentCall Sent;
  CallCost ExpectedCost;
  bool IsCounted = false;
  /// The response of the send has been recorded for its version.
  bool HasRecorded = false;
};

} // namespace sorrelbay
