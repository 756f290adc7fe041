#include "Deployment.h"
#include "FakeEngine.h"
#include "LibHttp/HttpClient.h"
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <unistd.h>

namespace sorrelbay {

using Json = nlohmann::json;

const char *const SingleVersionToml = R"(
[[version]]
id = "v1"
service = "model"
share = 1.0
)";

/// A loopback address that is derived from the process id, so that concurrent
/// test runs do not reuse an address that another run has just released.
static std::string processLoopbackHost(int last) {
  const int id = getpid();
  return "127." + std::to_string(64 + id / 256 % 128) + "." +
         std::to_string(id % 256) + "." + std::to_string(last);
}

static std::string engineListenAddress() {
  return processLoopbackHost(21) + ":0";
}
static std::string deskListenAddress() {
  return processLoopbackHost(31) + ":0";
}
static std::string proxyListenAddress() {
  return processLoopbackHost(41) + ":0";
}
static constexpr Duration CallerReadTimeout = seconds(60);

std::string standardBundle(int generation, const std::string &modelVersions) {
  return "generation = " + std::to_string(generation) + R"(
[[service]]
id = "model"
kind = "engine"
deadline_policy = "in_time"

[[service]]
id = "desk"
kind = "desk"

[[version]]
id = "desk-1"
service = "desk"
share = 1.0

[[route]]
id = "chat"
service = "model"
latency_target_ms = 2000
token_target_ms = 500

[[route]]
id = "quote"
service = "model"
latency_target_ms = 2000
token_target_ms = 500

[[route]]
id = "booking"
service = "desk"
repeatable = false
priority = 10
latency_target_ms = 5000

[[route]]
id = "lookup"
service = "desk"
latency_target_ms = 5000

[[team]]
id = "crew"
weight = 1
)" + modelVersions;
}

static HttpReply call(const std::string &address, const std::string &method,
                      const std::string &path, const std::string &body) {
  HttpCall out;
  out.Method = method;
  out.Path = path;
  out.Body = body;
  out.ReadTimeout = CallerReadTimeout;
  return sendOnce(address, out);
}

/// Returns a free port that no daemon of this test process has been assigned
/// before. The system may return the same port twice until it is bound: two
/// daemons started in sequence, or the two listeners of one, then received the
/// same port, and the second daemon failed to start.
static std::string freePort() {
  static std::set<std::string> usedPorts;
  const std::string command = std::string(SORRELBAY_BINARY_DIR) +
                              "/free-port " + processLoopbackHost(11);
  for (;;) {
    FILE *pipe = popen(command.c_str(), "r");
    char buf[64] = {};
    if (pipe == nullptr || fgets(buf, sizeof(buf), pipe) == nullptr)
      throw TestStepFailed("cannot find a free port");
    pclose(pipe);
    std::string out(buf);
    out.erase(out.find_last_not_of('\n') + 1);
    if (usedPorts.insert(out).second)
      return out;
  }
}

void TestProxy::setMode(const std::string &mode, int delayMs) const {
  Deployment::post(Control, "/mode",
                   Json{{"mode", mode}, {"delay_ms", delayMs}}.dump());
}

Deployment::Deployment() {
  char pattern[] = "/tmp/sorrelbay-test-XXXXXX";
  Folder = mkdtemp(pattern);
  PlatformProcess = std::make_unique<ChildProcess>(
      "fake-platform",
      std::vector<std::string>{"--listen", processLoopbackHost(1) + ":0"},
      logPath("platform"));
  PlatformAddress = PlatformProcess->waitForLine("listening ");
  const std::string keyPath = Folder + "/operator.pem";
  ChildProcess generate("sorrelbay", {"keys", "generate", "--out", keyPath},
                        logPath("keys"));
  if (generate.wait() != 0)
    throw TestStepFailed("cannot generate the operator's key");
  std::ifstream log(Folder + "/keys.log");
  std::ostringstream text;
  text << log.rdbuf();
  // The public key is the only run of 64 hexadecimal digits in the output.
  const std::string out = text.str();
  constexpr std::size_t KeyDigits = 64;
  for (std::size_t n = 0; n + KeyDigits <= out.size(); ++n) {
    const std::string part = out.substr(n, KeyDigits);
    if (part.find_first_not_of("0123456789abcdef") == std::string::npos)
      OperatorKey = part;
  }
}

Deployment::~Deployment() {
  Daemons.clear();
  Proxies.clear();
  Upstreams.clear();
  PlatformProcess.reset();
  if (std::getenv("SORRELBAY_KEEP_LOGS") == nullptr)
    std::filesystem::remove_all(Folder);
}

std::string Deployment::logPath(const std::string &name) const {
  return Folder + "/" + name + ".log";
}

