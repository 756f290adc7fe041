#include "Scene.hh"
#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <iostream>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <regex>
#include <sstream>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace scene {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

static const Clock::time_point Begin = Clock::now();

double nowMs() {
  return std::chrono::duration<double, std::milli>(Clock::now() - Begin)
      .count();
}

void sleepMs(int ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

void Record::line(const std::string &text) {
  const std::lock_guard<std::mutex> lock(Mutex);
  char time[32];
  std::snprintf(time, sizeof(time), "%9.1f ms  ", nowMs());
  Out << time << text << std::endl;
  std::cout << time << text << std::endl;
}

static std::string valueIn(const Headers &fields, const std::string &name) {
  for (const auto &[key, value] : fields)
    if (strcasecmp(key.c_str(), name.c_str()) == 0)
      return value;
  return "";
}

std::string Request::header(const std::string &name) const {
  return valueIn(Fields, name);
}
std::string Reply::header(const std::string &name) const {
  return valueIn(Fields, name);
}

static sockaddr_in addressOf(const std::string &text) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  const auto colon = text.rfind(':');
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &out.sin_addr);
  out.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
  return out;
}

Channel::~Channel() {
  if (Fd >= 0)
    ::close(Fd);
}

std::unique_ptr<Channel> Channel::open(const std::string &address,
                                       int timeoutMs) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto out = std::make_unique<Channel>(fd);
  const int one = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  const timeval limit{timeoutMs / 1000, timeoutMs % 1000 * 1000};
  ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const sockaddr_in to = addressOf(address);
  if (::connect(fd, reinterpret_cast<const sockaddr *>(&to), sizeof(to)) != 0)
    return nullptr;
  return out;
}

