#include "FakeMain.h"
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <unistd.h>

namespace sorrelbay {

static sigset_t stopSignals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  return set;
}

void blockStopSignals() {
  const sigset_t set = stopSignals();
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

int serveFake(HttpServer &server, const std::string &address) {
  std::cout << "listening " << server.start(address) << std::endl;
  const sigset_t set = stopSignals();
  int receivedSignal = 0;
  sigwait(&set, &receivedSignal);
  // Exits without joining threads, so that hanging streams do not keep the
  // process running.
  std::cout.flush();
  _exit(0);
}

std::int64_t queryNumber(const HttpRequest &request, const char *name,
                         std::int64_t defaultNumber) {
  const std::string text = headerValue(request.Query, name);
  return text.empty() ? defaultNumber : std::atoll(text.c_str());
}

} // namespace sorrelbay
