#include "Commands.h"
#include "LibOperator/BundleFile.h"
#include "LibOperator/SignedBundle.h"
#include "Terminal.h"
#include "WholeFile.h"

namespace sorrelbay {

namespace {

struct SignOptions {
  std::string File;
  std::string Key;
  std::string Out;
};

void sign(const SignOptions &options) {
  const Bundle bundle = parseBundle(readFile(options.File), options.File);
  const SigningKey key = SigningKey::load(options.Key);
  writeFile(options.Out, encodeSignedBundle(signBundle(bundle, key)));
  printNote(options.Out + ": generation " + std::to_string(bundle.Generation) +
            " signed by key " + key.publicKey().id().text());
}

} // namespace

void addBundleSign(CLI::App &parent) {
  auto options = std::make_shared<SignOptions>();
  CLI::App *command =
      parent.add_subcommand("sign", "Check and sign a bundle file");
  command->add_option("FILE", options->File, "The bundle in TOML")->required();
  command->add_option("--key", options->Key, "The private key file")
      ->required();
  command->add_option("--out", options->Out, "The signed bundle file to write")
      ->required();
  command->callback([options] { sign(*options); });
}

} // namespace sorrelbay
