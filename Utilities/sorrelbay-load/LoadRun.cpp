#include "LoadRun.h"
#include "LibHttp/HttpClient.h"
#include <algorithm>
#include <cmath>
#include <fstream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace sorrelbay {

namespace {

constexpr Duration WaitLimit = seconds(60);

HttpCall chatCall(const LoadOptions &options, std::size_t number) {
  HttpCall call;
  call.Method = "POST";
  call.Path = "/v1/chat/completions";
  call.Headers.push_back({"X-Team", options.Team});
  call.ReadTimeout = WaitLimit;
  const std::string question = "question " + std::to_string(number);
  call.Body =
      nlohmann::json{{"model", options.Model},
                     {"stream", true},
                     {"max_tokens", options.Tokens},
                     {"messages", {{{"role", "user"}, {"content", question}}}}}
          .dump();
  return call;
}

/// Counts events without parsing them, to keep the load generator's own
/// processor time small compared with what it measures.
std::uint64_t countEvents(std::string_view data) {
  static const std::string_view contentKey = "\"content\"";
  std::uint64_t n = 0;
  for (std::size_t at = data.find(contentKey); at != std::string_view::npos;
       at = data.find(contentKey, at + contentKey.size()))
    ++n;
  return n;
}

/// Makes one call and adds its measurements to the result.
void runCall(const LoadOptions &options, std::size_t number, LoadResult &result,
             std::mutex &mutex) {
  std::uint64_t tokens = 0;
  Duration first{};
  bool isComplete = false;
  const Instant start = now();
  try {
    HttpStream stream(options.Target, chatCall(options, number));
    const bool hasEnded =
        stream.run([](const HttpReply &reply) { return reply.Status == 200; },
                   [&](std::string_view data) {
                     const std::uint64_t n = countEvents(data);
                     if (tokens == 0 && n > 0)
                       first = now() - start;
                     tokens += n;
                     return true;
                   });
    isComplete = hasEnded && tokens == options.Tokens;
  } catch (const Error &) {
    isComplete = false;
  }
  const std::lock_guard<std::mutex> lock(mutex);
  result.Tokens += tokens;
  if (tokens > 0)
    result.FirstTokens.push_back(first);
  if (isComplete)
    ++result.CompleteResponses;
  else
    ++result.FailedResponses;
}

} // namespace

LoadResult runLoad(const LoadOptions &options) {
  LoadResult result;
  std::mutex mutex;
  std::vector<std::thread> threads;
  const Instant start = now();
  threads.reserve(options.Streams);
  for (std::size_t n = 0; n < options.Streams; ++n) {
    threads.emplace_back([&, n] {
      for (std::size_t round = 0; round < options.Rounds; ++round)
        runCall(options, n * options.Rounds + round, result, mutex);
    });
    std::this_thread::sleep_for(options.Stagger);
  }
  for (std::thread &it : threads)
    it.join();
  result.Elapsed = now() - start;
  return result;
}

Duration quantile(std::vector<Duration> durations, double share) {
  if (durations.empty())
    return Duration{};
  std::sort(durations.begin(), durations.end());
  const auto last = static_cast<double>(durations.size() - 1);
  return durations[static_cast<std::size_t>(std::lround(last * share))];
}

ProcessUsage readProcessUsage(int processId) {
  ProcessUsage usage;
  const std::string procDirectory = "/proc/" + std::to_string(processId);
  std::ifstream stat(procDirectory + "/stat");
  std::string text;
  std::getline(stat, text);
  const std::size_t afterName = text.rfind(')');
  if (afterName == std::string::npos)
    return usage;
  // Fields 14 and 15 are the user and system time; the process name is field 2.
  std::istringstream fields(text.substr(afterName + 1));
  std::string field;
  for (int n = 3; n < 14; ++n)
    fields >> field;
  std::uint64_t user = 0;
  std::uint64_t system = 0;
  fields >> user >> system;
  const auto ticks = static_cast<double>(sysconf(_SC_CLK_TCK));
  usage.Processor = fromSeconds(static_cast<double>(user + system) / ticks);
  std::ifstream status(procDirectory + "/status");
  while (std::getline(status, text)) {
    if (text.rfind("VmRSS:", 0) == 0)
      usage.ResidentBytes = std::stoull(text.substr(6)) * 1024;
    if (text.rfind("Threads:", 0) == 0)
      usage.Threads = std::stoull(text.substr(8));
  }
  return usage;
}

} // namespace sorrelbay
