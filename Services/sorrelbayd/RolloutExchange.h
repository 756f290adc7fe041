#pragma once

#include "LibObjectApi/ObjectApi.h"
#include "LibOperator/MoveStatus.h"
#include "RolloutTracker.h"

namespace sorrelbay {

/// Keeps what daemons know of moves in the object API, one object a host, and
/// writes each move's status for operators. Peers tell each other the same
/// directly; the objects serve those that start when no peer lives.
class RolloutExchange {
public:
  RolloutExchange(ObjectApi objects, HostId self, RolloutTracker &moves);

  /// Takes in what the others sent, then sends them what is new here. Throws as
  /// the ObjectApi's hooks do, and RolloutKnowledgeMalformed; what was taken in
  /// until then stays.
  void exchange();
  /// Only the telling. Throws the same.
  void tell();

  /// Writes the move's status where it says more than the stored one. A version
  /// that is stored as taken back stays so.
  void writeStatus(const RolloutView &move, std::uint64_t generation);

private:
  const ObjectApi Objects;
  const HostId Self;
  RolloutTracker &Moves;
  std::string Told;

  void ask();
};

/// What status shows of a move.
MoveStatus statusOf(const RolloutView &move, std::uint64_t generation);

} // namespace sorrelbay
