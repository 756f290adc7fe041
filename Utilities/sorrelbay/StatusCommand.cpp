#include "Commands.h"
#include "LibObjectApi/HttpObjectApi.h"
#include "StatusReport.h"
#include "Terminal.h"
#include <algorithm>
#include <iostream>
#include <thread>

namespace sorrelbay {

namespace {

/// Between two looks of a watch. A look costs one list and a read for each
/// move, and the platform counts them all.
constexpr auto WatchPause = seconds(1);

struct StatusOptions {
  std::string Platform;
  bool IsWatching = false;
  bool IsJson = false;
};

bool hasRolledBack(const StatusReport &report) {
  return std::any_of(report.Moves.begin(), report.Moves.end(),
                     [&report](const MoveStatus &it) {
                       return it.State == MoveState::TakenBack &&
                              it.Generation ==
                                  report.Current->Content.Generation;
                     });
}

bool isSettled(const StatusReport &report) {
  return report.Current &&
         areMovesSettled(report.Current->Content, report.Moves);
}

std::string render(const StatusReport &report, const StatusOptions &options) {
  return options.IsJson ? renderJson(report)
                        : renderTable(report, isColoured());
}

/// Prints the status whenever it changes, until all moves of the current
/// bundle came to their ends. An outage in between is waited out: the moves go
/// on without the object API.
ExitCode watch(const ObjectApi &api, const StatusOptions &options) {
  std::string shown;
  while (true) {
    try {
      const StatusReport report = readStatusReport(api);
      const std::string text = render(report, options);
      if (text != shown)
        std::cout << text << std::flush;
      shown = text;
      if (isSettled(report))
        return hasRolledBack(report) ? ExitCode::TakenBack : ExitCode::Success;
    } catch (const ObjectApiUnavailable &error) {
      std::cerr << "sorrelbay: " << error.what() << "; looking again\n";
    }
    std::this_thread::sleep_for(WatchPause);
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
      "status", "Show the current bundle and where its moves stand");
  command
      ->add_option("--platform", options->Platform,
                   "The object API, as IP:PORT")
      ->required();
  command->add_flag("--watch", options->IsWatching,
                    "Show each change until all moves are done or taken back");
  command->add_flag("--json", options->IsJson, "Print JSON, one line a look");
  command->callback([options, &exitCode] { exitCode = showStatus(*options); });
}

} // namespace sorrelbay