bool Channel::send(const std::string &bytes) {
  std::size_t at = 0;
  while (at < bytes.size()) {
    const ssize_t n =
        ::send(Fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    at += static_cast<std::size_t>(n);
  }
  return true;
}

void Channel::reset() {
  const linger off{1, 0};
  ::setsockopt(Fd, SOL_SOCKET, SO_LINGER, &off, sizeof(off));
  ::close(Fd);
  Fd = -1;
}

bool Channel::readMore() {
  char buf[16384];
  const ssize_t n = ::recv(Fd, buf, sizeof(buf), 0);
  if (n <= 0)
    return false;
  Input.append(buf, static_cast<std::size_t>(n));
  return true;
}

bool Channel::readLine(std::string &out) {
  for (;;) {
    const auto end = Input.find("\r\n");
    if (end != std::string::npos) {
      out = Input.substr(0, end);
      Input.erase(0, end + 2);
      return true;
    }
    if (!readMore())
      return false;
  }
}

bool Channel::readBytes(std::size_t n, std::string &out) {
  while (Input.size() < n)
    if (!readMore())
      return false;
  out += Input.substr(0, n);
  Input.erase(0, n);
  return true;
}

bool Channel::readChunks(std::string &out) {
  for (;;) {
    std::string line;
    if (!readLine(line))
      return false;
    const std::size_t n = std::strtoul(line.c_str(), nullptr, 16);
    if (n != 0 && !readBytes(n, out))
      return false;
    if (!readLine(line))
      return false;
    if (n == 0)
      return true;
  }
}

static void addField(Headers &fields, const std::string &line) {
  const auto colon = line.find(':');
  if (colon == std::string::npos)
    return;
  std::string value = line.substr(colon + 1);
  value.erase(0, std::min(value.find_first_not_of(' '), value.size()));
  fields.emplace_back(line.substr(0, colon), value);
}

bool Channel::readRequest(Request &out) {
  out = {};
  std::string line;
  if (!readLine(line))
    return false;
  std::istringstream first(line);
  first >> out.Method >> out.Target;
  while (readLine(line) && !line.empty())
    addField(out.Fields, line);
  if (!line.empty())
    return false;
  if (out.header("Transfer-Encoding") == "chunked")
    return readChunks(out.Body);
  const std::string length = out.header("Content-Length");
  return length.empty() || readBytes(std::stoul(length), out.Body);
}

Reply Channel::readReply(int timeoutMs, bool isHead) {
  const timeval limit{timeoutMs / 1000, timeoutMs % 1000 * 1000};
  ::setsockopt(Fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  Reply out;
  std::string line;
  do {
    out = {};
    if (!readLine(line) || line.size() < 12)
      return out;
    const int status = std::atoi(line.substr(9, 3).c_str());
    while (readLine(line) && !line.empty())
      addField(out.Fields, line);
    out.Status = status;
  } while (out.Status / 100 == 1);
  if (isHead) {
    out.IsWhole = true;
    return out;
  }
  const std::string length = out.header("Content-Length");
  if (out.header("Transfer-Encoding") == "chunked") {
    out.IsWhole = readChunks(out.Body);
  } else if (!length.empty()) {
    out.IsWhole = readBytes(std::stoul(length), out.Body);
  } else {
    while (readMore()) {
    }
    out.Body = Input;
    out.IsWhole = true;
  }
  return out;
}

std::string requestText(const std::string &method, const std::string &target,
                        const Headers &fields, const std::string &body) {
  std::string out = method + " " + target + " HTTP/1.1\r\n";
  for (const auto &[name, value] : fields)
    out += name + ": " + value + "\r\n";
  if (!body.empty() || method == "POST" || method == "PUT")
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return out + "\r\n" + body;
}

std::string replyText(int status, const Headers &fields,
                      const std::string &body) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " Reply\r\n";
  for (const auto &[name, value] : fields)
    out += name + ": " + value + "\r\n";
  return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

Reply call(const std::string &address, const std::string &method,
           const std::string &target, const Headers &fields,
           const std::string &body, int timeoutMs) {
  const auto channel = Channel::open(address, timeoutMs);
  if (!channel)
    return Reply{-1, {}, "", false};
  channel->send(requestText(method, target, fields, body));
  return channel->readReply(timeoutMs);
}

Listener::Listener(const std::string &host, Serve serve)
    : Handler(std::move(serve)) {
  Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at = addressOf(host + ":0");
  socklen_t size = sizeof(at);
  if (::bind(Fd, reinterpret_cast<sockaddr *>(&at), size) != 0 ||
      ::listen(Fd, 256) != 0) {
    std::cerr << "cannot listen on " << host << "\n";
    std::exit(2);
  }
  ::getsockname(Fd, reinterpret_cast<sockaddr *>(&at), &size);
  Address = host + ":" + std::to_string(ntohs(at.sin_port));
  Acceptor = std::thread([this] {
    for (;;) {
      const int fd = ::accept4(Fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        return;
      const int one = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
      std::thread([this, fd] {
        Channel channel(fd);
        Handler(channel);
      }).detach();
    }
  });
}

void Listener::stop() {
  if (IsStopped.exchange(true))
    return;
  ::shutdown(Fd, SHUT_RDWR);
  ::close(Fd);
  Acceptor.join();
}

Listener::~Listener() { stop(); }

Store::Store(const std::string &host)
    : Server(std::make_unique<Listener>(
          host, [this](Channel &channel) { serve(channel); })) {}

std::uint64_t Store::put(const std::string &kind, const std::string &name,
                         const std::string &spec) {
  const std::lock_guard<std::mutex> lock(Mutex);
  Object &object = Kinds[kind][name];
  if (object.Revision != 0 && object.Spec == spec)
    return object.Revision;
  object.Spec = spec;
  object.Revision = ++Revision;
  Events.push_back({Revision, kind, name, false, object});
  Changed.notify_all();
  return Revision;
}

void Store::remove(const std::string &kind, const std::string &name) {
  const std::lock_guard<std::mutex> lock(Mutex);
  const auto it = Kinds[kind].find(name);
  if (it == Kinds[kind].end())
    return;
  Object last = it->second;
  last.Revision = ++Revision;
  Kinds[kind].erase(it);
  Events.push_back({Revision, kind, name, true, last});
  Changed.notify_all();
}

std::string Store::specOf(const std::string &kind, const std::string &name) {
  const std::lock_guard<std::mutex> lock(Mutex);
  const auto it = Kinds[kind].find(name);
  return it == Kinds[kind].end() ? "" : it->second.Spec;
}

std::string Store::render(const std::string &name, const Object &object) const {
  std::string out = "{\"Metadata\":{\"Name\":" + json(name).dump() +
                    ",\"Revision\":" + std::to_string(object.Revision) +
                    "},\"Spec\":" + object.Spec;
  if (!object.Status.empty())
    out += ",\"Status\":" + object.Status;
  return out + "}";
}

std::string Store::list(const std::string &kind) {
  std::string items;
  for (const auto &[name, object] : Kinds[kind])
    items += (items.empty() ? "" : ",") + render(name, object);
  return "{\"Items\":[" + items +
         "],\"HasMore\":false,\"AsOf\":" + std::to_string(Revision) + "}";
}

std::string Store::watch(const std::string &kind, std::uint64_t after,
                         int waitMs) {
  std::unique_lock<std::mutex> lock(Mutex);
  const auto isNew = [&](const Event &it) {
    return it.Kind == kind && it.Revision > after;
  };
  Changed.wait_for(lock, std::chrono::milliseconds(waitMs), [&] {
    return std::any_of(Events.begin(), Events.end(), isNew);
  });
  std::string events;
  for (const Event &it : Events)
    if (isNew(it))
      events += (events.empty() ? "" : ",") +
                ("{\"Object\":" + render(it.Name, it.Value)) +
                ",\"Removed\":" + (it.IsRemoved ? "true" : "false") + "}";
  return "{\"events\":[" + events + "],\"AsOf\":" + std::to_string(Revision) +
         "}";
}

static std::string queryValue(const std::string &target,
                              const std::string &name) {
  const auto at = target.find(name + "=");
  if (at == std::string::npos)
    return "";
  const auto begin = at + name.size() + 1;
  return target.substr(begin, target.find('&', begin) - begin);
}

std::string Store::handle(const Request &request, int &status) {
  static const std::string Prefix = "/-/objects/";
  std::string path = request.Target.substr(0, request.Target.find('?'));
  status = 404;
  if (path.compare(0, Prefix.size(), Prefix) != 0)
    return "{}";
  path.erase(0, Prefix.size());
  const auto slash = path.find('/');
  const std::string kind = path.substr(0, slash);
  std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
  const bool isStatus =
      name.size() > 7 && name.compare(name.size() - 7, 7, "/status") == 0;
  if (isStatus)
    name.resize(name.size() - 7);
  const std::string from = queryValue(request.Target, "Watch");
  if (request.Method == "GET" && !from.empty()) {
    status = 200;
    return watch(kind, std::stoull(from),
                 std::atoi(queryValue(request.Target, "WaitMs").c_str()));
  }
  const std::lock_guard<std::mutex> lock(Mutex);
  auto &objects = Kinds[kind];
  if (request.Method == "GET" && name.empty()) {
    status = 200;
    return list(kind);
  }
  const json body = request.Body.empty()
                        ? json::object()
                        : json::parse(request.Body, nullptr, false);
  if (body.is_discarded()) {
    status = 400;
    return "{}";
  }
  if (request.Method == "POST")
    name = body.at("Metadata").at("Name").get<std::string>();
  const auto found = objects.find(name);
  if (request.Method == "POST" && found != objects.end()) {
    status = 409;
    return render(name, found->second);
  }
  if (request.Method != "POST" && found == objects.end())
    return "{}";
  if (request.Method == "GET") {
    status = 200;
    return render(name, found->second);
  }
  const auto metadata = body.value("Metadata", json::object());
  if (request.Method != "POST" && metadata.contains("Revision") &&
      metadata["Revision"].get<std::uint64_t>() != found->second.Revision) {
    status = 409;
    return render(name, found->second);
  }
  status = request.Method == "POST" ? 201 : 200;
  if (request.Method == "DELETE") {
    Object last = found->second;
    last.Revision = ++Revision;
    objects.erase(found);
    Events.push_back({Revision, kind, name, true, last});
    Changed.notify_all();
    return "{}";
  }
  Object &object = objects[name];
  Object next = object;
  if (isStatus)
    next.Status = body.at("Status").dump();
  else if (body.contains("Spec"))
    next.Spec = body["Spec"].dump();
  if (object.Revision == 0 || next.Spec != object.Spec ||
      next.Status != object.Status) {
    next.Revision = ++Revision;
    object = next;
    Events.push_back({Revision, kind, name, false, object});
    Changed.notify_all();
  }
  return render(name, object);
}

void Store::serve(Channel &channel) {
  Request request;
  while (channel.readRequest(request)) {
    if (Before && !Before(request))
      return;
    int status = 0;
    const std::string body = handle(request, status);
    if (After && !After(request, status))
      return;
    if (!channel.send(
            replyText(status, {{"Content-Type", "application/json"}}, body)))
      return;
  }
}

Replica::Replica(Record &record, std::string id, std::string service,
                 const std::string &host)
    : Notes(record), Id(std::move(id)), Service(std::move(service)),
      Server(std::make_unique<Listener>(
          host, [this](Channel &channel) { serve(channel); })) {}

std::string Replica::entry(const std::string &zone,
                           const std::string &state) const {
  return json{{"Service", Service},   {"Address", Server->address()},
              {"Zone", zone},         {"Version", "v1"},
              {"Slots", 6},           {"State", state},
              {"ColdLeftMs", 0},      {"Seq", 1},
              {"born", 1700000000000}}
      .dump();
}

std::vector<std::string> Replica::runs() {
  const std::lock_guard<std::mutex> lock(Mutex);
  return Ran;
}

void Replica::noteRun(const Request &request) {
  const std::string attempt = request.header("Attempt-Id");
  Notes.line("run      " + attempt + " at " + Id + ": " + request.Method + " " +
             request.Target + ", body of " +
             std::to_string(request.Body.size()) + " bytes");
  const std::lock_guard<std::mutex> lock(Mutex);
  Ran.push_back(attempt);
}

bool Replica::answer(Channel &channel, const Request &request) {
  const std::string attempt = request.header("Attempt-Id");
  return channel.send(
      replyText(200,
                {{"Attempt-Id", attempt},
                 {"Server-Signature", "sig." + Id + "." + attempt}},
                "done by " + Id + " for " + attempt + "\n"));
}

void Replica::serve(Channel &channel) {
  Request request;
  while (channel.readRequest(request)) {
    const std::string attempt = request.header("Attempt-Id");
    const std::string expected = request.header("Expect-Instance");
    if (!expected.empty() && expected != Id) {
      channel.send(
          replyText(421, {{"Attempt-Id", attempt}, {"Not-Executed", "1"}}, ""));
      continue;
    }
    if (Special) {
      if (!Special(*this, channel, request))
        return;
      continue;
    }
    noteRun(request);
    sleepMs(WorkMs);
    if (!answer(channel, request))
      return;
  }
}

std::string loopback(int last) {
  const int id = getpid();
  return "127." + std::to_string(64 + id / 250 % 128) + "." +
         std::to_string(1 + id % 250) + "." + std::to_string(last);
}

int freePort(const std::string &ip) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at = addressOf(ip + ":0");
  socklen_t size = sizeof(at);
  ::bind(fd, reinterpret_cast<sockaddr *>(&at), size);
  ::getsockname(fd, reinterpret_cast<sockaddr *>(&at), &size);
  ::close(fd);
  return ntohs(at.sin_port);
}

std::string makeFolder() {
  char pattern[] = "/tmp/review-XXXXXX";
  return mkdtemp(pattern);
}

bool hasTrouble() {
  const char *value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

Host makeHost(const std::string &name, const std::string &zone,
              const std::string &ip) {
  Host out{name, zone, ip, "", "", "", "", 0, 0};
  const auto address = [&] { return ip + ":" + std::to_string(freePort(ip)); };
  out.Front = address();
  out.Readiness = address();
  out.Control = address();
  out.Directory = address();
  out.FirstPort = freePort(ip);
  out.SecondPort = freePort(ip);
  return out;
}

static void replaceAll(std::string &text, const std::string &from,
                       const std::string &to) {
  for (auto at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size()))
    text.replace(at, from.size(), to);
}

/// The deploy file's template with the figures of the site tablon-sur.
static std::string fillTemplate(const Host &host, const std::string &store,
                                const std::string &cloud,
                                const std::vector<std::string> &zones) {
  std::ifstream in("deploy/sorrelbayd.toml.in");
  std::stringstream buf;
  buf << in.rdbuf();
  std::string text = buf.str();
  const std::string begin = "{{#Bounds.EvacuateMs}}";
  const std::string end = "{{/Bounds.EvacuateMs}}";
  const auto from = text.find(begin);
  text.erase(from, text.find(end) + end.size() - from);
  const auto zoneAt = text.find("{{#Zones}}");
  text.erase(zoneAt);
  for (const std::string &it : zones)
    text += "[[zone_regions]]\nzone = \"" + it + "\"\nregion = \"uy-south\"\n";
  const std::map<std::string, std::string> values = {
      {"NodeName", host.Name},
      {"Zone", host.Zone},
      {"Region", "uy-south"},
      {"Limits.CpuShare", "0.25"},
      {"Listen.Front", host.Front},
      {"Listen.Readiness", host.Readiness},
      {"Listen.Directory", host.Directory},
      {"Ip", host.Ip},
      {"InternalPorts.0", std::to_string(host.FirstPort)},
      {"InternalPorts.1", std::to_string(host.SecondPort)},
      {"Platform.Address", store},
      {"CloudApi.Address", cloud},
      {"CloudApi.DutyPerS", "50.0"},
      {"HeartbeatMs", "1200"},
      {"Bounds.DrainMs", "2000"},
      {"Bounds.GraceS", "8"},
      {"Bounds.ConfigMs", "2000"},
      {"Bounds.RevokeMs", "5000"},
      {"Bounds.FailClosed|json", "true"},
      {"Bounds.RetryRatio", "0.2"},
      {"Bounds.RetryWindowS", "10"},
      {"Bounds.RetrySlack", "54"},
      {"Bounds.QuotaSlack", "140000"},
      {"Bounds.QuotaWindowS", "8"},
      {"Bounds.LeaseMs", "3000"},
      {"Bounds.WindowS", "5"},
      {"Bounds.UsageLateS", "10"},
      {"Bounds.ExposureShare", "0.1"},
      {"Bounds.ExposureSlack", "50"},
      {"Bounds.RollbackMs", "5000"},
      {"Bounds.ttl_max_s", "5"}};
  for (const auto &[key, value] : values)
    replaceAll(text, "{{" + key + "}}", value);
  return text;
}

Daemon::Daemon(const Host &host, const std::string &folder,
               const std::string &store, const std::string &cloud,
               const std::vector<std::string> &zones)
    : Self(host), Settings(folder + "/" + host.Name + ".toml"),
      Log(folder + "/" + host.Name + ".log") {
  std::ofstream(Settings) << fillTemplate(host, store, cloud, zones);
}

Daemon::~Daemon() {
  if (!isRunning())
    return;
  kill();
}

void Daemon::start() {
  Pid = fork();
  if (Pid != 0)
    return;
  // The daemon ends with this program, whatever ends it.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int out =
      ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  ::dup2(out, 1);
  ::dup2(out, 2);
  ::execl("target/sorrelbayd", "target/sorrelbayd", "--settings",
          Settings.c_str(), static_cast<char *>(nullptr));
  _exit(127);
}

void Daemon::signal(int number) const {
  if (Pid > 0)
    ::kill(Pid, number);
}

bool Daemon::isRunning() {
  if (Pid <= 0)
    return false;
  int status = 0;
  if (::waitpid(Pid, &status, WNOHANG) == 0)
    return true;
  EndSignal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
  Pid = -1;
  return false;
}

bool Daemon::awaitEnd(int timeoutMs) {
  const double until = nowMs() + timeoutMs;
  while (isRunning() && nowMs() < until)
    sleepMs(10);
  return !isRunning();
}

void Daemon::kill() {
  signal(SIGCONT);
  signal(SIGKILL);
  awaitEnd(5000);
}

bool Daemon::awaitReady(int timeoutMs) const {
  const double until = nowMs() + timeoutMs;
  while (nowMs() < until) {
    if (call(Self.Readiness, "GET", "/-/readyz", {{"Host", "h"}}, "", 1000)
            .Status == 200)
      return true;
    sleepMs(50);
  }
  return false;
}

} // namespace scene
