#include "Commands.h"
#include "LibBase/TomlReader.h"
#include "LibOperator/BundleRoll.h"
#include "LibOperator/OperatorRequestsObject.h"
#include "LibOperator/RolloutStatusObject.h"
#include "WholeFile.h"
#include <iostream>

using namespace sorrelbay;

namespace {

void addCommands(CLI::App &app, ExitCode &exitCode) {
  app.require_subcommand(1);
  app.set_version_flag("--version", "sorrelbay " SORRELBAY_VERSION);
  CLI::App *bundle =
      app.add_subcommand("bundle", "Check, sign and roll bundles");
  bundle->require_subcommand(1);
  addBundleCheck(*bundle);
  addBundleSign(*bundle);
  addBundleRoll(*bundle);
  CLI::App *keys = app.add_subcommand("keys", "Generate signing keys");
  keys->require_subcommand(1);
  addKeysGenerate(*keys);
  addStatus(app, exitCode);
  addExplain(app, exitCode);
  addQuarantine(app, exitCode);
  addOperatorRequests(app, exitCode);
}

ExitCode printError(const std::exception &error, ExitCode exitCode) {
  std::cerr << "sorrelbay: " << error.what() << '\n';
  return exitCode;
}

/// Parses the command line. CLI11's own exit codes are above 100 and differ by
/// error; scripts get a single code for wrong usage.
ExitCode parse(CLI::App &app, int argc, char **argv, ExitCode &exitCode) {
  try {
    app.parse(argc, argv);
    return exitCode;
  } catch (const CLI::ParseError &error) {
    return app.exit(error) == 0 ? ExitCode::Success : ExitCode::BadInput;
  }
}

ExitCode run(int argc, char **argv) {
  CLI::App app("Operate a sorrelbay system", "sorrelbay");
  ExitCode exitCode = ExitCode::Success;
  addCommands(app, exitCode);
  try {
    return parse(app, argc, argv, exitCode);
  } catch (const TomlError &error) {
    std::cerr << error.what() << '\n';
    return ExitCode::BadInput;
  } catch (const BundleRefused &error) {
    return printError(error, ExitCode::BadInput);
  } catch (const KeyUnusable &error) {
    return printError(error, ExitCode::BadInput);
  } catch (const FileUnusable &error) {
    return printError(error, ExitCode::BadInput);
  } catch (const OperatorRequestsMalformed &error) {
    return printError(error, ExitCode::BadInput);
  } catch (const RollRefused &error) {
    return printError(error, ExitCode::RollRefused);
  } catch (const ObjectApiUnavailable &error) {
    return printError(error, ExitCode::Unavailable);
  } catch (const WriteOutcomeUnknown &error) {
    return printError(error, ExitCode::Unknown);
  } catch (const std::exception &error) {
    return printError(error, ExitCode::Failure);
  }
}

} // namespace

int main(int argc, char **argv) { return static_cast<int>(run(argc, argv)); }
