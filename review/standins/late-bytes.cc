// Replicas whose extra bytes, after a complete response, arrive late: where the
// response to the next request on the channel is expected. The bytes are a 503
// that names no request. Shows a booking that is answered 503 and has run.

#include "Desk.hh"
#include <algorithm>
#include <csignal>
#include <unistd.h>

using namespace scene;

namespace {

/// The site's largest dose: of 0.6 of the replicas, 0.03 of the answers, for
/// 5 s.
constexpr int ReplicaCount = 4;
constexpr int FaultyReplicas = 2;
constexpr int AnswersPerFault = 34;
constexpr double FaultMs = 5000;
constexpr double FirstFaultAt = 4000;
constexpr int Faults = 6;
constexpr double BetweenFaults = 9000;
constexpr double EndAt = FirstFaultAt + Faults * BetweenFaults;

const std::string ExtraBytes =
    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

} // namespace

int main(int, char **argv) {
  std::signal(SIGPIPE, SIG_IGN);
  Record record(argv[1]);
  Store store(loopback(1));
  Listener cloud(loopback(2), acceptingCloud());
  const std::vector<std::string> zones = {"mvd-a", "mvd-b", "mvd-c", "mvd-d"};
  store.put("config", "main", deskConfiguration());
  std::atomic<bool> isFaulty{false};
  std::vector<std::unique_ptr<Replica>> replicas;
  std::vector<std::atomic<int>> answers(ReplicaCount);
  std::mutex owedMutex;
  std::set<const Channel *> owed;
  std::set<std::string> struck;
  for (int n = 0; n < ReplicaCount; ++n) {
    replicas.push_back(std::make_unique<Replica>(
        record, "i-" + std::to_string(n), "jobs-desk", loopback(21 + n)));
    store.put(
        "servers", replicas.back()->id(),
        replicas.back()->entry(zones[static_cast<std::size_t>(n)], "ready"));
    if (n >= FaultyReplicas)
      continue;
    replicas.back()->Special = [&, n](Replica &self, Channel &channel,
                                      const Request &request) {
      bool isOwed = false;
      {
        const std::lock_guard<std::mutex> lock(owedMutex);
        isOwed = owed.erase(&channel) != 0;
        if (isOwed)
          struck.insert(request.header("Attempt-Id"));
      }
      if (isOwed) {
        record.line("extra bytes at " + self.id() + " on the channel of " +
                    request.header("Attempt-Id"));
        channel.send(ExtraBytes);
      }
      self.noteRun(request);
      sleepMs(15);
      const bool isKept = self.answer(channel, request);
      // The extra bytes follow this complete response, late.
      const auto at = static_cast<std::size_t>(n);
      if (isFaulty && ++answers[at] % AnswersPerFault == 0) {
        const std::lock_guard<std::mutex> lock(owedMutex);
        owed.insert(&channel);
      }
      return isKept;
    };
  }
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
  const double begun = nowMs();
  callers.start(8, 370);
  for (int n = 0; n < Faults; ++n) {
    sleepMs(
        static_cast<int>(begun + FirstFaultAt + n * BetweenFaults - nowMs()));
    isFaulty = hasTrouble();
    sleepMs(static_cast<int>(FaultMs));
    isFaulty = false;
  }
  sleepMs(static_cast<int>(begun + EndAt - nowMs()));
  callers.finish();
  first.kill();
  second.kill();
  std::set<std::string> ran;
  for (const auto &it : replicas)
    for (const std::string &id : it->runs())
      ran.insert(id);
  int broken = 0;
  std::set<std::string> once;
  std::set<std::string> twice;
  const std::vector<Attempt> attempts = callers.attempts();
  for (const Attempt &it : attempts) {
    if (ran.count(it.Id) != 0 && !once.insert(it.Booking).second)
      twice.insert(it.Booking);
    const int status = it.Got.Status;
    const bool isPromise =
        status == 503 || status == 429 || status == 408 || status == 421;
    if (!isPromise || ran.count(it.Id) == 0)
      continue;
    ++broken;
    record.line("REFUSED broken: " + it.Id + " was answered " +
                std::to_string(status) + " and has run");
  }
  for (const std::string &it : twice)
    record.line("booking " + it + " ran twice, under two attempts");
  record.line("attempts " + std::to_string(attempts.size()) + ", run " +
              std::to_string(ran.size()) + ", with extra bytes " +
              std::to_string(struck.size()) + ", refused and run " +
              std::to_string(broken));
  _exit(broken > 0 ? 1 : 0);
}
