#pragma once

#include "GatewayState.h"
#include <boost/asio/steady_timer.hpp>

namespace sorrelbay {

/// Obtains the secret with which hosts prove to each other that they relay a
/// call. It lies in the store; the first host creates it, and each process
/// reads it once. Used only on the event loop's thread.
class RelaySecret {
public:
  explicit RelaySecret(GatewayState &state);
  void start() { read(); }

private:
  void read();
  void create();
  void onRead(const StoreResult<Resource> &result);
  void retryLater();

  GatewayState &State;
  boost::asio::steady_timer RetryTimer;
};

} // namespace sorrelbay
