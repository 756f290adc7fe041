// A small deployment on loopback addresses: the store, the platform's API,
// three entry hosts and the replicas of one service in four zones.
#pragma once

#include "standin.hh"

namespace review {

inline const std::vector<std::string> &zones() {
  static const std::vector<std::string> all{"mvd-a", "mvd-b", "mvd-c", "mvd-d"};
  return all;
}

inline Json route(const std::string &name, const std::string &prefix,
                  const std::string &kind, const std::string &service,
                  int timeoutMs, int attempts) {
  Json out{{"Name", name},
           {"Host", "ficu95.example"},
           {"PathPrefix", prefix},
           {"RouteKind", kind},
           {"TimeoutMs", timeoutMs},
           {"LatencyGoalMs", 800},
           {"Priority", 1},
           {"Service", service},
           {"MaxAttempts", attempts},
           {"Public", false}};
  if (kind == "streaming") {
    out["Resumable"] = false;
    out["ItlTargetMs"] = 400;
  }
  return out;
}

inline Json configuration(const Json &routes, const std::string &service) {
  return {{"Version", 7},
          {"Routes", routes},
          {"Services", Json::array({{{"Name", service},
                                     {"HealthPath", "/healthz"},
                                     {"MaxConns", 100},
                                     {"Protocol", "h1"},
                                     {"Tls", false}}})},
          {"Limits",
           {{"MaxHeaderBytes", 16384},
            {"MaxBodyBytes", 4194304},
            {"HeaderTimeoutMs", 3000},
            {"IdleTimeoutMs", 15000}}},
          {"Tenants", Json::array({{{"Name", "hule930"},
                                    {"ApiKeys", {"i9n73hh2b9wu3fexd9dn"}},
                                    {"RatePerS", 0},
                                    {"Burst", 0}}})}};
}

inline Json serverEntry(const std::string &service, const std::string &address,
                        const std::string &zone) {
  const auto born = std::chrono::duration_cast<std::chrono::milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count();
  return {{"Service", service}, {"Address", address}, {"Zone", zone},
          {"Version", "v1"},    {"Slots", 6},         {"State", "ready"},
          {"ColdLeftMs", 0},    {"Seq", 1},           {"born", born}};
}

class Deployment {
public:
  Deployment()
      : Folder(temporaryFolder()), TheStore("127.10.200.1"),
        TheCloud("127.10.201.1") {}
  ~Deployment() {
    Hosts.clear();
    const std::string command = "rm -rf " + Folder;
    if (std::getenv("KEEP_LOGS") == nullptr &&
        std::system(command.c_str()) != 0)
      std::fprintf(stderr, "can't remove the temporary folder\n");
  }

  void startHosts() {
    for (int n = 1; n <= 3; ++n) {
      Hosts.push_back(makeHost(Folder, n, zones()[n - 1], TheStore.address(),
                               TheCloud.address()));
      Hosts.back()->start();
    }
    for (const auto &it : Hosts)
      it->waitReady();
    // The hosts learn of each other.
    sleepMs(3000);
  }

  /// Ends the case: 1 if the rule was broken, 0 if it held; 2 if a daemon ended
  /// by itself.
  int end(bool isBroken) {
    for (const auto &it : Hosts)
      if (!it->Daemon->isRunning()) {
        record().line(it->Name + " has ended by itself");
        return 2;
      }
    record().line(isBroken ? "the rule was broken" : "the rule held");
    return isBroken ? 1 : 0;
  }

  std::string Folder;
  Store TheStore;
  Cloud TheCloud;
  std::vector<std::unique_ptr<Host>> Hosts;
};

/// The head of a client's request.
inline std::string requestHead(const std::string &method,
                               const std::string &path, const std::string &id,
                               int deadlineMs, std::size_t bodyBytes) {
  return method + " " + path +
         " HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: " + id +
         "\r\nDeadline-Ms: " + std::to_string(deadlineMs) +
         "\r\nApi-Key: i9n73hh2b9wu3fexd9dn\r\nContent-Length: " +
         std::to_string(bodyBytes) + "\r\n\r\n";
}

inline std::string newId() {
  static std::atomic<unsigned> last{0};
  char out[32];
  std::snprintf(out, sizeof(out), "%08x%08x", static_cast<unsigned>(::getpid()),
                ++last);
  return out;
}

} // namespace review
