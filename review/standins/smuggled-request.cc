// A client's request bears a Transfer-Encoding that isn't `chunked`, and its
// body is the text of another request. Shows that a replica runs that text.

#include "Desk.hh"
#include <algorithm>
#include <csignal>
#include <unistd.h>

using namespace scene;

int main(int, char **argv) {
  std::signal(SIGPIPE, SIG_IGN);
  Record record(argv[1]);
  Store store(loopback(1));
  Listener cloud(loopback(2), acceptingCloud());
  store.put("config", "main", deskConfiguration());
  Replica replica(record, "i-0", "jobs-desk", loopback(21));
  store.put("servers", replica.id(), replica.entry("mvd-a", "ready"));
  const std::string folder = makeFolder();
  Daemon host(makeHost("edge-mvd-a-1", "mvd-a", loopback(11)), folder,
              store.address(), cloud.address(), {"mvd-a"});
  host.start();
  if (!host.awaitReady(10000)) {
    record.line("the host is not ready");
    host.kill();
    _exit(2);
  }
  sleepMs(4000);
  const std::vector<std::string> encodings = {
      "identity", "gzip", "chunked, identity", "chunked, chunked"};
  const auto head = [](const std::string &target, const std::string &id) {
    return "POST " + target +
           " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id +
           "\r\nDeadline-Ms: 1000\r\nApi-Key: key-of-crew\r\n";
  };
  std::set<std::string> sent;
  for (std::size_t n = 0; n < encodings.size(); ++n) {
    const std::string outer = "000000000000000" + std::to_string(n);
    const std::string inner = "bad000000000000" + std::to_string(n);
    sent.insert(outer);
    const std::string body = head("/book/inside-" + std::to_string(n), inner) +
                             "Content-Length: 0\r\n\r\n";
    const std::string field =
        hasTrouble()
            ? "Transfer-Encoding: " + encodings[n] + "\r\n"
            : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    const auto channel = Channel::open(host.host().Front, 1000);
    if (!channel)
      _exit(2);
    channel->send(head("/book/outside-" + std::to_string(n), outer) + field +
                  "\r\n" + body);
    record.line("sent     " + outer + " with " +
                field.substr(0, field.size() - 2) + ", body of " +
                std::to_string(body.size()) + " bytes that spell request " +
                inner);
    for (;;) {
      const Reply reply = channel->readReply(1500);
      if (reply.Status <= 0)
        break;
      record.line("answered " + reply.header("Attempt-Id") + " " +
                  std::to_string(reply.Status));
    }
  }
  host.kill();
  int foreign = 0;
  for (const std::string &it : replica.runs())
    if (sent.count(it) == 0) {
      ++foreign;
      record.line("UNASKED broken: " + it +
                  " ran, which was inside another request");
    }
  record.line("requests sent " + std::to_string(sent.size()) +
              ", smuggled ones that ran " + std::to_string(foreign));
  _exit(foreign > 0 ? 1 : 0);
}
