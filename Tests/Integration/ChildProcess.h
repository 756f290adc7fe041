#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"
#include <functional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace sorrelbay {

/// A step of a test failed: a program did not start, or a condition did not
/// hold within the wait limit of about a minute, which only a hang reaches.
class TestStepFailed : public Error {
public:
  using Error::Error;
};

/// Polls the condition until it holds. Throws TestStepFailed with the
/// description after the wait limit.
void waitUntil(const std::string &what, const std::function<bool()> &condition);

/// A daemon, tool or fake that a test starts as a process. Only tests start
/// processes; the product never does. The destructor kills the process by its
/// id.
class ChildProcess {
public:
  /// Starts a program from the build folder and appends its output to the log
  /// file. Throws TestStepFailed if it cannot be started.
  ChildProcess(const std::string &program,
               const std::vector<std::string> &arguments, std::string logPath);
  ~ChildProcess();
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  /// Waits for a complete line of the log that starts with the text; returns
  /// the rest of the line.
  std::string waitForLine(const std::string &start) const;
  /// Whether the log contains the text.
  bool hasLogged(const std::string &text) const;
  /// Sends SIGSTOP and waits until the process is stopped.
  void pause() const;
  void resume() const;
  /// Sends SIGKILL and waits for the process to exit.
  void kill();
  /// Sends SIGTERM without waiting for the process to exit.
  void terminate() const;
  /// Waits for the process to exit. Returns its exit code, or the negated
  /// number of the signal that ended it.
  int wait();
  bool isRunning();

private:
  void reap(int options);

  std::string LogPath;
  pid_t Id = 0;
  bool HasEnded = false;
  int ExitCode = 0;
};

} // namespace sorrelbay
