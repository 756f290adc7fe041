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

/// Hands the open answers over to peers when this entry host stops before they
/// end, and continues those that peers hand over to this host. Without it, the
/// reclaim of an entry host would abort its answers, and each caller would pay
/// for its prompt again. Thread-safe.
class AnswerHandover {
public:
  /// Sends a request to a peer. Throws an Error if the peer has not accepted
  /// it.
  using Forward = std::function<void(const HostId &, const std::string &body)>;
  using Peers = std::function<std::vector<HandoverPeer>()>;

  AnswerHandover(const DaemonSettings &settings, BundleStore &bundles,
                 LiveAnswers &answers, ModelCalls &models, OpenCalls &open);

  /// Hands every open streamed answer over to a peer and sends its caller the
  /// peer's address. An answer that no peer accepts continues on this host.
  void handOverAll(const Peers &peers, const Forward &forward);
  /// Takes over a peer's answer and continues it on a worker thread. Throws
  /// HandoverRefused.
  void acceptHandover(const std::string &body);
  /// Waits until the answers that were taken over have ended.
  void stop();

private:
  void handOver(LiveAnswer &answer, const std::vector<HandoverPeer> &peers,
                const Forward &forward) const;

  const DaemonSettings &Settings;
  BundleStore &Bundles;
  LiveAnswers &Answers;
  ModelCalls &Models;
  OpenCalls &Open;
  GrowingWorkerPool AnswerWorkers;
};

} // namespace sorrelbay
