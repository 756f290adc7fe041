#include "Commands.h"
#include "LibOperator/CallTimeline.h"
#include "Terminal.h"
#include "WholeFile.h"
#include <fstream>
#include <iostream>

namespace sorrelbay {

namespace {

struct ExplainOptions {
  std::string CallId;
  std::vector<std::string> Files;
};

ExitCode explain(const ExplainOptions &options) {
  std::vector<TimelineEntry> lines;
  std::size_t unreadable = 0;
  for (const std::string &it : options.Files) {
    std::ifstream log(it);
    if (!log)
      throw FileUnusable(it + ": can't be read");
    const std::vector<TimelineEntry> more =
        readTimeline(log, options.CallId, unreadable);
    lines.insert(lines.end(), more.begin(), more.end());
  }
  const CallTimeline story = buildTimeline(options.CallId, lines);
  if (unreadable != 0)
    printRemark(std::to_string(unreadable) + " lines can't be read");
  if (story.Lines.empty()) {
    std::cerr << "sorrelbay: no log names " << options.CallId << '\n';
    return ExitCode::NotFound;
  }
  for (const std::string &it : story.Causes)
    std::cout << it << '\n';
  if (story.Causes.empty())
    std::cout << options.CallId
              << ": the logs name it, but no line tells its end\n";
  for (const TimelineEntry &it : story.Lines)
    std::cout << it.Text << '\n';
  return ExitCode::Success;
}

} // namespace

void addExplain(CLI::App &parent, ExitCode &exitCode) {
  auto options = std::make_shared<ExplainOptions>();
  CLI::App *command = parent.add_subcommand(
      "explain", "Tell what became of a call by the daemons' logs");
  command->add_option("ID", options->CallId, "The call's id")->required();
  command->add_option("FILE", options->Files, "Logs of one or more hosts")
      ->required();
  command->callback([options, &exitCode] { exitCode = explain(*options); });
}

} // namespace sorrelbay