std::string Deployment::get(const std::string &address,
                            const std::string &path) {
  return call(address, "GET", path, "").Body;
}

std::string Deployment::post(const std::string &address,
                             const std::string &path, const std::string &json) {
  return call(address, "POST", path, json).Body;
}

std::int64_t Deployment::number(const std::string &json,
                                const std::string &key) {
  const Json parsed = Json::parse(json, nullptr, false);
  return parsed.is_object() ? parsed.value(key, std::int64_t{0}) : 0;
}

TestUpstream &Deployment::addEngine(const std::string &zone,
                                    const std::string &version,
                                    const std::vector<std::string> &arguments) {
  auto out = std::make_unique<TestUpstream>();
  std::vector<std::string> all{
      "--listen", engineListenAddress(), "--service", "model", "--version-name",
      version,    "--token-us",          "2000"};
  all.insert(all.end(), arguments.begin(), arguments.end());
  out->Process = std::make_unique<ChildProcess>(
      "fake-engine", all, logPath("engine" + std::to_string(NextNumber++)));
  out->Address = out->Process->waitForLine("listening ");
  out->Zone = zone;
  out->Service = "model";
  out->Version = version;
  list(*out, "live");
  Upstreams.push_back(std::move(out));
  return *Upstreams.back();
}

TestUpstream &Deployment::addDesk(const std::string &zone) {
  auto out = std::make_unique<TestUpstream>();
  out->Process = std::make_unique<ChildProcess>(
      "fake-desk", std::vector<std::string>{"--listen", deskListenAddress()},
      logPath("desk" + std::to_string(NextNumber++)));
  out->Address = out->Process->waitForLine("listening ");
  out->Zone = zone;
  out->Service = "desk";
  out->Version = "desk-1";
  list(*out, "live");
  Upstreams.push_back(std::move(out));
  return *Upstreams.back();
}

std::string Deployment::writeSettings(const std::string &name,
                                      const TestDaemon &daemon) const {
  std::string path = Folder + "/" + name + ".toml";
  std::ofstream settings(path);
  settings << "host = \"" << name << "\"\nzone = \"" << daemon.Zone
           << "\"\nlisten = \"" << daemon.Address << "\"\nplatform = \""
           << daemon.Platform << "\"\noperator_keys = [\"" << OperatorKey
           << "\"]\n[peer]\nlisten = \"" << daemon.PeerAddress
           << "\"\nsecret = \"a secret of the tests\"\nseeds = [";
  for (std::size_t n = 0; n < Daemons.size(); ++n)
    settings << (n == 0 ? "" : ", ") << "\"" << Daemons[n]->PeerAddress << "\"";
  settings << "]\n[times]\npoll_interval_ms = 50\nobject_api_timeout_ms = "
              "500\nengine_silence_ms = 1000\naddress_ttl_ms = "
              "500\nwatch_patience_ms = 500\n";
  return path;
}

TestDaemon &Deployment::addDaemon(const std::string &zone,
                                  const std::string &platform) {
  auto out = std::make_unique<TestDaemon>();
  const std::string name = "daemon" + std::to_string(NextNumber++);
  out->Address = freePort();
  out->PeerAddress = freePort();
  out->Zone = zone;
  out->Platform = platform.empty() ? PlatformAddress : platform;
  out->SettingsPath = writeSettings(name, *out);
  restart(*out);
  listEntry(*out);
  Daemons.push_back(std::move(out));
  return *Daemons.back();
}

void Deployment::restart(TestDaemon &daemon) {
  daemon.Process.reset();
  daemon.Process = std::make_unique<ChildProcess>(
      "sorrelbayd", std::vector<std::string>{"--settings", daemon.SettingsPath},
      daemon.SettingsPath + ".log");
}

void Deployment::listEntry(const TestDaemon &daemon) const {
  post(PlatformAddress, "/admin/hosts",
       Json{{"address", daemon.Address},
            {"peer_address", daemon.PeerAddress},
            {"role", "entry"},
            {"zone", daemon.Zone}}
           .dump());
}

void Deployment::list(const TestUpstream &upstream,
                      const std::string &state) const {
  post(PlatformAddress, "/admin/hosts",
       Json{{"address", upstream.Address},
            {"role", upstream.Service == "desk" ? "desk" : "engine"},
            {"zone", upstream.Zone},
            {"service", upstream.Service},
            {"version", upstream.Version},
            {"state", state}}
           .dump());
}

