// Case 7: replicas run requests and fail them with 503, without saying that
// they did not run.
#include "deployment.hh"

using namespace review;

namespace {

/// What the replicas did: the runs by attempt, and by what the client wanted.
struct Runs {
  std::mutex Mutex;
  std::map<std::string, int> ByAttempt;
  std::map<std::string, int> ByWish;
};

} // namespace

int main(int argc, char **argv) {
  if (argc < 2)
    return 2;
  record().open(argv[1]);
  const bool isTroubled = hasTrouble();
  const std::string service = "wuno96b";
  Runs runs;
  std::atomic<bool> isGrey{false};
  std::atomic<unsigned> arrivals{0};
  Deployment deployment;

  const auto serve = [&](const std::string &id,
                         const std::shared_ptr<Stream> &channel) {
    Message request;
    while (channel->read(request, 60000, false)) {
      if (request.target() == "/healthz") {
        channel->write(response(200, "", "Instance-Id: " + id + "\r\n"));
        continue;
      }
      const std::string attempt = request.header("Attempt-Id");
      const std::string headers = "Attempt-Id: " + attempt + "\r\n";
      if (request.header("Expect-Instance") != id) {
        channel->write(response(421, "", headers));
        continue;
      }
      sleepMs(15);
      {
        const std::lock_guard<std::mutex> lock(runs.Mutex);
        ++runs.ByAttempt[attempt];
        ++runs.ByWish[request.Body];
      }
      // 45 in 100 fail: the booking is made, and something after it fails.
      const unsigned n = ++arrivals;
      const bool fails = isGrey && n * 45 % 100 < 45;
      const int status = fails ? 503 : 200;
      record().line("replica " + id + " runs " + attempt + " (" + request.Body +
                    ") and answers " + std::to_string(status));
      channel->write(response(status, fails ? "failed" : "booked",
                              headers + "Server-Signature: " + id + "." +
                                  attempt + "\r\n"));
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
                                       service, 1000, 1)}),
                    service));
  deployment.startHosts();

  int refused = 0;
  const auto begun = Clock::now();
  const auto seconds = [&] {
    return std::chrono::duration<double>(Clock::now() - begun).count();
  };
  for (int n = 0; seconds() < 8; ++n) {
    // The trouble lasts four seconds.
    isGrey = isTroubled && seconds() > 2 && seconds() < 6;
    const std::string wish = "booking " + std::to_string(n);
    // A promise is followed by one retry, with an id and a channel of its own.
    for (int attempt = 0; attempt < 2; ++attempt) {
      const std::string id = newId();
      Stream channel;
      Message answer;
      if (!channel.connect(deployment.Hosts[(n + attempt) % 3]->Callers) ||
          !channel.write(
              requestHead("POST", "/booking/1", id, 1000, wish.size()) +
              wish) ||
          !channel.read(answer, 2000, true)) {
        record().line("client: " + id + " (" + wish + ") gets no answer");
        break;
      }
      const int status = answer.status();
      record().line("client: " + id + " (" + wish + ") gets " +
                    std::to_string(status));
      const bool isPromise =
          status == 503 || status == 429 || status == 408 || status == 421;
      if (!isPromise)
        break;
      const std::lock_guard<std::mutex> lock(runs.Mutex);
      if (runs.ByAttempt[id] > 0) {
        ++refused;
        record().line("REFUSED: " + id + " was answered " +
                      std::to_string(status) + " and has run");
      }
    }
    sleepMs(25);
  }
  int doubled = 0;
  {
    const std::lock_guard<std::mutex> lock(runs.Mutex);
    for (const auto &[wish, count] : runs.ByWish)
      doubled += count > 1 ? 1 : 0;
  }
  record().line(std::to_string(refused) +
                " requests were answered with a promise and have run; " +
                std::to_string(doubled) + " bookings were made twice");
  return deployment.end(refused != 0);
}
