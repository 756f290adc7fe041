#include "BlockingStore.h"
#include "Commands.h"
#include "LibOperator/QuarantineObject.h"
#include <iostream>

namespace sorrelbay {

namespace {

struct QuarantineOptions {
  std::string Store;
  std::string Part;
};

CrashKnowledge parseOrNone(const std::string &body) {
  return body.empty() ? CrashKnowledge{} : parseQuarantineObject(body);
}

void listQuarantines(const QuarantineOptions &options) {
  const auto object =
      BlockingStore(options.Store)
          .read(ResourceKind::Quarantines, QuarantineObjectName);
  const CrashKnowledge stored = parseOrNone(object ? object->Body : "");
  std::cout << renderQuarantineTable(stored.Quarantines, now());
}

ExitCode releaseQuarantine(const QuarantineOptions &options) {
  const auto release =
      [&](const std::string &body) -> std::optional<std::string> {
    CrashKnowledge stored = parseOrNone(body);
    if (releaseQuarantines(stored.Quarantines, options.Part, now()) == 0)
      return std::nullopt;
    return renderQuarantineObject(stored);
  };
  if (BlockingStore(options.Store)
          .update(ResourceKind::Quarantines, QuarantineObjectName, release))
    return ExitCode::Success;
  std::cerr << "sorrelbay: no quarantine in force names " << options.Part
            << '\n';
  return ExitCode::NotFound;
}

void addStoreOption(CLI::App &command, QuarantineOptions &options) {
  command
      .add_option("--store", options.Store, "The platform's store, as IP:PORT")
      ->required();
}

} // namespace

void addQuarantine(CLI::App &parent, ExitCode &exitCode) {
  auto options = std::make_shared<QuarantineOptions>();
  CLI::App *quarantine = parent.add_subcommand(
      "quarantine", "List and release parts of prompts that crash upstreams");
  quarantine->require_subcommand(1);
  CLI::App *list =
      quarantine->add_subcommand("list", "Show the quarantined parts");
  addStoreOption(*list, *options);
  list->callback([options] { listQuarantines(*options); });
  CLI::App *release =
      quarantine->add_subcommand("release", "Send calls with a part again");
  release->add_option("PART", options->Part, "The part's id")->required();
  addStoreOption(*release, *options);
  release->callback(
      [options, &exitCode] { exitCode = releaseQuarantine(*options); });
}

} // namespace sorrelbay