TestProxy &Deployment::addProxy(const std::string &target) {
  auto out = std::make_unique<TestProxy>();
  out->Process = std::make_unique<ChildProcess>(
      "fault-proxy",
      std::vector<std::string>{"--listen", proxyListenAddress(), "--control",
                               proxyListenAddress(), "--target", target},
      logPath("proxy" + std::to_string(NextNumber++)));
  out->Address = out->Process->waitForLine("proxying ");
  out->Control = out->Process->waitForLine("listening ");
  Proxies.push_back(std::move(out));
  return *Proxies.back();
}

void Deployment::roll(const std::string &bundleToml) {
  const std::string number = std::to_string(NextNumber++);
  const std::string path = Folder + "/bundle" + number;
  std::ofstream(path + ".toml") << bundleToml;
  const auto run = [&](const std::vector<std::string> &arguments) {
    ChildProcess tool("sorrelbay", arguments, logPath("roll" + number));
    if (tool.wait() != 0)
      throw TestStepFailed("sorrelbay " + arguments[1] + " failed; see " +
                           logPath("roll" + number));
  };
  run({"bundle", "sign", path + ".toml", "--key", Folder + "/operator.pem",
       "--out", path + ".signed"});
  run({"bundle", "roll", path + ".signed", "--platform", PlatformAddress});
}

void Deployment::waitReady(std::uint64_t generation) {
  for (const auto &it : Daemons)
    waitUntil("readiness of daemon " + it->Address, [&] {
      try {
        const HttpReply reply = call(it->Address, "GET", "/readyz", "");
        return reply.Status == 200 &&
               static_cast<std::uint64_t>(number(reply.Body, "generation")) >=
                   generation;
      } catch (const Error &) {
        return false;
      }
    });
}

void Deployment::addReclaimNotice(const std::string &address,
                                  double seconds) const {
  post(PlatformAddress, "/admin/notices",
       Json{{"address", address}, {"seconds", seconds}}.dump());
}

void Deployment::setPlatformFaults(const std::string &json) const {
  post(PlatformAddress, "/admin/faults", json);
}

static Json messagesFor(const std::string &question) {
  return Json::array({{{"role", "user"}, {"content", question}}});
}

std::string expectedText(const std::string &question, std::uint64_t tokens) {
  std::string out;
  for (std::uint64_t n = 0; n < tokens; ++n)
    out += fakeToken(messagesFor(question).dump(), n);
  return out;
}

/// Parses the events of a stream as a caller does.
static void readEvents(ChatAnswer &answer) {
  std::istringstream lines(answer.Raw);
  for (std::string line; std::getline(lines, line);) {
    if (line.rfind("data: {", 0) != 0)
      continue;
    const Json event = Json::parse(line.substr(6), nullptr, false);
    if (!event.is_object() || !event.contains("choices"))
      continue;
    const Json &choice = event["choices"][0];
    if (choice["delta"].contains("content")) {
      answer.Text += choice["delta"]["content"].get<std::string>();
      ++answer.Tokens;
    }
    if (event.contains("usage"))
      answer.IsWhole = event["usage"]["completion_tokens"] == answer.Tokens;
  }
}

std::string textOfEvents(const std::string &raw) {
  ChatAnswer answer;
  answer.Raw = raw;
  readEvents(answer);
  return answer.Text;
}

ChatAnswer streamChat(const std::string &address, const std::string &question,
                      std::uint64_t tokens, const HttpHeaders &headers) {
  HttpCall out;
  out.Method = "POST";
  out.Path = "/v1/chat/completions";
  out.Headers = headers;
  out.Headers.push_back({"X-Team", "crew"});
  if (!hasHeader(headers, "X-Route"))
    out.Headers.push_back({"X-Route", "chat"});
  out.Body = Json{{"model", "model"},
                  {"stream", true},
                  {"max_tokens", tokens},
                  {"messages", messagesFor(question)}}
                 .dump();
  out.ReadTimeout = CallerReadTimeout;
  ChatAnswer answer;
  HttpStream stream(address, out);
  try {
    stream.run(
        [&](const HttpReply &reply) {
          answer.Status = reply.Status;
          return true;
        },
        [&](std::string_view data) {
          answer.Raw += data;
          return true;
        });
  } catch (const Error &) {
    // The caller keeps the part that was received before the connection broke.
  }
  readEvents(answer);
  return answer;
}

HttpReply callDeskAt(const std::string &address, const std::string &operation,
                     const std::string &key, std::uint64_t attempt,
                     const std::string &body) {
  HttpCall out;
  out.Method = "POST";
  out.Path = "/v1/desk/" + operation;
  out.Body = body;
  out.Headers.push_back({"X-Team", "crew"});
  out.Headers.push_back({"X-Attempt", std::to_string(attempt)});
  if (!key.empty())
    out.Headers.push_back({"Idempotency-Key", key});
  out.ReadTimeout = CallerReadTimeout;
  return sendOnce(address, out);
}

} // namespace sorrelbay
