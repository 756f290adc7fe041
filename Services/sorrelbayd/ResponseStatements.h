#pragma once

#include "GatewayState.h"

namespace sorrelbay {

/// A response of an upstream, as far as it matters for what the upstream states
/// in it about itself.
struct StatementSource {
  UpstreamId Upstream;
  /// The id of the call that was in flight on the connection.
  std::string CallId;
  /// When the upstream was chosen for that call, and when it was sent.
  Instant ChosenAt{};
  Instant SentAt{};
  bool IsSuccess = false;
  /// False if the response is to an earlier call on the connection, or may be.
  bool IsForThisCall = false;
};

/// Applies what the upstream states about itself in a response to the table of
/// upstreams. Each statement is counted, whether it has an effect or not, and
/// logged within State.StatementLogBudget.
class ResponseStatements {
public:
  ResponseStatements(GatewayState &state, StatementSource source)
      : State(state), Source(std::move(source)) {}

  void apply(const UpstreamReplyInfo &replyInfo);

private:
  void applyRateLimit(const std::optional<double> &perSecond);
  void applyRejectionLimit(const std::optional<double> &perSecond);
  std::optional<LimitStatement>
  limitStatement(StatementKind kind,
                 const std::optional<double> &perSecond) const;
  void applyPause(Duration pause);
  void applyLeaving();
  void applyLoad(LoadStatement load);
  void logContradicted();
  void ignore(const IgnoredStatement &statement);
  bool isFirstOfItsKind(const IgnoredStatement &statement) const;

  GatewayState &State;
  StatementSource Source;
};

} // namespace sorrelbay
