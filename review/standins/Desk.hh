#pragma once

// A small deployment's plain service: its configuration, and callers who keep
// their channels, as the site file tablon-sur has them.

#include "Scene.hh"
#include <set>

namespace scene {

/// The configuration with a route for bookings, which may run once at most, and
/// one for lookups.
std::string deskConfiguration();

struct Attempt {
  std::string Id;
  std::string Booking;
  double SentAt = 0;
  double EndedAt = 0;
  Reply Got;
};

/// Callers who send bookings to the hosts by turns, each on a kept channel per
/// host. After a promise that a booking has not run they send it once more.
class Callers {
public:
  Callers(Record &record, std::vector<std::string> fronts);
  /// Sends from `count` threads, each about one booking per `intervalMs`, until
  /// finish() is called.
  void start(int count, int intervalMs);
  void finish();
  std::vector<Attempt> attempts();

private:
  void run(int caller, int intervalMs);
  Attempt send(std::unique_ptr<Channel> &channel, const std::string &front,
               const std::string &booking);
  Record &Notes;
  std::vector<std::string> Fronts;
  std::vector<std::thread> Threads;
  std::atomic<bool> IsOver{false};
  std::atomic<int> Next{0};
  std::mutex Mutex;
  std::vector<Attempt> Attempts;
};

/// A platform API that accepts every call of a duty.
Listener::Serve acceptingCloud();

} // namespace scene
