#pragma once

#include "ChildProcess.h"
#include "LibHttp/HttpMessage.h"
#include <memory>
#include <string>
#include <vector>

namespace sorrelbay {

/// One upstream stand-in of a deployment.
struct TestUpstream {
  std::string Address;
  std::string Zone;
  std::string Service;
  std::string Version;
  std::unique_ptr<ChildProcess> Process;
};

/// One daemon of a deployment.
struct TestDaemon {
  std::string Address;
  std::string PeerAddress;
  std::string Zone;
  std::string SettingsPath;
  /// Where it reaches the platform: the platform itself or a proxy's address.
  std::string Platform;
  std::unique_ptr<ChildProcess> Process;
};

/// A fault proxy in front of something.
struct TestProxy {
  std::string Address;
  std::string Control;
  std::unique_ptr<ChildProcess> Process;

  /// Sets the mode: pass, refuse, cut, freeze, silence or drop_reply.
  void setMode(const std::string &mode, int delayMs = 0) const;
};

/// Real processes on loopback addresses: one platform, engines and desks in
/// zones, daemons, proxies. Everything ends with it.
class Deployment {
public:
  Deployment();
  ~Deployment();
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;

  const std::string &platform() const { return PlatformAddress; }

  /// Starts an engine of the service "model" and lists it.
  TestUpstream &addEngine(const std::string &zone, const std::string &version,
                          const std::vector<std::string> &arguments = {});
  /// Starts a desk of the service "desk", version "desk-1", and lists it.
  TestUpstream &addDesk(const std::string &zone);
  /// Writes a daemon's settings, starts it, and lists it as an entry host. The
  /// platform's address may be a proxy's.
  TestDaemon &addDaemon(const std::string &zone,
                        const std::string &platform = "");
  /// Writes settings for a daemon that listens at the addresses given and
  /// reaches the platform where it says; returns the file's path.
  std::string writeSettings(const std::string &name,
                            const TestDaemon &daemon) const;
  /// Where a process of that name writes what it prints.
  std::string logPath(const std::string &name) const;
  /// Starts the daemon again with the same settings.
  void restart(TestDaemon &daemon);
  TestProxy &addProxy(const std::string &target);

  /// Signs and rolls the bundle; see standardBundle.
  void roll(const std::string &bundleToml);
  /// Waits until each running daemon says that it is ready with at least that
  /// generation.
  void waitReady(std::uint64_t generation = 1);

  /// Lists an upstream with a state: live, leaving or gone.
  void list(const TestUpstream &upstream, const std::string &state) const;
  /// A reclaim notice for the address.
  void giveNotice(const std::string &address, double seconds) const;
  void setPlatformFaults(const std::string &json) const;
  /// The number below a key of a JSON document, 0 if there is none.
  static std::int64_t number(const std::string &json, const std::string &key);
  static std::string get(const std::string &address, const std::string &path);
  static std::string post(const std::string &address, const std::string &path,
                          const std::string &json);

  std::vector<std::unique_ptr<TestDaemon>> Daemons;
  std::vector<std::unique_ptr<TestUpstream>> Upstreams;
  std::vector<std::unique_ptr<TestProxy>> Proxies;

private:
  void listEntry(const TestDaemon &daemon) const;

  std::string Folder;
  std::string PlatformAddress;
  std::string OperatorKey;
  std::unique_ptr<ChildProcess> PlatformProcess;
  int NextNumber = 1;
};

/// A bundle of generation n with the engine service "model" (routes chat,
/// quote), the desk service "desk" (booking, not repeatable; lookup), team
/// "crew", and the versions' lines given, in TOML.
std::string standardBundle(int generation, const std::string &modelVersions);

/// The usual single version v1 with all calls.
extern const char *const OnlyVersionOne;

/// A streamed chat as a caller sees it.
struct ChatAnswer {
  int Status = 0;
  /// The contents of all token events, put together.
  std::string Text;
  std::uint64_t Tokens = 0;
  /// Whether the end with a stated length equal to the tokens came.
  bool IsWhole = false;
  std::string Raw;
};

/// Streams a chat through the daemon; the question makes the text.
ChatAnswer streamChat(const std::string &address, const std::string &question,
                      std::uint64_t tokens, const HttpHeaders &headers = {});
/// The contents of all token events of a stream, put together.
std::string textOfEvents(const std::string &raw);
/// The text of an undisturbed answer.
std::string expectedText(const std::string &question, std::uint64_t tokens);

/// Calls a desk operation through the daemon.
HttpReply callDeskAt(const std::string &address, const std::string &operation,
                     const std::string &key, std::uint64_t attempt = 1,
                     const std::string &body = "{}");

} // namespace sorrelbay
