#pragma once

#include "BundleStore.h"
#include "DaemonSettings.h"
#include "LibDecision/Handover.h"
#include "LibHttp/GrowingWorkerPool.h"
#include "LiveAnswers.h"
#include "ModelCalls.h"
#include "OpenCalls.h"
#include <functional>
#include <string>
#include <vector>

namespace sorrelbay {

/// The kind of the peer request that carries a handover.
extern const char *const HandoverKind;

/// Gives the open answers to peers when this entry host leaves before they end,
/// and makes on those that peers give to this one. Without it a reclaim of an
/// entry host would cut its answers off, and each caller would pay for its
/// prompt again. Thread-safe.
class AnswerHandover {
public:
  /// Sends a request to a peer; throws an Error if the peer hasn't taken it.
  using Forward = std::function<void(const HostId &, const std::string &body)>;
  using Peers = std::function<std::vector<HandoverPeer>()>;

  AnswerHandover(const DaemonSettings &settings, BundleStore &bundles,
                 LiveAnswers &answers, ModelCalls &models, OpenCalls &open);

  /// Gives every streamed answer that is open to a peer and tells its caller
  /// where it goes on. What no peer takes is made on here.
  void handOverAll(const Peers &peers, const Forward &forward);
  /// Takes a peer's answer over; it is made on a thread of its own. Throws
  /// HandoverRefused.
  void take(const std::string &body);
  /// Waits for the answers that were taken over.
  void stop();

private:
  void give(LiveAnswer &answer, const std::vector<HandoverPeer> &peers,
            const Forward &forward) const;

  const DaemonSettings &Settings;
  BundleStore &Bundles;
  LiveAnswers &Answers;
  ModelCalls &Models;
  OpenCalls &Open;
  GrowingWorkerPool Makers;
};

} // namespace sorrelbay
