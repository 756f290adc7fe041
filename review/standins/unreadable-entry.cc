// Another writer leaves an entry of the kind `servers` whose bytes can't be
// read. Then replicas are replaced one after the other. Shows requests that
// reach a replica later than DrainMs after the store accepted that it leaves,
// and bookings that are lost when it ends.

#include "Desk.hh"
#include <algorithm>
#include <csignal>
#include <unistd.h>

using namespace scene;

namespace {

constexpr int DrainMs = 2000;
/// The site's `linger_ms`: how much longer than DrainMs a replica serves.
constexpr int LingerMs = 1500;
constexpr int ReplicaCount = 4;
/// The site's release: 0.52 of the replicas, about one a second.
constexpr int Replaced = 2;
constexpr int BetweenMs = 1000;
/// StableWindowMs; the hosts are in touch when the entry is written.
constexpr int CalmMs = 4000;
constexpr int RecoveryMs = 12000;

/// A JSON text whose string isn't valid UTF-8.
const std::string UnreadableSpec = "{\"Service\":\"\xff\xfe\x80\"}";

struct Arrival {
  std::string Id;
  double At;
};

} // namespace

int main(int, char **argv) {
  std::signal(SIGPIPE, SIG_IGN);
  Record record(argv[1]);
  Store store(loopback(1));
  Listener cloud(loopback(2), acceptingCloud());
  const std::vector<std::string> zones = {"mvd-a", "mvd-b", "mvd-c", "mvd-d"};
  store.put("config", "main", deskConfiguration());
  std::vector<std::unique_ptr<Replica>> replicas;
  std::vector<std::vector<Arrival>> arrivals(ReplicaCount + Replaced);
  std::mutex arrivalsMutex;
  std::vector<std::atomic<bool>> isEnded(ReplicaCount + Replaced);
  const auto addReplica = [&](std::size_t n) {
    replicas.push_back(
        std::make_unique<Replica>(record, "i-" + std::to_string(n), "jobs-desk",
                                  loopback(21 + static_cast<int>(n))));
    replicas.back()->Special = [&, n](Replica &self, Channel &channel,
                                      const Request &request) {
      {
        const std::lock_guard<std::mutex> lock(arrivalsMutex);
        arrivals[n].push_back({request.header("Attempt-Id"), nowMs()});
      }
      self.noteRun(request);
      // The site's longest work of a booking.
      for (int ms = 0; ms < 110 && !isEnded[n]; ms += 5)
        sleepMs(5);
      if (isEnded[n]) {
        channel.reset();
        return false;
      }
      return self.answer(channel, request);
    };
    store.put("servers", replicas.back()->id(),
              replicas.back()->entry(zones[n % zones.size()], "ready"));
  };
  for (std::size_t n = 0; n < ReplicaCount; ++n)
    addReplica(n);
  const std::string folder = makeFolder();
  Daemon first(makeHost("edge-mvd-a-1", "mvd-a", loopback(11)), folder,
               store.address(), cloud.address(), zones);
  Daemon second(makeHost("edge-mvd-b-1", "mvd-b", loopback(12)), folder,
                store.address(), cloud.address(), zones);
  first.start();
  second.start();
  if (!first.awaitReady(10000) || !second.awaitReady(10000)) {
    record.line("the hosts are not ready");
    first.kill();
    second.kill();
    _exit(2);
  }
  Callers callers(record, {first.host().Front, second.host().Front});
  callers.start(8, 370);
  sleepMs(CalmMs);
  if (hasTrouble()) {
    store.put("servers", "i-foreign", UnreadableSpec);
    record.line("another writer's entry i-foreign, which can't be read");
  }
  sleepMs(CalmMs);
  std::vector<double> leftAt(Replaced);
  std::vector<std::thread> ends;
  for (std::size_t n = 0; n < Replaced; ++n) {
    addReplica(ReplicaCount + n);
    record.line("replica i-" + std::to_string(ReplicaCount + n) + " starts");
    sleepMs(BetweenMs);
    store.put("servers", replicas[n]->id(),
              replicas[n]->entry(zones[n], "draining"));
    leftAt[n] = nowMs();
    record.line("the store accepted: " + replicas[n]->id() + " is draining");
    ends.emplace_back([&, n] {
      sleepMs(DrainMs + LingerMs);
      isEnded[n] = true;
      replicas[n]->stop();
      store.remove("servers", replicas[n]->id());
      record.line(replicas[n]->id() + " ends");
    });
  }
  for (std::thread &it : ends)
    it.join();
  sleepMs(1000);
  callers.finish();

  int late = 0;
  for (std::size_t n = 0; n < Replaced; ++n)
    for (const Arrival &it : arrivals[n])
      if (it.At > leftAt[n] + DrainMs) {
        ++late;
        record.line("DRAIN broken: " + it.Id + " reached " + replicas[n]->id() +
                    " " + std::to_string(static_cast<int>(it.At - leftAt[n])) +
                    " ms after it was draining");
      }
  std::set<std::string> ran;
  for (const auto &it : replicas)
    for (const std::string &id : it->runs())
      ran.insert(id);
  int lost = 0;
  for (const Attempt &it : callers.attempts())
    if (ran.count(it.Id) != 0 && it.Got.Status / 100 != 2)
      ++lost;
  // For the record only: a host that starts again while the entry is there.
  second.kill();
  second.start();
  const bool isReady = second.awaitReady(RecoveryMs);
  record.line(std::string("a host that was started again is ") +
              (isReady ? "ready" : "not ready after RecoveryS"));
  first.kill();
  second.kill();
  record.line("requests later than DrainMs " + std::to_string(late) +
              ", bookings that began to run and got no answer " +
              std::to_string(lost));
  _exit(late > 0 ? 1 : 0);
}
