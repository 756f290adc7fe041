// Case 4: answers of 300,000 bytes that are under way when their entry host is
// stopped as planned.
#include "deployment.hh"

using namespace review;

namespace {

/// What became of one request.
struct Outcome {
  std::string Id;
  int Status = 0;
  std::size_t Bytes = 0;
  bool IsWhole = false;
  /// Since its last byte was sent.
  double Seconds = 0;
};

constexpr std::size_t AnswerBytes = 300000;
constexpr int DeadlineMs = 10000;

} // namespace

int main(int argc, char **argv) {
  if (argc < 2)
    return 2;
  record().open(argv[1]);
  const bool isTroubled = hasTrouble();
  const std::string service = "wuno96b";
  Deployment deployment;

  const auto serve = [](const std::string &id,
                        const std::shared_ptr<Stream> &channel) {
    Message request;
    while (channel->read(request, 60000, false)) {
      const std::string attempt = request.header("Attempt-Id");
      const std::string headers = "Attempt-Id: " + attempt + "\r\n";
      if (request.header("Expect-Instance") != id) {
        channel->write(response(421, "", headers));
        continue;
      }
      sleepMs(15);
      const bool isLong = request.Body == "long";
      const bool isSent = channel->write(response(
          200, std::string(isLong ? AnswerBytes : 800, 'a'),
          headers + "Server-Signature: " + id + "." + attempt + "\r\n"));
      record().line("replica " + id + " has run " + attempt + " and " +
                    (isSent ? "sent its whole answer" : "is cut off"));
      if (!isSent)
        return;
    }
  };
  std::vector<std::unique_ptr<Listener>> replicas;
  for (std::size_t n = 0; n < 4; ++n) {
    const std::string id = "i-" + std::to_string(n + 1);
    replicas.push_back(std::make_unique<Listener>(
        "127.10.100." + std::to_string(n + 1),
        [&serve, id](const std::shared_ptr<Stream> &it) { serve(id, it); }));
    deployment.TheStore.put(
        "servers", id,
        serverEntry(service, replicas.back()->Address, zones()[n]));
  }
  deployment.TheStore.put(
      "config", "main",
      configuration(Json::array({route("booking", "/booking/", "non_idempotent",
                                       service, DeadlineMs, 1)}),
                    service));
  deployment.startHosts();

  const auto ask = [](Stream &channel, const std::string &wish) {
    Outcome out;
    out.Id = newId();
    channel.write(
        requestHead("POST", "/booking/1", out.Id, DeadlineMs, wish.size()) +
        wish);
    const auto sent = Clock::now();
    Message answer;
    const bool hasHead = channel.readHead(answer, DeadlineMs + 1000);
    out.IsWhole = hasHead && channel.readBody(answer, DeadlineMs + 1000, true);
    out.Seconds = std::chrono::duration<double>(Clock::now() - sent).count();
    out.Status = hasHead ? answer.status() : 0;
    out.Bytes = answer.Body.size();
    return out;
  };
  int lost = 0;
  for (const auto &host : deployment.Hosts) {
    constexpr std::size_t Count = 4;
    std::vector<Outcome> outcomes(Count);
    std::vector<std::thread> clients;
    std::atomic<std::size_t> ready{0};
    for (std::size_t n = 0; n < Count; ++n)
      clients.emplace_back([&, n] {
        Stream channel;
        if (!channel.connect(host->Callers))
          cannotRun(host->Name + " takes no channel");
        // The channel is kept: it has served a request before.
        if (!ask(channel, "short").IsWhole)
          cannotRun("a short answer isn't whole");
        ++ready;
        outcomes[n] = ask(channel, "long");
      });
    while (ready < Count)
      sleepMs(5);
    sleepMs(100);
    if (isTroubled) {
      host->Daemon->kill(SIGTERM);
      record().line("SIGTERM to " + host->Name);
    }
    for (std::thread &it : clients)
      it.join();
    for (const Outcome &it : outcomes) {
      char line[200];
      std::snprintf(line, sizeof(line),
                    "client: %s at %s gets %d and %zu of %zu bytes, %s, %.3f s "
                    "after it was sent",
                    it.Id.c_str(), host->Name.c_str(), it.Status, it.Bytes,
                    AnswerBytes, it.IsWhole ? "whole" : "not whole",
                    it.Seconds);
      record().line(line);
      // Cut at its deadline, a request doesn't count.
      const bool isBeforeDeadline = it.Seconds < DeadlineMs / 1000.0 - 0.5;
      if (isTroubled && !it.IsWhole && isBeforeDeadline) {
        ++lost;
        record().line("LOST: " + it.Id +
                      " was run, and its channel has ended "
                      "without a complete answer");
      }
    }
    if (isTroubled) {
      for (int n = 0; n < 100 && host->Daemon->isRunning(); ++n)
        sleepMs(100);
      host->start();
      host->waitReady();
      sleepMs(2000);
    }
  }
  record().line(std::to_string(lost) + " of 12 requests were lost");
  return deployment.end(lost != 0);
}
