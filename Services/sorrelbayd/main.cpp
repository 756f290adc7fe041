#include "Daemon.h"
#include "DaemonSettings.h"
#include "Gateway.h"
#include "GatewaySettings.h"
#include "LibBase/LogLine.h"
#include "LibBase/TomlReader.h"
#include "LibBase/Trace.h"
#include "platform/Adapter.h"
#include <CLI/CLI.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace sorrelbay;

static constexpr int ExitBadSettings = 2;
static constexpr int ExitFailed = 1;

static sigset_t stopSignals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  sigaddset(&set, SIGHUP);
  return set;
}

/// The timeout of a call to the platform; the call is cancelled and fails.
static constexpr Duration PlatformCallTimeout = milliseconds(800);
/// A watch of the platform is cancelled and fails this long after its wait
/// limit.
static constexpr Duration PlatformWatchMargin = milliseconds(400);

static std::string readFile(const std::string &path) {
  std::ifstream file(path);
  if (!file) {
    std::cerr << path << ": can't be read\n";
    std::exit(ExitBadSettings);
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Parses the settings; on failure, prints every fault and exits.
template <typename Settings>
static Settings readSettings(const std::string &text, const std::string &path,
                             Settings (*parse)(const std::string &,
                                               const std::string &)) {
  try {
    return parse(text, path);
  } catch (const TomlError &error) {
    std::cerr << error.what() << "\n";
    std::exit(ExitBadSettings);
  }
}

/// Serves until a stop signal. No setting can be changed while running, so a
/// reload signal is only logged.
template <typename Service>
static int serve(Service &service, const std::string &path) {
  const sigset_t signals = stopSignals();
  service.start();
  int signalNumber = 0;
  while (sigwait(&signals, &signalNumber) == 0 && signalNumber == SIGHUP)
    LogLine(Severity::Info, "reload asked for").field("settings", path);
  service.stop();
  return 0;
}

static int runGateway(const GatewaySettings &settings,
                      const std::string &path) {
  initializeLogging("sorrelbayd", settings.Host.text(), settings.Zone.text());
  platform::AdapterSettings adapter;
  adapter.StoreAddress = settings.StoreAddress;
  adapter.CloudAddress = settings.CloudAddress;
  adapter.CallTimeout = PlatformCallTimeout;
  adapter.WatchMargin = PlatformWatchMargin;
  Gateway gateway(settings, [&](boost::asio::io_context &loop) {
    return platform::adapt(loop, adapter);
  });
  return serve(gateway, path);
}

static int runDaemon(const DaemonSettings &settings, const std::string &path) {
  initializeLogging("sorrelbayd", settings.Host.text(), settings.Zone.text());
  setSpanOutputEnabled(settings.WritesSpans);
  Daemon daemon(settings);
  return serve(daemon, path);
}

int main(int argc, char **argv) {
  CLI::App app("sorrelbay's daemon; one runs on every entry host.");
  app.set_version_flag("--version", SORRELBAY_VERSION);
  std::string path = "/etc/sorrelbay/sorrelbayd.toml";
  bool onlyChecks = false;
  app.add_option("--settings", path, "the settings file");
  app.add_flag("--check", onlyChecks, "check the settings and exit");
  CLI11_PARSE(app, argc, argv);
  const std::string text = readFile(path);
  const bool servesPlatform = usesStoreAsBundleSource(text);
  const auto gatewaySettings =
      servesPlatform ? readSettings(text, path, parseGatewaySettings)
                     : GatewaySettings{};
  const auto daemonSettings =
      servesPlatform ? DaemonSettings{}
                     : readSettings(text, path, parseDaemonSettings);
  if (onlyChecks) {
    std::cout << path << ": ok\n";
    return 0;
  }
  // Blocked before any thread starts, so that only this thread receives them.
  const sigset_t signals = stopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return servesPlatform ? runGateway(gatewaySettings, path)
                          : runDaemon(daemonSettings, path);
  } catch (const std::exception &error) {
    LogLine(Severity::Error, "daemon failed").field("error", error.what());
    return ExitFailed;
  }
}
