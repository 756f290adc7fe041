#include "Commands.h"
#include "LibOperator/SigningKey.h"
#include <iostream>

namespace sorrelbay {

static void generate(const std::string &out) {
  const SigningKey key = SigningKey::generate();
  key.save(out);
  std::cout << key.publicKey().hex() << '\n';
}

void addKeysGenerate(CLI::App &parent) {
  auto out = std::make_shared<std::string>();
  CLI::App *command = parent.add_subcommand(
      "generate", "Generate a signing key and print its public key");
  command->add_option("--out", *out, "The private key file to write")
      ->required();
  command->callback([out] { generate(*out); });
}

} // namespace sorrelbay
