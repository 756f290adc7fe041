// Model replicas lose the path to the platform's store, one at a time, for some
// seconds: the store removes the entry after three intervals of silence, and
// the replica registers again when the path is back. It serves all the while.
// Shows that hosts end by themselves (SIGSEGV), and with them the requests that
// they had passed on to other replicas.

#include "Desk.hh"
#include <algorithm>
#include <cmath>
#include <csignal>
#include <cstdio>
#include <random>
#include <unistd.h>

using namespace scene;

namespace {

constexpr int HostCount = 2;
/// One replica of five is cut off at a time: a share of 0.2.
constexpr std::size_t ReplicaCount = 5;
constexpr int HeartbeatMs = 1200;
/// Shorter than the 5 s of `srv_cut`. The beats at 1,200, 2,400 and 3,600 ms
/// are missed.
constexpr int CutMs = 3650;
constexpr int FirstCutAtMs = 6000;
constexpr int CutIntervalMs = 9000;
constexpr int Cuts = 8;
constexpr int CalmMs = 4000;
constexpr int RestartMs = 500;
constexpr int MostLost = 3;
/// Quotes with the site's largest prompts that are being read when the entry is
/// removed: a twentieth of a second before.
constexpr int LargeQuotes = 15;
constexpr int LargeLeadMs = 50;

/// Figures of the site's replicas.
constexpr double TokensPerMs = 140;
constexpr int FirstTokenMs = 53;
constexpr int EventMs = 18;

/// A kind of request of the site, at the traffic of five of its nine replicas
/// with the site's largest burst.
struct Kind {
  const char *Path;
  int SharedTokens;
  double MeanTokens, Spread, MaxTokens;
  int Events;
  int DeadlineMs;
  double PerSecond;
  int Clients;
};
const Kind Kinds[] = {
    {"/quote/", 5382, 6610, 1.4, 54600, 48, 10000, 16.3 * 5 / 9 * 1.7, 48},
    {"/chat/", 198, 628, 1.0, 3310, 36, 10000, 31 * 5.0 / 9 * 1.7, 48},
    {"/tag/", 568, 1800, 1.3, 6870, 3, 2500, 39.3 * 5 / 9 * 1.7, 24},
};

const char *const Configuration = R"({"Version":2,"Routes":[
{"Name":"full-quote","Host":"h.example","PathPrefix":"/quote/",
"RouteKind":"streaming","Service":"sorrel-pool","MaxAttempts":1,"Sticky":true,
"TimeoutMs":10000,"LatencyGoalMs":800,"ItlTargetMs":400,"Priority":1},
{"Name":"client-chat","Host":"h.example","PathPrefix":"/chat/",
"RouteKind":"streaming","Service":"sorrel-pool","MaxAttempts":2,"Sticky":true,
"Resumable":true,
"TimeoutMs":10000,"LatencyGoalMs":400,"ItlTargetMs":400,"Priority":0},
{"Name":"defect-tag","Host":"h.example","PathPrefix":"/tag/",
"RouteKind":"streaming","Service":"sorrel-pool","MaxAttempts":1,"Sticky":true,
"TimeoutMs":2500,"LatencyGoalMs":500,"ItlTargetMs":400,"Priority":2}],
"Services":[{"Name":"sorrel-pool","MaxConns":300,"HealthPath":"/healthz",
"Engine":{"Slots":48,"KvCapacity":444000}}],
"Tenants":[{"Name":"crew","ApiKeys":["key-of-crew"],"RatePerS":0}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,
"HeaderTimeoutMs":5000,"IdleTimeoutMs":10000}})";

