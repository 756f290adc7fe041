// Small stand-ins for the review's scripts: sockets, HTTP/1.1 messages, the
// platform's store and API, and the processes that a case starts. They follow
// the users' pages and use nothing of the project's own libraries.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline double secondsSinceStart() {
  static const auto begun = Clock::now();
  return std::chrono::duration<double>(Clock::now() - begun).count();
}

inline void sleepMs(int ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// The lines of record.txt.
class Record {
public:
  void open(const std::string &path) { Out.open(path, std::ios::trunc); }
  void line(const std::string &text) {
    const std::lock_guard<std::mutex> lock(Mutex);
    char at[32];
    std::snprintf(at, sizeof(at), "%8.3f s  ", secondsSinceStart());
    Out << at << text << std::endl;
  }

private:
  std::mutex Mutex;
  std::ofstream Out;
};

inline Record &record() {
  static Record it;
  return it;
}

/// The processes that the case started and that may still run.
class Children {
public:
  void add(pid_t pid) {
    const std::lock_guard<std::mutex> lock(Mutex);
    Pids.insert(pid);
  }
  void remove(pid_t pid) {
    const std::lock_guard<std::mutex> lock(Mutex);
    Pids.erase(pid);
  }
  void killAll() {
    const std::lock_guard<std::mutex> lock(Mutex);
    for (const pid_t pid : Pids)
      ::kill(pid, SIGKILL);
  }

private:
  std::mutex Mutex;
  std::set<pid_t> Pids;
};

inline Children &children() {
  static Children it;
  return it;
}

/// Ends the case because it could not run.
[[noreturn]] inline void cannotRun(const std::string &why) {
  children().killAll();
  record().line("the case couldn't run: " + why);
  std::fprintf(stderr, "the case couldn't run: %s\n", why.c_str());
  std::_Exit(2);
}

struct Message {
  std::string First;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;
  /// The end of the body was seen, as its framing marks it.
  bool IsWhole = false;

  std::string header(const std::string &name) const {
    for (const auto &[key, value] : Headers)
      if (strcasecmp(key.c_str(), name.c_str()) == 0)
        return value;
    return "";
  }
  std::string method() const { return First.substr(0, First.find(' ')); }
  std::string target() const {
    const auto begin = First.find(' ') + 1;
    return First.substr(begin, First.find(' ', begin) - begin);
  }
  int status() const {
    return First.size() < 12 ? 0 : std::atoi(First.c_str() + 9);
  }
};

/// A connection with blocking reads that have a deadline.
class Stream {
public:
  explicit Stream(int fd = -1) : Fd(fd) {}
  ~Stream() { close(); }
  Stream(const Stream &) = delete;
  Stream &operator=(const Stream &) = delete;

  int fd() const { return Fd; }
  bool isOpen() const { return Fd >= 0; }
  void close() {
    if (Fd >= 0)
      ::close(Fd);
    Fd = -1;
  }
  /// Closes so that the other end gets a reset.
  void reset() {
    linger it{1, 0};
    if (Fd >= 0)
      ::setsockopt(Fd, SOL_SOCKET, SO_LINGER, &it, sizeof(it));
    close();
  }

  /// With `window`, the channel has a receive buffer of that size.
  bool connect(const std::string &address, int timeoutMs = 1000,
               int window = 0) {
    close();
    Buffer.clear();
    Error = 0;
    const auto colon = address.rfind(':');
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port =
        htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
    Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (window > 0)
      ::setsockopt(Fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
    timeval limit{timeoutMs / 1000, (timeoutMs % 1000) * 1000};
    ::setsockopt(Fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    if (::connect(Fd, reinterpret_cast<sockaddr *>(&to), sizeof(to)) != 0) {
      close();
      return false;
    }
    const int one = 1;
    ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    timeval none{0, 0};
    ::setsockopt(Fd, SOL_SOCKET, SO_SNDTIMEO, &none, sizeof(none));
    return true;
  }

  bool write(const std::string &bytes) const {
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

  /// Reads some bytes. Returns false at the end, on an error (see Error) or
  /// when the time is over (see IsTimeout).
  bool fill(int timeoutMs) {
    pollfd it{Fd, POLLIN, 0};
    IsTimeout = false;
    if (::poll(&it, 1, timeoutMs) <= 0) {
      IsTimeout = true;
      return false;
    }
    char buf[65536];
    const ssize_t n = ::recv(Fd, buf, sizeof(buf), 0);
    if (n <= 0) {
      Error = n < 0 ? errno : 0;
      return false;
    }
    Buffer.append(buf, static_cast<std::size_t>(n));
    return true;
  }

  /// Reads the head of a message. `out` holds it also if the body follows.
  bool readHead(Message &out, int timeoutMs) {
    const auto until = Clock::now() + std::chrono::milliseconds(timeoutMs);
    std::size_t end;
    while ((end = Buffer.find("\r\n\r\n")) == std::string::npos)
      if (!fill(left(until)))
        return false;
    std::istringstream lines(Buffer.substr(0, end + 2));
    Buffer.erase(0, end + 4);
    out = {};
    std::string line;
    std::getline(lines, line);
    out.First = line.substr(0, line.size() - 1);
    while (std::getline(lines, line) && line.size() > 1) {
      const auto colon = line.find(':');
      std::string value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      value.erase(value.find_last_not_of("\r ") + 1);
      out.Headers.emplace_back(line.substr(0, colon), value);
    }
    return true;
  }

  /// Reads the body that the head names. Without a length or chunks, a
  /// response's body ends with its connection.
  bool readBody(Message &out, int timeoutMs, bool isResponse) {
    if (isResponse && (out.status() == 204 || out.status() == 304))
      return out.IsWhole = true;
    const auto until = Clock::now() + std::chrono::milliseconds(timeoutMs);
    const std::string length = out.header("Content-Length");
    if (strcasecmp(out.header("Transfer-Encoding").c_str(), "chunked") == 0) {
      for (;;) {
        std::size_t eol;
        while ((eol = Buffer.find("\r\n")) == std::string::npos)
          if (!fill(left(until)))
            return false;
        const std::size_t n = std::stoul(Buffer.substr(0, eol), nullptr, 16);
        while (Buffer.size() < eol + 2 + n + 2)
          if (!fill(left(until))) {
            out.Body += Buffer.substr(eol + 2, n);
            return false;
          }
        out.Body += Buffer.substr(eol + 2, n);
        Buffer.erase(0, eol + 2 + n + 2);
        if (n == 0)
          return out.IsWhole = true;
      }
    }
    if (!length.empty()) {
      const std::size_t n = std::stoul(length);
      while (Buffer.size() < n)
        if (!fill(left(until))) {
          out.Body = Buffer;
          return false;
        }
      out.Body = Buffer.substr(0, n);
      Buffer.erase(0, n);
      return out.IsWhole = true;
    }
    if (isResponse) {
      while (fill(left(until))) {
      }
      out.Body = std::move(Buffer);
      Buffer.clear();
      return out.IsWhole = !IsTimeout && Error == 0;
    }
    return out.IsWhole = true;
  }

  bool read(Message &out, int timeoutMs, bool isResponse) {
    return readHead(out, timeoutMs) && readBody(out, timeoutMs, isResponse);
  }

  std::string Buffer;
  bool IsTimeout = false;
  int Error = 0;

private:
  static int left(Clock::time_point until) {
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                        until - Clock::now())
                        .count();
    return ms < 0 ? 0 : static_cast<int>(ms);
  }

  int Fd;
};

inline std::string response(int status, const std::string &body,
                            const std::string &headers = "") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A listener that serves each connection on a thread of its own.
class Listener {
public:
  using Serve = std::function<void(std::shared_ptr<Stream>)>;

  /// With `window`, the channels have receive buffers of that size.
  Listener(const std::string &ip, Serve serve, int window = 0)
      : Handle(std::move(serve)) {
    Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (window > 0)
      ::setsockopt(Fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
    const int one = 1;
    ::setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    sockaddr_in at{};
    at.sin_family = AF_INET;
    inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
    socklen_t size = sizeof(at);
    if (::bind(Fd, reinterpret_cast<sockaddr *>(&at), sizeof(at)) != 0 ||
        ::listen(Fd, 512) != 0 ||
        ::getsockname(Fd, reinterpret_cast<sockaddr *>(&at), &size) != 0)
      cannotRun("can't listen on " + ip);
    Address = ip + ":" + std::to_string(ntohs(at.sin_port));
    std::thread([this] {
      for (;;) {
        const int fd = ::accept4(Fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
          return;
        const int one = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        auto stream = std::make_shared<Stream>(fd);
        std::thread([this, stream] { Handle(stream); }).detach();
      }
    }).detach();
  }

  std::string Address;

private:
  Serve Handle;
  int Fd = -1;
};

/// A port that is free now.
inline std::string freeAddress(const std::string &ip) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
  socklen_t size = sizeof(at);
  if (::bind(fd, reinterpret_cast<sockaddr *>(&at), sizeof(at)) != 0 ||
      ::getsockname(fd, reinterpret_cast<sockaddr *>(&at), &size) != 0)
    cannotRun("no free port");
  ::close(fd);
  return ip + ":" + std::to_string(ntohs(at.sin_port));
}

/// The platform's store, as PROTOCOL.md has it.
class Store {
public:
  explicit Store(const std::string &ip)
      : Front(ip, [this](const std::shared_ptr<Stream> &it) { serve(it); }) {}

  std::string address() const { return Front.Address; }

  /// Writes an object as the operator or a replica does; returns its revision.
  std::uint64_t put(const std::string &kind, const std::string &name,
                    const Json &spec) {
    const std::lock_guard<std::mutex> lock(Mutex);
    Json &it = Objects[kind][name];
    if (it.is_null())
      it = {{"Metadata", {{"Name", name}, {"Created", ++Revision}}},
            {"Status", nullptr}};
    it["Spec"] = spec;
    change(kind, it, false);
    return Revision;
  }
  void remove(const std::string &kind, const std::string &name) {
    const std::lock_guard<std::mutex> lock(Mutex);
    removeLocked(kind, name);
  }
  Json get(const std::string &kind, const std::string &name) {
    const std::lock_guard<std::mutex> lock(Mutex);
    const auto &all = Objects[kind];
    const auto it = all.find(name);
    return it == all.end() ? Json() : it->second;
  }

private:
  struct Event {
    std::uint64_t At;
    std::string Kind;
    Json Body;
  };

  void change(const std::string &kind, Json &object, bool isRemoved) {
    object["Metadata"]["Revision"] = ++Revision;
    object["Metadata"]["Finalizers"] = Json::array();
    object["Metadata"]["Deleting"] = false;
    History.push_back(
        {Revision, kind, {{"Object", object}, {"Removed", isRemoved}}});
    Changed.notify_all();
  }
  void removeLocked(const std::string &kind, const std::string &name) {
    auto &all = Objects[kind];
    const auto it = all.find(name);
    if (it == all.end())
      return;
    Json gone = it->second;
    all.erase(it);
    change(kind, gone, true);
  }

  static std::map<std::string, std::string> query(const std::string &target) {
    std::map<std::string, std::string> out;
    const auto mark = target.find('?');
    if (mark == std::string::npos)
      return out;
    std::istringstream parts(target.substr(mark + 1));
    for (std::string it; std::getline(parts, it, '&');)
      out[it.substr(0, it.find('='))] = it.substr(it.find('=') + 1);
    return out;
  }

  std::string answer(const Message &request) {
    const std::string target = request.target();
    const auto options = query(target);
    const std::string path = target.substr(0, target.find('?'));
    const std::string prefix = "/-/objects/";
    if (path.compare(0, prefix.size(), prefix) != 0)
      return response(404, "{}");
    std::vector<std::string> parts;
    std::istringstream in(path.substr(prefix.size()));
    for (std::string it; std::getline(in, it, '/');)
      parts.push_back(it);
    std::unique_lock<std::mutex> lock(Mutex);
    const std::string kind = parts.at(0);
    auto &all = Objects[kind];
    if (request.method() == "GET" && parts.size() == 1) {
      const auto watch = options.find("Watch");
      if (watch == options.end()) {
        Json items = Json::array();
        const auto after = options.find("After");
        for (const auto &[name, it] : all)
          if (after == options.end() || name > after->second)
            items.push_back(it);
        return response(
            200,
            Json{{"Items", items}, {"HasMore", false}, {"AsOf", Revision}}
                .dump(),
            "Content-Type: application/json\r\n");
      }
      const std::uint64_t from = std::stoull(watch->second);
      const auto until = Clock::now() + std::chrono::milliseconds(
                                            std::stoul(options.at("WaitMs")));
      Json events = Json::array();
      for (;;) {
        for (const Event &it : History)
          if (it.At > from && it.Kind == kind)
            events.push_back(it.Body);
        if (!events.empty() ||
            Changed.wait_until(lock, until) == std::cv_status::timeout)
          break;
      }
      return response(200, Json{{"events", events}, {"AsOf", Revision}}.dump(),
                      "Content-Type: application/json\r\n");
    }
    Json sent = request.Body.empty()
                    ? Json::object()
                    : Json::parse(request.Body, nullptr, false);
    if (request.method() == "POST") {
      const std::string name = sent["Metadata"]["Name"];
      if (all.count(name) != 0)
        return response(409, all[name].dump());
      Json &it = all[name];
      it = {{"Metadata", {{"Name", name}, {"Created", Revision + 1}}},
            {"Spec", sent["Spec"]},
            {"Status", nullptr}};
      change(kind, it, false);
      return response(201, it.dump());
    }
    const auto found = all.find(parts.size() > 1 ? parts[1] : "");
    if (request.method() == "DELETE") {
      if (found == all.end())
        return response(404, "{}");
      removeLocked(kind, parts[1]);
      return response(200, "{}");
    }
    if (found == all.end())
      return response(404, "{}");
    if (request.method() == "GET")
      return response(200, found->second.dump(),
                      "Content-Type: application/json\r\n");
    const Json &metadata = sent["Metadata"];
    if (metadata.contains("Revision") &&
        metadata["Revision"] != found->second["Metadata"]["Revision"])
      return response(409, found->second.dump());
    const bool isStatus = parts.size() > 2;
    const char *field = isStatus ? "Status" : "Spec";
    if (found->second[field] != sent[field]) {
      found->second[field] = sent[field];
      change(kind, found->second, false);
    }
    return response(200, found->second.dump());
  }

  void serve(const std::shared_ptr<Stream> &stream) {
    Message request;
    while (stream->read(request, 120000, false))
      if (!stream->write(answer(request)))
        return;
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, std::map<std::string, Json>> Objects;
  std::vector<Event> History;
  std::uint64_t Revision = 100;
  Listener Front;
};

/// A process that the case started.
class Process {
public:
  Process(const std::vector<std::string> &command, const std::string &log) {
    Pid = ::fork();
    if (Pid == 0) {
      const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(fd, 1);
      ::dup2(fd, 2);
      std::vector<char *> words;
      for (const std::string &it : command)
        words.push_back(const_cast<char *>(it.c_str()));
      words.push_back(nullptr);
      ::execv(words[0], words.data());
      std::_Exit(127);
    }
    children().add(Pid);
  }
  ~Process() {
    if (Pid > 0 && isRunning())
      kill(SIGKILL);
    if (Pid > 0 && !IsReaped)
      ::waitpid(Pid, nullptr, 0);
    children().remove(Pid);
  }
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;
  void kill(int signal) const { ::kill(Pid, signal); }
  bool isRunning() {
    if (!IsReaped && ::waitpid(Pid, &Status, WNOHANG) == Pid) {
      IsReaped = true;
      children().remove(Pid);
    }
    return !IsReaped;
  }
  int pid() const { return Pid; }

private:
  pid_t Pid = -1;
  int Status = 0;
  bool IsReaped = false;
};

/// One entry host of a small deployment: the daemon with the settings that the
/// template of the deploy file makes of the site's figures.
struct Host {
  std::string Name, Ip, Zone, Callers, Readiness, Addresses, Settings, Log;
  std::unique_ptr<Process> Daemon;

  static std::string settingsText(const Host &it, const std::string &store,
                                  const std::string &cloud) {
    std::ostringstream out;
    out << "bundle_source = \"store\"\n[host]\nname = \"" << it.Name
        << "\"\nzone = \"" << it.Zone
        << "\"\nregion = \"uy-south\"\ncores = 0.25\n[listen]\ncallers = \""
        << it.Callers << "\"\nreadiness = \"" << it.Readiness
        << "\"\naddresses = \"" << it.Addresses << "\"\npeers = \""
        << freeAddress(it.Ip) << "\"\nrelays = \"" << freeAddress(it.Ip)
        << "\"\nmetrics = \"" << freeAddress(it.Ip)
        << "\"\n[store]\naddress = \"" << store << "\"\n[cloud]\naddress = \""
        << cloud
        << "\"\nduty_calls_per_second = 50.0\n[upstreams]\nheartbeat_ms = "
           "1200\n[bounds]\ndrain_ms = 2000\ngrace_s = 8\nplan_in_force_ms = "
           "2000\nkey_removal_ms = 5000\nkeys_fail_closed = "
           "true\nrepeat_share = 0.2\nrepeat_window_s = 10\nrepeat_slack = "
           "54\nallotment_slack = 140000\nallotment_window_s = 8\nlease_ms = "
           "3000\nusage_window_s = 5\nusage_due_s = 10\ntrial_share = "
           "0.1\ntrial_slack = 50\ntrial_end_ms = 5000\naddress_ttl_s = 5\n";
    for (const char *zone : {"mvd-a", "mvd-b", "mvd-c", "mvd-d"})
      out << "[[zone_regions]]\nzone = \"" << zone
          << "\"\nregion = \"uy-south\"\n";
    return out.str();
  }

  void start() {
    Daemon = std::make_unique<Process>(
        std::vector<std::string>{"target/sorrelbayd", "--settings", Settings},
        Log);
  }

  bool isReady() const {
    Stream probe;
    Message reply;
    return probe.connect(Readiness) &&
           probe.write("GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n") &&
           probe.read(reply, 1000, true) && reply.status() == 200;
  }

  void waitReady(int timeoutMs = 20000) const {
    const auto until = Clock::now() + std::chrono::milliseconds(timeoutMs);
    while (!isReady()) {
      if (Clock::now() > until)
        cannotRun(Name + " doesn't become ready");
      sleepMs(50);
    }
  }
};

inline std::unique_ptr<Host> makeHost(const std::string &folder, int number,
                                      const std::string &zone,
                                      const std::string &store,
                                      const std::string &cloud) {
  auto out = std::make_unique<Host>();
  out->Name = "edge-" + zone + "-" + std::to_string(number);
  out->Ip = "127.10." + std::to_string(number) + ".1";
  out->Zone = zone;
  out->Callers = freeAddress(out->Ip);
  out->Readiness = freeAddress(out->Ip);
  out->Addresses = freeAddress(out->Ip);
  out->Settings = folder + "/" + out->Name + ".toml";
  out->Log = folder + "/" + out->Name + ".log";
  std::ofstream(out->Settings) << Host::settingsText(*out, store, cloud);
  return out;
}

/// The platform's API: accepts each call.
class Cloud {
public:
  explicit Cloud(const std::string &ip)
      : Front(ip, [this](const std::shared_ptr<Stream> &it) {
          Message request;
          while (it->read(request, 120000, false)) {
            if (OnCall)
              OnCall(request);
            if (!it->write(response(200, "{}")))
              return;
          }
        }) {}
  std::string address() const { return Front.Address; }
  std::function<void(const Message &)> OnCall;

private:
  Listener Front;
};

inline bool hasTrouble() {
  const char *text = std::getenv("TROUBLE");
  return !text || std::string(text) != "0";
}

inline std::string temporaryFolder() {
  char pattern[] = "/tmp/review-case-XXXXXX";
  if (!mkdtemp(pattern))
    cannotRun("no temporary folder");
  return pattern;
}

} // namespace review
