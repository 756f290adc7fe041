#include "Commands.h"
#include "LibObjectApi/HttpObjectApi.h"
#include "LibOperator/BundleRoll.h"
#include "Terminal.h"
#include "WholeFile.h"

namespace sorrelbay {

namespace {

struct RollOptions {
  std::string File;
  std::string Platform;
};

void roll(const RollOptions &options) {
  const SignedBundle bundle = decodeSignedBundle(readFile(options.File));
  const ObjectApi api = connectObjectApi(options.Platform, PlatformTimeout);
  const RollResult result = rollBundle(api, bundle);
  printNote("generation " + std::to_string(result.Generation) +
            (result.WasCurrent ? " was already current" : " is now current"));
}

} // namespace

void addBundleRoll(CLI::App &parent) {
  auto options = std::make_shared<RollOptions>();
  CLI::App *command =
      parent.add_subcommand("roll", "Make a signed bundle the current one");
  command->add_option("FILE", options->File, "The signed bundle")->required();
  command
      ->add_option("--platform", options->Platform,
                   "The object API, as IP:PORT")
      ->required();
  command->callback([options] { roll(*options); });
}

} // namespace sorrelbay
