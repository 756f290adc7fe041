// Case 6: clients that read a long stream and stop reading for a moment.
#include "deployment.hh"

using namespace review;

namespace {

constexpr int Events = 1500;
constexpr int DeadlineMs = 4500;

std::string event(int n) {
  return "id: " + std::to_string(n) + "\ndata: " + std::string(8000, 'a') +
         "\n\n";
}

} // namespace

int main(int argc, char **argv) {
  if (argc < 2)
    return 2;
  record().open(argv[1]);
  const bool isTroubled = hasTrouble();
  const std::string service = "huvo11a";
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
      if (request.Body == "short") {
        channel->write(response(200, "a",
                                headers + "Server-Signature: " + id + "." +
                                    attempt + "\r\n"));
        continue;
      }
      bool isSent = channel->write(
          "HTTP/1.1 200 OK\r\n" + headers + "Server-Signature: " + id + "." +
          attempt +
          "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: "
          "chunked\r\n\r\n");
      int n = 0;
      while (isSent && n < Events) {
        const std::string text = event(++n);
        char size[24];
        std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
        isSent = channel->write(size + text + "\r\n");
        sleepMs(1);
      }
      isSent = isSent && channel->write("0\r\n\r\n");
      record().line("replica " + id + " has run " + attempt +
                    (isSent ? " and sent its whole answer"
                            : ": its channel was closed after event " +
                                  std::to_string(n)));
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
      configuration(Json::array({route("quote", "/quote/", "streaming", service,
                                       DeadlineMs, 1)}),
                    service));
  deployment.startHosts();

  std::size_t wholeBytes = 0;
  for (int n = 1; n <= Events; ++n)
    wholeBytes += event(n).size();
  int lost = 0;
  for (int n = 0; n < 6; ++n) {
    const auto &host = deployment.Hosts[n % 3];
    Stream channel;
    // A small window, as the links of DEPLOY.md have.
    if (!channel.connect(host->Callers, 1000, 65536))
      cannotRun(host->Name + " takes no channel");
    // The channel is kept: it has served a request before.
    Message answer;
    channel.write(requestHead("POST", "/quote/1", newId(), DeadlineMs, 5) +
                  "short");
    if (!channel.read(answer, DeadlineMs, true))
      cannotRun("a short answer isn't whole");
    const std::string id = newId();
    channel.write(requestHead("POST", "/quote/1", id, DeadlineMs, 4) + "long");
    const auto sent = Clock::now();
    answer = {};
    const bool hasHead = channel.readHead(answer, DeadlineMs + 1000);
    while (hasHead && channel.Buffer.size() < 200000 && channel.fill(1000)) {
    }
    if (isTroubled) {
      record().line("client: " + id + " stops reading for 1.5 s");
      sleepMs(1500);
    }
    const bool isWhole = hasHead &&
                         channel.readBody(answer, DeadlineMs + 1000, true) &&
                         answer.Body.size() == wholeBytes;
    const double seconds =
        std::chrono::duration<double>(Clock::now() - sent).count();
    char line[200];
    std::snprintf(
        line, sizeof(line),
        "client: %s at %s gets %d and %zu of %zu bytes, %s, %.3f s "
        "after it was sent%s",
        id.c_str(), host->Name.c_str(), answer.status(), answer.Body.size(),
        wholeBytes, isWhole ? "whole" : "not whole", seconds,
        isWhole || channel.IsTimeout ? "" : "; the channel is closed");
    record().line(line);
    if (!isWhole && !channel.IsTimeout) {
      ++lost;
      record().line("LOST: the host has closed the channel of " + id +
                    " without its answer");
    }
  }
  record().line(std::to_string(lost) + " of 6 answers were lost; more than 3 "
                                       "break the rule");
  return deployment.end(lost > 3);
}
