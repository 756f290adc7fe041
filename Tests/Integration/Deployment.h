#pragma once

#include "ChildProcess.h"
#include "LibHttp/HttpMessage.h"
#include <memory>
#include <string>
#include <vector>

namespace sorrelbay {

/// A fake upstream of a deployment.
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
  /// The address at which the daemon reaches the platform: its own or that of a
  /// proxy.
  std::string Platform;
  std::unique_ptr<ChildProcess> Process;
};

/// A fault proxy in front of another process.
struct TestProxy {
  std::string Address;
  std::string Control;
  std::unique_ptr<ChildProcess> Process;

  /// Sets the mode: pass, refuse, cut, freeze, silence or drop_reply.
  void setMode(const std::string &mode, int delayMs = 0) const;
};

/// Processes on loopback addresses: one fake platform, fake engines and desks
/// in zones, daemons, and fault proxies. The destructor ends all of them.
class Deployment {
public:
  Deployment();
  ~Deployment();
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;

  const std::string &platform() const { return PlatformAddress; }

  /// Starts an engine of the service "model" and adds it to the host list.
  TestUpstream &addEngine(const std::string &zone, const std::string &version,
                          const std::vector<std::string> &arguments = {});
  /// Starts a desk of the service "desk", version "desk-1", and adds it to the
  /// host list.
  TestUpstream &addDesk(const std::string &zone);
  /// Writes a daemon's settings, starts it, and adds it to the host list as an
  /// entry host. The platform's address may be that of a proxy; empty for the
  /// platform itself.
  TestDaemon &addDaemon(const std::string &zone,
                        const std::string &platform = "");
  /// Writes a settings file with the addresses, zone and platform of the
  /// daemon; returns its path.
  std::string writeSettings(const std::string &name,
                            const TestDaemon &daemon) const;
  /// The path of the log file of a process of that name.
  std::string logPath(const std::string &name) const;
  /// Kills the daemon if it is running and starts it again with the same
  /// settings.
  void restart(TestDaemon &daemon);
  /// Starts a fault proxy that forwards to the target.
  TestProxy &addProxy(const std::string &target);

  /// Signs and rolls the bundle; see standardBundle. Throws TestStepFailed if
  /// the tool reports an error.
  void roll(const std::string &bundleToml);
  /// Waits until each daemon is ready with at least that bundle generation.
  void waitReady(std::uint64_t generation = 1);

  /// Sets the state of an upstream in the host list: live, leaving or gone;
  /// gone removes it.
  void list(const TestUpstream &upstream, const std::string &state) const;
  /// Adds a reclaim notice for the address that takes effect after this many
  /// seconds.
  void addReclaimNotice(const std::string &address, double seconds) const;
  void setPlatformFaults(const std::string &json) const;
  /// The integer at a key of a JSON object; 0 if the key is missing.
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

/// A bundle in TOML with this generation: the engine service "model" (routes
/// chat and quote), the desk service "desk" (routes booking, which is not
/// repeatable, and lookup), the team "crew", and the given versions of the
/// model.
std::string standardBundle(int generation, const std::string &modelVersions);

/// The [[version]] section of a version v1 that receives all calls.
extern const char *const SingleVersionToml;

/// A streamed chat response as a caller receives it.
struct ChatAnswer {
  int Status = 0;
  /// The concatenated contents of all token events.
  std::string Text;
  std::uint64_t Tokens = 0;
  /// Whether the final event was received and states a length equal to Tokens.
  bool IsWhole = false;
  std::string Raw;
};

/// Streams a chat through the daemon. The text of the response depends on the
/// question; see expectedText.
ChatAnswer streamChat(const std::string &address, const std::string &question,
                      std::uint64_t tokens, const HttpHeaders &headers = {});
/// The concatenated contents of all token events of a stream.
std::string textOfEvents(const std::string &raw);
/// The text of an uninterrupted response.
std::string expectedText(const std::string &question, std::uint64_t tokens);

/// Calls a desk operation through the daemon.
HttpReply callDeskAt(const std::string &address, const std::string &operation,
                     const std::string &key, std::uint64_t attempt = 1,
                     const std::string &body = "{}");

} // namespace sorrelbay
