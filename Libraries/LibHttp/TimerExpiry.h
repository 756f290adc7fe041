#pragma once

#include <boost/asio/steady_timer.hpp>

namespace sorrelbay {

/// Whether the timer's present expiry time has passed. A handler checks this
/// where its timer may have been restarted: if the event loop was busy when the
/// timer expired, its handler is already queued then and runs without an error.
inline bool hasExpired(const boost::asio::steady_timer &timer) {
  return timer.expiry() <= boost::asio::steady_timer::clock_type::now();
}

} // namespace sorrelbay
