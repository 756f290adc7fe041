#pragma once

#include "ExitCode.h"
#include "LibBase/Time.h"
#include <CLI/CLI.hpp>

namespace sorrelbay {

/// How long one call of the object API may take.
constexpr Duration PlatformTimeout = seconds(5);

/// Each adds its subcommand to the parent. The command runs while the command
/// line is parsed; its failures leave as exceptions, and an outcome other than
/// success is put into the exit code, which must outlive the parent.
void addBundleCheck(CLI::App &parent);
void addBundleSign(CLI::App &parent);
void addBundleRoll(CLI::App &parent);
void addKeysGenerate(CLI::App &parent);
void addExplain(CLI::App &parent, ExitCode &exitCode);
void addStatus(CLI::App &parent, ExitCode &exitCode);

} // namespace sorrelbay
