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
  std::size_t unreadableCount = 0;
  for (const std::string &it : options.Files) {
    std::ifstream log(it);
    if (!log)
      throw FileUnusable(it + ": can't be read");
    const std::vector<TimelineEntry> entries =
        readTimeline(log, options.CallId, unreadableCount);
    lines.insert(lines.end(), entries.begin(), entries.end());
  }
  const CallTimeline timeline = buildTimeline(options.CallId, lines);
  if (unreadableCount != 0)
    printNote(std::to_string(unreadableCount) + " log lines can't be parsed");
  if (timeline.Lines.empty()) {
    std::cerr << "sorrelbay: no log mentions call " << options.CallId << '\n';
    return ExitCode::NotFound;
  }
  for (const std::string &it : timeline.Causes)
    std::cout << it << '\n';
  if (timeline.Causes.empty())
    std::cout << options.CallId
              << ": the logs mention the call but do not contain its end\n";
  for (const TimelineEntry &it : timeline.Lines)
    std::cout << it.Text << '\n';
  return ExitCode::Success;
}

} // namespace

void addExplain(CLI::App &parent, ExitCode &exitCode) {
  auto options = std::make_shared<ExplainOptions>();
  CLI::App *command = parent.add_subcommand(
      "explain",
      "Show the outcome of a call and its cause from the daemons' logs");
  command->add_option("ID", options->CallId, "The call's id")->required();
  command->add_option("FILE", options->Files, "Logs of one or more hosts")
      ->required();
  command->callback([options, &exitCode] { exitCode = explain(*options); });
}

} // namespace sorrelbay
