#include "Commands.h"
#include "LibObjectApi/HttpObjectApi.h"
#include "StatusReport.h"
#include "Terminal.h"
#include <algorithm>
#include <iostream>
#include <thread>

namespace sorrelbay {

namespace {

/// The time between two polls of a watch. A poll makes one list call and one
/// read per rollout, all of which the platform counts.
constexpr auto PollInterval = seconds(1);

struct StatusOptions {
  std::string Platform;
  bool IsWatching = false;
  bool IsJson = false;
};

bool hasRolledBack(const StatusReport &report) {
  return std::any_of(report.Rollouts.begin(), report.Rollouts.end(),
                     [&report](const RolloutStatusObject &it) {
                       return it.State == PublishedRolloutState::TakenBack &&
                              it.Generation ==
                                  report.Current->Content.Generation;
                     });
}

bool isSettled(const StatusReport &report) {
  return report.Current &&
         areRolloutsSettled(report.Current->Content, report.Rollouts);
}

std::string render(const StatusReport &report, const StatusOptions &options) {
  return options.IsJson ? renderJson(report)
                        : renderTable(report, isColoured());
}

/// Prints the status whenever it changes, until all rollouts of the current
/// bundle have ended. Keeps polling during an outage of the object API, since
/// rollouts continue without it.
ExitCode watch(const ObjectApi &api, const StatusOptions &options) {
  std::string printed;
  while (true) {
    try {
      const StatusReport report = readStatusReport(api);
      const std::string text = render(report, options);
      if (text != printed)
        std::cout << text << std::flush;
      printed = text;
      if (isSettled(report))
        return hasRolledBack(report) ? ExitCode::RolledBack : ExitCode::Success;
    } catch (const ObjectApiUnavailable &error) {
      std::cerr << "sorrelbay: " << error.what() << "; retrying\n";
    }
    std::this_thread::sleep_for(PollInterval);
  }
}

ExitCode showStatus(const StatusOptions &options) {
  const ObjectApi api = connectObjectApi(options.Platform, PlatformTimeout);
  if (options.IsWatching)
    return watch(api, options);
  std::cout << render(readStatusReport(api), options);
  return ExitCode::Success;
}

} // namespace

void addStatus(CLI::App &parent, ExitCode &exitCode) {
  auto options = std::make_shared<StatusOptions>();
  CLI::App *command = parent.add_subcommand(
      "status", "Show the current bundle and the state of its rollouts");
  command
      ->add_option("--platform", options->Platform,
                   "The object API, as IP:PORT")
      ->required();
  command->add_flag(
      "--watch", options->IsWatching,
      "Show each change until all rollouts are done or rolled back");
  command->add_flag("--json", options->IsJson,
                    "Print JSON, one line per status");
  command->callback([options, &exitCode] { exitCode = showStatus(*options); });
}

} // namespace sorrelbay
