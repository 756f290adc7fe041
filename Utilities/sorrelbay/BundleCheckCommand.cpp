#include "Commands.h"
#include "LibOperator/BundleFile.h"
#include "Terminal.h"
#include "WholeFile.h"

namespace sorrelbay {

static void check(const std::string &file) {
  const Bundle bundle = parseBundle(readFile(file), file);
  printNote(file + ": generation " + std::to_string(bundle.Generation) +
            " is valid");
}

void addBundleCheck(CLI::App &parent) {
  auto file = std::make_shared<std::string>();
  CLI::App *command =
      parent.add_subcommand("check", "Report all errors in a bundle file");
  command->add_option("FILE", *file, "The bundle in TOML")->required();
  command->callback([file] { check(*file); });
}

} // namespace sorrelbay
