#include "Desk.hh"
#include <cstdio>
#include <cstdlib>

namespace scene {

std::string deskConfiguration() {
  return R"({"Version":2,
"Routes":[
{"Name":"crew-booking","Host":"h.example","PathPrefix":"/book/",
"RouteKind":"non_idempotent","Service":"jobs-desk","MaxAttempts":1,
"TimeoutMs":1000,"LatencyGoalMs":100,"Priority":2},
{"Name":"job-lookup","Host":"h.example","PathPrefix":"/look/",
"RouteKind":"idempotent","Service":"jobs-desk","MaxAttempts":2,
"TimeoutMs":1000,"LatencyGoalMs":100,"Priority":2}],
"Services":[{"Name":"jobs-desk","MaxConns":100,"HealthPath":"/healthz"}],
"Tenants":[{"Name":"crew","ApiKeys":["key-of-crew"],"RatePerS":0}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,
"HeaderTimeoutMs":5000,"IdleTimeoutMs":10000}})";
}

Listener::Serve acceptingCloud() {
  return [](Channel &channel) {
    Request request;
    while (channel.readRequest(request))
      if (!channel.send(replyText(200, {}, "{}")))
        return;
  };
}

Callers::Callers(Record &record, std::vector<std::string> fronts)
    : Notes(record), Fronts(std::move(fronts)) {}

void Callers::start(int count, int intervalMs) {
  for (int n = 0; n < count; ++n)
    Threads.emplace_back([this, n, intervalMs] { run(n, intervalMs); });
}

void Callers::finish() {
  IsOver = true;
  for (std::thread &it : Threads)
    it.join();
  Threads.clear();
}

std::vector<Attempt> Callers::attempts() {
  const std::lock_guard<std::mutex> lock(Mutex);
  return Attempts;
}

Attempt Callers::send(std::unique_ptr<Channel> &channel,
                      const std::string &front, const std::string &booking) {
  char id[24];
  std::snprintf(id, sizeof(id), "%016x", 0x10000 + ++Next);
  Attempt out;
  out.Id = id;
  out.Booking = booking;
  if (!channel)
    channel = Channel::open(front, 1000);
  out.SentAt = nowMs();
  Notes.line("sent     " + out.Id + " booking " + booking + " to " + front);
  if (channel) {
    channel->send(requestText("POST", "/book/" + booking,
                              {{"Host", "h.example"},
                               {"Attempt-Id", out.Id},
                               {"Deadline-Ms", "1000"},
                               {"Api-Key", "key-of-crew"}},
                              "book " + booking));
    out.Got = channel->readReply(1500);
  } else {
    out.Got.Status = -1;
  }
  out.EndedAt = nowMs();
  if (!out.Got.IsWhole || out.Got.header("Connection") == "close")
    channel.reset();
  Notes.line("answered " + out.Id + " " + std::to_string(out.Got.Status) +
             (out.Got.Status <= 0 ? " (no answer)" : "") + ", signature '" +
             out.Got.header("Server-Signature") + "'");
  const std::lock_guard<std::mutex> lock(Mutex);
  Attempts.push_back(out);
  return out;
}

void Callers::run(int caller, int intervalMs) {
  std::vector<std::unique_ptr<Channel>> channels(Fronts.size());
  sleepMs(intervalMs * caller / 16);
  for (int n = 0; !IsOver; ++n) {
    const double begun = nowMs();
    const std::size_t at = static_cast<std::size_t>(n) % Fronts.size();
    const std::string booking =
        std::to_string(caller) + "-" + std::to_string(n);
    const Attempt first = send(channels[at], Fronts[at], booking);
    const int status = first.Got.Status;
    const bool isPromise =
        status == 503 || status == 429 || status == 408 || status == 421;
    if (isPromise) {
      const double wait =
          std::atof(first.Got.header("Retry-After").c_str()) * 1000;
      sleepMs(static_cast<int>(wait < 300 ? wait : 300));
      std::unique_ptr<Channel> fresh;
      send(fresh, Fronts[at], booking);
    }
    const double left = intervalMs - (nowMs() - begun);
    if (left > 0)
      sleepMs(static_cast<int>(left));
  }
}

} // namespace scene
