#include "ChildProcess.h"
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <thread>

namespace sorrelbay {

// Far above the duration of any step, so that only a hang reaches the limit.
static constexpr int MaxPolls = 6000;
static constexpr Duration ConditionPollInterval = milliseconds(10);

void waitUntil(const std::string &what,
               const std::function<bool()> &condition) {
  for (int n = 0; n < MaxPolls; ++n) {
    if (condition())
      return;
    std::this_thread::sleep_for(ConditionPollInterval);
  }
  throw TestStepFailed("timed out waiting for: " + what);
}

static std::string readAll(const std::string &path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

ChildProcess::ChildProcess(const std::string &program,
                           const std::vector<std::string> &arguments,
                           std::string logPath)
    : LogPath(std::move(logPath)) {
  std::string path = std::string(SORRELBAY_BINARY_DIR) + "/" + program;
  std::vector<std::string> argumentCopies = arguments;
  std::vector<char *> argv{path.data()};
  for (std::string &it : argumentCopies)
    argv.push_back(it.data());
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, LogPath.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int ec =
      posix_spawn(&Id, path.c_str(), &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (ec != 0)
    throw TestStepFailed("cannot start " + path);
}

ChildProcess::~ChildProcess() { kill(); }

std::string ChildProcess::waitForLine(const std::string &start) const {
  std::string rest;
  waitUntil("a line that starts with '" + start + "' in " + LogPath, [&] {
    std::istringstream lines(readAll(LogPath));
    for (std::string line; std::getline(lines, line);)
      if (line.rfind(start, 0) == 0 && !lines.eof()) {
        rest = line.substr(start.size());
        return true;
      }
    return false;
  });
  return rest;
}

bool ChildProcess::hasLogged(const std::string &text) const {
  return readAll(LogPath).find(text) != std::string::npos;
}

void ChildProcess::pause() const {
  ::kill(Id, SIGSTOP);
  // kill() returns before the process is stopped; waitpid() reports the stop.
  int status = 0;
  waitpid(Id, &status, WUNTRACED);
}

void ChildProcess::resume() const { ::kill(Id, SIGCONT); }

void ChildProcess::terminate() const { ::kill(Id, SIGTERM); }

void ChildProcess::reap(int options) {
  int status = 0;
  if (HasEnded || waitpid(Id, &status, options) != Id)
    return;
  HasEnded = true;
  ExitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

void ChildProcess::kill() {
  if (HasEnded)
    return;
  ::kill(Id, SIGKILL);
  reap(0);
}

int ChildProcess::wait() {
  waitUntil("the exit of process " + std::to_string(Id),
            [this] { return !isRunning(); });
  return ExitCode;
}

bool ChildProcess::isRunning() {
  reap(WNOHANG);
  return !HasEnded;
}

} // namespace sorrelbay
