#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include "LibDecision/AnswerStream.h"
#include <cstdint>
#include <string>
#include <vector>

namespace sorrelbay {

/// A peer's message is not a valid handover, or this host cannot continue the
/// answer.
class HandoverRefused : public Error {
public:
  using Error::Error;
};

/// The state that another entry host needs to continue an answer when its
/// current host leaves.
struct Handover {
  RequestId Request;
  TeamId Team;
  RouteId OnRoute;
  /// The version that the answer started with; another version would continue
  /// with a different text.
  VersionId Version;
  /// The caller's request body, unchanged.
  std::string Body;
  std::vector<std::string> Tokens;
  AnswerAttempt LastAttempt = 0;
  /// The engine that holds the KV cache of the answer; empty if there is none.
  UpstreamId At;
  /// The caller's deadline.
  Instant Deadline{};
  /// W3C trace context; empty if the caller sent none.
  std::string TraceParent;

  friend bool operator==(const Handover &a, const Handover &b);
  friend bool operator!=(const Handover &a, const Handover &b) {
    return !(a == b);
  }
};

/// Encodes the handover as a CBOR map for the peer link.
std::vector<std::uint8_t> encodeHandover(const Handover &handover);
/// The inverse of encodeHandover. Throws HandoverRefused.
Handover parseHandover(const std::vector<std::uint8_t> &message);

/// An entry host that may continue answers of this host.
struct HandoverPeer {
  HostId Host;
  ZoneId Zone;
  /// The address at which callers reach it, "address:port".
  std::string CallerAddress;
  bool IsLeaving = false;
};

/// Returns the peers that may continue the answer, best first. Leaving peers
/// are omitted, and peers in other zones precede those in `ownZone`, which may
/// be reclaimed as a whole. Within these groups the order depends on the
/// request, so that the answers of one host are spread over its peers.
std::vector<HandoverPeer> orderPeers(const RequestId &request,
                                     const ZoneId &ownZone,
                                     std::vector<HandoverPeer> peers);

/// Returns the notice for a caller whose answer continues on another host, as a
/// JSON object. It lists the addresses of the peers. The caller connects to one
/// of them with the same request id and Last-Event-ID.
std::string movedNotice(const RequestId &request,
                        const std::vector<HandoverPeer> &peers);

} // namespace sorrelbay
