// Runs a fake model engine as a process; see FakeEngine.h.
#include "FakeEngine.h"
#include "FakeMain.h"
#include <CLI/CLI.hpp>

using namespace sorrelbay;

int main(int argc, char **argv) {
  CLI::App app("Fake model engine for tests.");
  std::string listen = "127.0.0.1:0";
  FakeEngineOptions options;
  std::int64_t tokenMicros = options.TokenInterval.count();
  app.add_option("--listen", listen, "ip:port; 0 selects a free port");
  app.add_option("--service", options.Service);
  app.add_option("--version-name", options.Version);
  app.add_option("--token-us", tokenMicros,
                 "time between tokens in microseconds")
      ->take_last();
  app.add_option("--capacity", options.Capacity,
                 "maximum number of open streams");
  app.add_option("--tokens", options.DefaultTokens,
                 "response length in tokens if the caller sets no limit");
  app.add_option("--fail-share", options.FailShare,
                 "share of requests that fail with status 500, from 0 to 1");
  app.add_option("--fatal-text", options.FatalText,
                 "text of messages under which the process ends");
  CLI11_PARSE(app, argc, argv);
  options.TokenInterval = microseconds(tokenMicros);
  blockStopSignals();
  FakeEngine engine(options);
  HttpServer server;
  const auto handlerFor = [&engine](auto member) {
    return
        [&engine, member](const HttpRequest &r) { return (engine.*member)(r); };
  };
  server.route("POST", "/v1/chat/completions",
               handlerFor(&FakeEngine::complete));
  server.route("POST", "/v1/requests/(.+)/cancel",
               handlerFor(&FakeEngine::cancel));
  server.route("POST", "/v1/requests/(.+)/cache",
               handlerFor(&FakeEngine::exportCache));
  server.route("POST", "/v1/orders", handlerFor(&FakeEngine::acceptLevels));
  server.route("POST", "/admin/faults", handlerFor(&FakeEngine::setFaults));
  server.route("GET", "/v1/load",
               [&engine](const HttpRequest &) { return engine.load(); });
  server.route("GET", "/admin/counters",
               [&engine](const HttpRequest &) { return engine.counters(); });
  return serveFake(server, listen);
}
