// Case 5: an answer without a length whose replica crashes on the way.
#include "deployment.hh"

using namespace review;

namespace {

/// A running replica and what it prints.
struct Replica {
  std::string Id, Zone, Address, Runs;
  pid_t Pid = -1;
  int Out = -1;
  std::string Text;

  void start(const std::string &program, const std::string &id,
             const std::string &ip) {
    int ends[2];
    if (::pipe(ends) != 0)
      cannotRun("no pipe");
    Id = id;
    Text.clear();
    Pid = ::fork();
    if (Pid == 0) {
      ::dup2(ends[1], 1);
      ::close(ends[0]);
      ::execl(program.c_str(), program.c_str(), id.c_str(), ip.c_str(),
              nullptr);
      std::_Exit(127);
    }
    children().add(Pid);
    ::close(ends[1]);
    Out = ends[0];
    Address = waitFor("listening ", 5000);
    if (Address.empty())
      cannotRun("a replica doesn't start");
  }
  /// The rest of the next line that begins so; empty if there is none in time.
  std::string waitFor(const std::string &begin, int timeoutMs) {
    const auto until = Clock::now() + std::chrono::milliseconds(timeoutMs);
    for (;;) {
      const auto at = Text.find(begin);
      const auto end = at == std::string::npos ? at : Text.find('\n', at);
      if (end != std::string::npos) {
        const std::string out =
            Text.substr(at + begin.size(), end - at - begin.size());
        Text.erase(0, end + 1);
        return out;
      }
      pollfd it{Out, POLLIN, 0};
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
          until - Clock::now());
      char buf[512];
      if (left.count() <= 0 || ::poll(&it, 1, (int)left.count()) <= 0)
        return "";
      const ssize_t n = ::read(Out, buf, sizeof(buf));
      if (n <= 0)
        return "";
      Text.append(buf, n);
    }
  }
  void kill() {
    ::kill(Pid, SIGKILL);
    ::waitpid(Pid, nullptr, 0);
    children().remove(Pid);
    ::close(Out);
    Pid = -1;
  }
};

} // namespace

int main(int argc, char **argv) {
  if (argc < 3)
    return 2;
  record().open(argv[1]);
  const std::string program = argv[2];
  const bool isTroubled = hasTrouble();
  Deployment deployment;
  Store &store = deployment.TheStore;
  const std::string service = "wuno96b";
  std::vector<Replica> replicas(4);
  int started = 0;
  const auto startReplica = [&](std::size_t n) {
    replicas[n].Zone = zones()[n];
    replicas[n].start(program, "i-" + std::to_string(++started),
                      "127.10.100." + std::to_string(n + 1));
    store.put("servers", replicas[n].Id,
              serverEntry(service, replicas[n].Address, replicas[n].Zone));
  };
  for (std::size_t n = 0; n < replicas.size(); ++n)
    startReplica(n);
  store.put("config", "main",
            configuration(
                Json::array(
                    {route("quote", "/quote/", "streaming", service, 10000, 1),
                     route("booking", "/booking/", "non_idempotent", service,
                           10000, 1)}),
                service));
  deployment.startHosts();

  // The longest body that MaxBodyBytes allows.
  const std::string body(4194304, 'b');
  int broken = 0;
  for (int round = 0; round < 6; ++round) {
    const std::string path = round % 2 == 0 ? "/quote/1" : "/booking/1";
    const std::string id = newId();
    Stream channel;
    if (!channel.connect(deployment.Hosts[round % 3]->Callers))
      cannotRun("an entry host takes no channel");
    record().line("client: POST " + path + " " + id + ", " +
                  std::to_string(body.size()) + " bytes");
    std::thread sender([&] {
      channel.write(requestHead("POST", path, id, 10000, body.size()) + body);
    });
    std::size_t running = replicas.size();
    for (int n = 0; n < 60 && running == replicas.size(); ++n)
      for (std::size_t k = 0; k < replicas.size(); ++k)
        if (running == replicas.size() &&
            replicas[k].waitFor("runs ", 25) == id)
          running = k;
    sender.join();
    if (running == replicas.size())
      cannotRun("no replica runs the request");
    record().line("replica " + replicas[running].Id + " runs " + id +
                  " and has sent 10 of 20 parts of its answer");
    const std::string gone = replicas[running].Id;
    if (isTroubled) {
      sleepMs(200);
      replicas[running].kill();
      record().line("replica " + gone + " has crashed (SIGKILL)");
    }
    Message answer;
    const bool hasHead = channel.readHead(answer, 11000);
    const bool isWhole = hasHead && channel.readBody(answer, 11000, true);
    const bool isComplete = answer.Body.find("20 of 20") != std::string::npos;
    record().line("client gets " +
                  (hasHead ? answer.First : std::string("a closed channel")) +
                  ", Server-Signature \"" + answer.header("Server-Signature") +
                  "\", " + std::to_string(answer.Body.size()) +
                  " bytes, framing " + (isWhole ? "complete" : "incomplete") +
                  ", answer " + (isComplete ? "whole" : "not whole"));
    const bool isSuccess = hasHead && answer.status() / 100 == 2;
    if (isSuccess && isWhole && !isComplete) {
      ++broken;
      record().line("MIXED: a success with a part of the replica's body looks "
                    "complete");
    }
    if (!isTroubled && !(isSuccess && isWhole && isComplete))
      cannotRun("without the disruption an answer isn't whole");
    if (isTroubled) {
      // Down for two seconds; the entry goes after three intervals of silence.
      sleepMs(2000);
      startReplica(running);
      sleepMs(1600);
      store.remove("servers", gone);
    }
  }
  record().line(std::to_string(broken) + " of 6 answers broke the rule");
  for (Replica &it : replicas)
    it.kill();
  const int result = deployment.end(broken != 0);
  return result;
}
