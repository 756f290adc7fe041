#pragma once

// Stand-ins for the users' platform, replicas and clients, and a starter for
// the daemon. Everything listens on loopback addresses only.

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace scene {

/// Milliseconds since the program began.
double nowMs();
void sleepMs(int ms);

/// The record of what was sent, answered and run; one line each.
class Record {
public:
  explicit Record(const std::string &path) : Out(path) {}
  void line(const std::string &text);

private:
  std::mutex Mutex;
  std::ofstream Out;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Request {
  std::string Method;
  std::string Target;
  Headers Fields;
  std::string Body;
  /// The value of the first header of that name, or an empty text.
  std::string header(const std::string &name) const;
};

struct Reply {
  /// 0 if the channel ended without an answer, -1 if it could not be opened.
  int Status = 0;
  Headers Fields;
  std::string Body;
  bool IsWhole = false;
  std::string header(const std::string &name) const;
};

/// A blocking channel over TCP.
class Channel {
public:
  explicit Channel(int fd) : Fd(fd) {}
  ~Channel();
  Channel(const Channel &) = delete;
  Channel &operator=(const Channel &) = delete;
  static std::unique_ptr<Channel> open(const std::string &address,
                                       int timeoutMs);
  bool send(const std::string &bytes);
  /// Reads a request with a length, in chunks, or without a body.
  bool readRequest(Request &out);
  Reply readReply(int timeoutMs, bool isHead = false);
  void reset();
  int fd() const { return Fd; }

private:
  bool readMore();
  bool readLine(std::string &out);
  bool readBytes(std::size_t n, std::string &out);
  bool readChunks(std::string &out);
  int Fd;
  std::string Input;
};

std::string requestText(const std::string &method, const std::string &target,
                        const Headers &fields, const std::string &body);
std::string replyText(int status, const Headers &fields,
                      const std::string &body);
Reply call(const std::string &address, const std::string &method,
           const std::string &target, const Headers &fields,
           const std::string &body, int timeoutMs);

/// Accepts channels and serves each on a thread of its own.
class Listener {
public:
  using Serve = std::function<void(Channel &)>;
  Listener(const std::string &host, Serve serve);
  ~Listener();
  std::string address() const { return Address; }
  void stop();

private:
  int Fd = -1;
  std::string Address;
  Serve Handler;
  std::thread Acceptor;
  std::atomic<bool> IsStopped{false};
};

/// The platform's store as PROTOCOL.md tells it: objects by kind and name,
/// lists, watches, conditional writes.
class Store {
public:
  struct Object {
    std::string Spec = "{}";
    std::string Status;
    std::uint64_t Revision = 0;
  };
  explicit Store(const std::string &host);
  std::string address() const { return Server->address(); }
  /// The operator's or a replica's own write.
  std::uint64_t put(const std::string &kind, const std::string &name,
                    const std::string &spec);
  void remove(const std::string &kind, const std::string &name);
  std::string specOf(const std::string &kind, const std::string &name);
  /// Called for each call before it is served, with the lock released; may
  /// sleep. Returns false to drop the channel without an answer.
  std::function<bool(const Request &)> Before;
  /// Called after a call took effect; returns false to lose its answer.
  std::function<bool(const Request &, int status)> After;

private:
  struct Event {
    std::uint64_t Revision;
    std::string Kind;
    std::string Name;
    bool IsRemoved;
    Object Value;
  };
  void serve(Channel &channel);
  std::string handle(const Request &request, int &status);
  std::string render(const std::string &name, const Object &object) const;
  std::string list(const std::string &kind);
  std::string watch(const std::string &kind, std::uint64_t after, int waitMs);

  std::mutex Mutex;
  std::condition_variable Changed;
  std::uint64_t Revision = 100;
  std::map<std::string, std::map<std::string, Object>> Kinds;
  std::vector<Event> Events;
  std::unique_ptr<Listener> Server;
};

/// A replica of a plain service. It runs what it gets, once its slots allow,
/// and answers with its signature.
class Replica {
public:
  Replica(Record &record, std::string id, std::string service,
          const std::string &host);
  std::string address() const { return Server->address(); }
  const std::string &id() const { return Id; }
  std::string entry(const std::string &zone, const std::string &state) const;
  /// The ids of the requests that it ran, in order.
  std::vector<std::string> runs();
  std::atomic<int> WorkMs{15};
  /// If set, serves a request in place of the usual way; returns false to close
  /// the channel.
  std::function<bool(Replica &, Channel &, const Request &)> Special;
  bool answer(Channel &channel, const Request &request);
  void noteRun(const Request &request);
  void stop() { Server->stop(); }

private:
  void serve(Channel &channel);
  Record &Notes;
  std::string Id;
  std::string Service;
  std::mutex Mutex;
  std::vector<std::string> Ran;
  std::unique_ptr<Listener> Server;
};

/// The entry host's settings, filled in from the deploy file's template.
struct Host {
  std::string Name;
  std::string Zone;
  std::string Ip;
  std::string Front, Readiness, Control, Directory;
  int FirstPort = 0, SecondPort = 0;
};
Host makeHost(const std::string &name, const std::string &zone,
              const std::string &ip);

class Daemon {
public:
  Daemon(const Host &host, const std::string &folder, const std::string &store,
         const std::string &cloud, const std::vector<std::string> &zones);
  ~Daemon();
  void start();
  void signal(int number) const;
  /// Waits for the end; returns whether it has ended by then.
  bool awaitEnd(int timeoutMs);
  bool isRunning();
  void kill();
  bool awaitReady(int timeoutMs) const;
  const Host &host() const { return Self; }
  const std::string &logPath() const { return Log; }
  /// The signal that ended the last process; 0 if it exited.
  int endSignal() const { return EndSignal; }

private:
  Host Self;
  std::string Settings;
  std::string Log;
  pid_t Pid = -1;
  int EndSignal = 0;
};

/// A loopback address that depends on the process, so that runs don't meet.
std::string loopback(int last);
int freePort(const std::string &ip);
std::string makeFolder();
/// False if the script is to run without the disruption.
bool hasTrouble();

} // namespace scene