/// Reads prompts one after the other; parts that it has read before are cached.
class Engine {
public:
  bool serve(Replica &self, Channel &channel, const Request &request) {
    self.noteRun(request);
    ++Active;
    const bool isKept = stream(self, channel, request);
    --Active;
    return isKept;
  }

private:
  void prefill(const Request &request) {
    std::unique_lock<std::mutex> lock(Mutex);
    const std::uint64_t ticket = NextTicket++;
    Turn.wait(lock, [&] { return ticket == Serving; });
    double tokens = 0;
    std::string prefix = request.header("Prefix-Hash") + ",";
    bool isCached = true;
    while (!prefix.empty()) {
      const std::string part = prefix.substr(0, prefix.find(','));
      prefix.erase(0, part.size() + 1);
      isCached = isCached && !Read.insert(part).second;
      if (!isCached)
        tokens += std::atof(part.substr(part.find(':') + 1).c_str());
    }
    lock.unlock();
    sleepMs(static_cast<int>(tokens / TokensPerMs));
    lock.lock();
    ++Serving;
    Turn.notify_all();
  }

  bool stream(Replica &self, Channel &channel, const Request &request) {
    prefill(request);
    sleepMs(FirstTokenMs);
    const std::string attempt = request.header("Attempt-Id");
    const auto slash = request.Target.rfind('/');
    const int events = std::atoi(request.Target.substr(slash + 1).c_str());
    std::string out = "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt +
                      "\r\nServer-Signature: sig." + self.id() +
                      "\r\nServer-Load: " + std::to_string(Active) +
                      ",0,48\r\nContent-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n";
    for (int n = 1; n <= events; ++n) {
      const std::string event =
          "id: " + std::to_string(n) + "\ndata: " + attempt + "\n\n";
      char size[16];
      std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
      if (!channel.send(out + size + event + "\r\n"))
        return false;
      out.clear();
      sleepMs(EventMs);
    }
    return channel.send("0\r\n\r\n");
  }

  std::mutex Mutex;
  std::condition_variable Turn;
  std::uint64_t NextTicket = 0;
  std::uint64_t Serving = 0;
  std::set<std::string> Read;
  std::atomic<int> Active{0};
};

struct Sent {
  std::string Id;
  std::size_t Host = 0;
  bool IsKept = false;
  double EndedAt = 0;
  Reply Got;
};

} // namespace

