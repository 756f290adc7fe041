// Not a case: a caller names a part of its prompts with bytes that are no
// UTF-8, and four of six replicas crash under such calls. usage: unreadable-part FILE,
// in the root; TROUBLE=0: the same with a part that can be read. Exits with 1 if
// hosts answer 503 at the end, 0 if they serve, 2 if it couldn't run.
#include "deployment.hh"

using namespace review;

namespace {

/// Starts a replica as a process of its own, which ends under the part.
pid_t startReplica(Store &store, const std::string &id, const std::string &ip,
                   const std::string &zone) {
  int ends[2];
  if (::pipe(ends) != 0)
    cannotRun("no pipe");
  const pid_t pid = ::fork();
  if (pid == 0) {
    Listener listener(ip, [](const std::shared_ptr<Stream> &channel) {
      Message request;
      while (channel->read(request, 60000, false)) {
        if (request.header("Prefix-Hash").compare(0, 3, "caf") == 0)
          std::_Exit(0);
        channel->write(response(
            200, "ok",
            "Attempt-Id: " + request.header("Attempt-Id") +
                "\r\nServer-Signature: " + request.header("Attempt-Id") +
                "\r\n"));
      }
    });
    const std::string line = listener.Address + "\n";
    if (::write(ends[1], line.data(), line.size()) < 0)
      std::_Exit(2);
    for (;;)
      ::pause();
  }
  children().add(pid);
  char buf[64];
  const ssize_t n = ::read(ends[0], buf, sizeof(buf));
  if (n <= 1)
    cannotRun("a replica doesn't start");
  store.put("servers", id,
            serverEntry("huvo11a", std::string(buf, n - 1), zone));
  return pid;
}

} // namespace

int main(int argc, char **argv) {
  if (argc < 2)
    return 2;
  record().open(argv[1]);
  const std::string part = hasTrouble() ? "caf\xe9" : "cafe";
  Deployment deployment;
  std::vector<pid_t> replicas;
  for (int n = 0; n < 6; ++n)
    replicas.push_back(startReplica(
        deployment.TheStore, "i-" + std::to_string(n + 1),
        "127.10.100." + std::to_string(n + 1), zones()[n % 4]));
  Json plan = configuration(
      Json::array({route("quote", "/quote/", "streaming", "huvo11a", 2000, 1),
                   route("lookup", "/lookup/", "idempotent", "huvo11a", 1000,
                         1)}),
      "huvo11a");
  plan["Services"][0]["Engine"] = {{"Slots", 48}, {"KvCapacity", 444000}};
  deployment.TheStore.put("config", "main", plan);
  deployment.startHosts();

  const auto ask = [&](std::size_t host, const std::string &path,
                       const std::string &prefix) {
    Stream channel;
    Message answer;
    std::string head = requestHead("POST", path, newId(), 1000, 0);
    head.insert(head.size() - 2, prefix);
    if (!channel.connect(deployment.Hosts[host]->Callers) ||
        !channel.write(head) || !channel.read(answer, 2000, true))
      return 0;
    return answer.status();
  };
  const auto ended = [&] {
    int out = 0;
    for (pid_t &it : replicas) {
      if (it > 0 && ::waitpid(it, nullptr, WNOHANG) == it) {
        children().remove(it);
        it = -1;
      }
      out += it < 0 ? 1 : 0;
    }
    return out;
  };
  for (int n = 0; n < 6 && ended() < 4; ++n) {
    const int status = ask(n % 3, "/quote/1",
                           "Token-Usage: 100,10\r\nPrefix-Hash: " + part +
                               ":50,a" + std::to_string(n) + ":50\r\n");
    sleepMs(1500);
    record().line("client: a call with the part gets " +
                  std::to_string(status) + "; " + std::to_string(ended()) +
                  " of 6 replicas have crashed");
  }
  int refusing = 0;
  for (int n = 0; n <= 10; n += 2) {
    std::string line = "other calls get";
    refusing = 0;
    for (std::size_t host = 0; host < 3; ++host) {
      const int status = ask(host, "/lookup/1", "");
      refusing += status == 503 ? 1 : 0;
      line += " " + std::to_string(status);
    }
    record().line(line);
    sleepMs(2000);
  }
  for (const pid_t it : replicas)
    if (it > 0) {
      ::kill(it, SIGKILL);
      ::waitpid(it, nullptr, 0);
    }
  record().line(std::to_string(refusing) + " of 3 hosts answer 503");
  return deployment.end(refusing != 0);
}
