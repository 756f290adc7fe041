#pragma once

#include "ExitCode.h"
#include "LibBase/Time.h"
#include <CLI/CLI.hpp>

namespace sorrelbay {

/// The timeout of one call to the object API.
constexpr Duration PlatformTimeout = seconds(5);

/// Each function adds a subcommand to the parent. The command runs while the
/// command line is parsed. Errors are thrown; an outcome other than success is
/// stored in the exit code, which must outlive the parent.
void addBundleCheck(CLI::App &parent);
void addBundleSign(CLI::App &parent);
void addBundleRoll(CLI::App &parent);
void addKeysGenerate(CLI::App &parent);
void addExplain(CLI::App &parent, ExitCode &exitCode);
void addStatus(CLI::App &parent, ExitCode &exitCode);
void addQuarantine(CLI::App &parent, ExitCode &exitCode);
void addOperatorRequests(CLI::App &parent, ExitCode &exitCode);

} // namespace sorrelbay