int main(int, char **argv) {
  std::signal(SIGPIPE, SIG_IGN);
  Record record(argv[1]);
  Store store(loopback(1));
  Listener cloud(loopback(2), acceptingCloud());
  const std::vector<std::string> zones = {"mvd-a", "mvd-b", "mvd-c", "mvd-d"};
  store.put("config", "main", Configuration);
  std::vector<std::unique_ptr<Replica>> replicas;
  std::vector<Engine> engines(ReplicaCount);
  for (std::size_t n = 0; n < ReplicaCount; ++n) {
    replicas.push_back(std::make_unique<Replica>(
        record, "i-" + std::to_string(n), "sorrel-pool",
        loopback(21 + static_cast<int>(n))));
    replicas.back()->Special = [&engine = engines[n]](Replica &self,
                                                      Channel &channel,
                                                      const Request &request) {
      return engine.serve(self, channel, request);
    };
    store.put("servers", replicas[n]->id(),
              replicas[n]->entry(zones[n % zones.size()], "ready"));
  }
  const std::string folder = makeFolder();
  std::vector<std::unique_ptr<Daemon>> hosts;
  for (int n = 0; n < HostCount; ++n) {
    const std::string zone = zones[static_cast<std::size_t>(n)];
    hosts.push_back(std::make_unique<Daemon>(
        makeHost("edge-" + zone + "-1", zone, loopback(11 + n)), folder,
        store.address(), cloud.address(), zones));
    hosts.back()->start();
  }
  for (const auto &it : hosts)
    if (!it->awaitReady(10000)) {
      record.line("a host is not ready");
      for (const auto &host : hosts)
        host->kill();
      _exit(2);
    }
  sleepMs(CalmMs);

  std::atomic<bool> isOver{false};
  std::mutex sentMutex;
  std::vector<Sent> sent;
  std::atomic<int> nextId{0};
  const auto newId = [&] {
    char id[24];
    std::snprintf(id, sizeof(id), "%016x", 0x10000 + ++nextId);
    return std::string(id);
  };
  const auto textOf = [](const Kind &kind, const std::string &id, int own) {
    const std::string shared = std::to_string(kind.SharedTokens);
    return requestText(
        "POST", kind.Path + std::to_string(kind.Events),
        {{"Host", "h.example"},
         {"Attempt-Id", id},
         {"Model", "m"},
         {"Token-Usage", std::to_string(kind.SharedTokens + own) + "," +
                             std::to_string(kind.Events * 8)},
         {"Prefix-Hash", "5c1e07" + shared + ":" + shared + "," + id + ":" +
                             std::to_string(own)},
         {"Deadline-Ms", std::to_string(kind.DeadlineMs)},
         {"Api-Key", "key-of-crew"}},
        "prompt");
  };
  // One of a group of architects: sends a tag, and on the same channel, at the
  // given time, a large quote.
  const auto sendLarge = [&](int number, double at) {
    Sent one;
    one.Host = static_cast<std::size_t>(number) % hosts.size();
    const auto channel = Channel::open(hosts[one.Host]->host().Front, 1000);
    if (!channel)
      return;
    channel->send(textOf(Kinds[2], newId(), 1800));
    one.IsKept = channel->readReply(Kinds[2].DeadlineMs).IsWhole;
    if (!one.IsKept)
      return;
    sleepMs(std::max(0, static_cast<int>(at - nowMs())));
    one.Id = newId();
    record.line("sent     " + one.Id + " large quote to " +
                hosts[one.Host]->host().Name + ", kept channel");
    channel->send(
        textOf(Kinds[0], one.Id, static_cast<int>(Kinds[0].MaxTokens)));
    one.Got = channel->readReply(Kinds[0].DeadlineMs);
    one.EndedAt = nowMs();
    record.line("answered " + one.Id + " " + std::to_string(one.Got.Status) +
                (one.Got.IsWhole ? "" : ", not whole"));
    const std::lock_guard<std::mutex> lock(sentMutex);
    sent.push_back(one);
  };
  const auto client = [&](const Kind &kind, int number) {
    std::mt19937 random(static_cast<unsigned>(number * 7919 + kind.Events));
    const double sigma = kind.Spread;
    std::lognormal_distribution<double> tokens(
        std::log(kind.MeanTokens) - sigma * sigma / 2, sigma);
    std::exponential_distribution<double> pause(kind.PerSecond / kind.Clients /
                                                1000);
    const auto at = static_cast<std::size_t>(number) % hosts.size();
    std::unique_ptr<Channel> channel;
    bool isKept = false;
    double next = nowMs() + pause(random);
    while (!isOver) {
      const double left = next - nowMs();
      next += pause(random);
      if (left > 0)
        sleepMs(static_cast<int>(left));
      if (!channel) {
        channel = Channel::open(hosts[at]->host().Front, 1000);
        isKept = false;
      }
      if (!channel) {
        sleepMs(100);
        continue;
      }
      Sent one;
      one.Id = newId();
      one.Host = at;
      one.IsKept = isKept;
      const int own = std::max(
          1, static_cast<int>(std::min(tokens(random), kind.MaxTokens)));
      record.line("sent     " + one.Id + " " + kind.Path + " to " +
                  hosts[at]->host().Name + (isKept ? ", kept channel" : ""));
      channel->send(textOf(kind, one.Id, own));
      one.Got = channel->readReply(kind.DeadlineMs);
      one.EndedAt = nowMs();
      record.line("answered " + one.Id + " " + std::to_string(one.Got.Status) +
                  (one.Got.IsWhole ? "" : ", not whole"));
      isKept = one.Got.IsWhole && one.Got.header("Connection") != "close";
      if (!isKept)
        channel.reset();
      const std::lock_guard<std::mutex> lock(sentMutex);
      sent.push_back(one);
    }
  };
  std::vector<std::thread> clients;
  int number = 0;
  for (const Kind &kind : Kinds)
    for (int n = 0; n < kind.Clients; ++n)
      clients.emplace_back(client, std::cref(kind), number++);

  std::vector<std::vector<double>> endedAt(hosts.size());
  std::vector<std::thread> watches;
  for (std::size_t n = 0; n < hosts.size(); ++n)
    watches.emplace_back([&, n] {
      while (!isOver) {
        sleepMs(5);
        if (hosts[n]->isRunning())
          continue;
        endedAt[n].push_back(nowMs());
        record.line(hosts[n]->host().Name + " ended by itself, signal " +
                    std::to_string(hosts[n]->endSignal()));
        sleepMs(RestartMs);
        hosts[n]->start();
      }
    });

  std::vector<std::thread> large;
  std::vector<std::pair<double, std::size_t>> cuts;
  const double begun = nowMs();
  for (int n = 0; n < Cuts; ++n) {
    sleepMs(
        static_cast<int>(begun + FirstCutAtMs + n * CutIntervalMs - nowMs()));
    const std::size_t at = static_cast<std::size_t>(n) % ReplicaCount;
    const double removalAt = nowMs() + 3 * HeartbeatMs;
    if (hasTrouble()) {
      record.line(replicas[at]->id() + " loses the path to the store");
      cuts.emplace_back(nowMs(), at);
    }
    sleepMs(3 * HeartbeatMs - 2000);
    for (int k = 0; k < LargeQuotes; ++k)
      large.emplace_back(sendLarge, k, removalAt - LargeLeadMs);
    sleepMs(static_cast<int>(removalAt - nowMs()));
    if (!hasTrouble())
      continue;
    store.remove("servers", replicas[at]->id());
    record.line("the store removes the entry of " + replicas[at]->id());
    sleepMs(CutMs - 3 * HeartbeatMs);
    store.put("servers", replicas[at]->id(),
              replicas[at]->entry(zones[at % zones.size()], "ready"));
    record.line(replicas[at]->id() + " reaches the store and registers again");
  }
  sleepMs(3000);
  isOver = true;
  for (std::thread &it : clients)
    it.join();
  for (std::thread &it : large)
    it.join();
  for (std::thread &it : watches)
    it.join();
  for (const auto &it : hosts)
    it->kill();

  std::map<std::string, std::size_t> ranAt;
  for (std::size_t n = 0; n < replicas.size(); ++n)
    for (const std::string &id : replicas[n]->runs())
      ranAt[id] = n;
  // Only replicas that have not been cut off lately count as sound.
  const auto isSound = [&](std::size_t replica, double at) {
    return std::none_of(cuts.begin(), cuts.end(), [&](const auto &it) {
      return it.second == replica && at >= it.first &&
             at < it.first + CutMs + CalmMs;
    });
  };
  bool isBroken = false;
  for (std::size_t n = 0; n < hosts.size(); ++n) {
    int lost = 0;
    for (const Sent &it : sent) {
      const bool isCut =
          std::any_of(endedAt[n].begin(), endedAt[n].end(), [&](double at) {
            return std::abs(it.EndedAt - at) < 250;
          });
      if (it.Host == n && it.IsKept && it.Got.Status == 0 && isCut &&
          ranAt.count(it.Id) != 0 && isSound(ranAt[it.Id], it.EndedAt)) {
        ++lost;
        record.line("lost " + it.Id + ": passed on by " +
                    hosts[n]->host().Name + ", no answer");
      }
    }
    record.line(hosts[n]->host().Name + " ended by itself " +
                std::to_string(endedAt[n].size()) +
                " times; requests on kept " +
                "channels passed on and not answered: " + std::to_string(lost));
    isBroken = isBroken || lost > MostLost;
  }
  record.line("requests " + std::to_string(sent.size()) +
              (isBroken ? ", LOST broken" : ", LOST held"));
  _exit(isBroken ? 1 : 0);
}
