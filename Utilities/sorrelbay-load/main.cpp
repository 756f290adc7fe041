#include "LoadRun.h"
#include <CLI/CLI.hpp>
#include <atomic>
#include <iomanip>
#include <iostream>
#include <thread>

using namespace sorrelbay;

namespace {

double toMs(Duration span) { return toSeconds(span) * 1000; }

/// Samples the usage of a process every 50 ms while the load runs and keeps the
/// peak memory and number of threads.
class PeakUsageSampler {
public:
  explicit PeakUsageSampler(int processId)
      : Before(readProcessUsage(processId)), Worker([this, processId] {
          while (!IsDone) {
            const ProcessUsage usageSample = readProcessUsage(processId);
            PeakBytes = std::max(PeakBytes, usageSample.ResidentBytes);
            PeakThreads = std::max(PeakThreads, usageSample.Threads);
            std::this_thread::sleep_for(milliseconds(50));
          }
        }) {}
  ~PeakUsageSampler() { finish(); }
  PeakUsageSampler(const PeakUsageSampler &) = delete;
  PeakUsageSampler &operator=(const PeakUsageSampler &) = delete;

  void finish() {
    IsDone = true;
    if (Worker.joinable())
      Worker.join();
  }

  ProcessUsage Before;
  std::uint64_t PeakBytes = 0;
  std::uint64_t PeakThreads = 0;

private:
  std::atomic<bool> IsDone{false};
  std::thread Worker;
};

void print(const char *name, const LoadResult &result) {
  std::cout << name << ": first token median "
            << toMs(quantile(result.FirstTokens, 0.5)) << " ms, p99 "
            << toMs(quantile(result.FirstTokens, 0.99)) << " ms; "
            << result.CompleteResponses << " complete, "
            << result.FailedResponses << " failed; "
            << static_cast<double>(result.Tokens) / toSeconds(result.Elapsed)
            << " tokens/s\n";
}

} // namespace

int main(int argc, char **argv) {
  CLI::App app(
      "Generates load on a daemon and reports its latency and throughput.");
  app.set_version_flag("--version", SORRELBAY_VERSION);
  LoadOptions options;
  std::string direct;
  int processId = 0;
  app.add_option("--target", options.Target,
                 "address of the daemon, as ip:port")
      ->required();
  app.add_option(
      "--direct", direct,
      "address of an engine, as ip:port, that receives the same load first for "
      "comparison");
  app.add_option("--process", processId,
                 "process id of the daemon, to report its resource usage");
  app.add_option("--streams", options.Streams, "number of concurrent streams")
      ->check(CLI::Range(1, 2000));
  app.add_option("--rounds", options.Rounds,
                 "calls per stream, one after the other")
      ->check(CLI::Range(1, 1000));
  app.add_option("--tokens", options.Tokens, "tokens per response")
      ->check(CLI::Range(1, 100000));
  CLI11_PARSE(app, argc, argv);

  std::cout << std::fixed << std::setprecision(2);
  if (!direct.empty()) {
    LoadOptions directOptions = options;
    directOptions.Target = direct;
    print("direct", runLoad(directOptions));
  }
  PeakUsageSampler sampler(processId);
  const LoadResult result = runLoad(options);
  sampler.finish();
  print("relayed", result);
  if (processId != 0) {
    const ProcessUsage after = readProcessUsage(processId);
    const Duration used = after.Processor - sampler.Before.Processor;
    const double growthBytes =
        static_cast<double>(sampler.PeakBytes) -
        static_cast<double>(sampler.Before.ResidentBytes);
    std::cout << "daemon: " << toSeconds(used) << " s of processor time, "
              << static_cast<double>(result.Tokens) /
                     std::max(toSeconds(used), 0.01)
              << " tokens per second of processor time; peak "
              << static_cast<double>(sampler.PeakBytes) / 1e6 << " MB, "
              << sampler.PeakThreads << " threads, "
              << growthBytes / 1e3 / static_cast<double>(options.Streams)
              << " kB more per stream\n";
  }
  return result.FailedResponses == 0 ? 0 : 1;
}
