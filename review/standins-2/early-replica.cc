// A replica, as a process of its own. It begins to answer before it has read a
// long body, reads on later, and its answer has no length: it ends with its
// channel (PROTOCOL.md, RULES.md). Its channels have small windows, as those of
// DEPLOY.md. It prints "listening ADDRESS", and "runs ID"
// when it has sent the first half of an answer.
#include "standin.hh"

using namespace review;

int main(int argc, char **argv) {
  if (argc < 3)
    return 2;
  const std::string id = argv[1];
  Listener listener(
      argv[2],
      [&](const std::shared_ptr<Stream> &channel) {
        Message request;
        if (!channel->readHead(request, 60000))
          return;
        if (request.target() == "/healthz") {
          channel->write(response(200, "", "Instance-Id: " + id + "\r\n"));
          return;
        }
        const std::string attempt = request.header("Attempt-Id");
        if (request.header("Expect-Instance") != id) {
          channel->write(response(421, "", "Attempt-Id: " + attempt + "\r\n"));
          return;
        }
        const bool isStream = request.target().find("/quote/") == 0;
        std::string first, second;
        for (int n = 1; n <= 20; ++n)
          (n <= 10 ? first : second) +=
              isStream ? "id: " + std::to_string(n) + "\ndata: piece " +
                             std::to_string(n) + " of 20\n\n"
                       : "line " + std::to_string(n) + " of 20\n";
        channel->write("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt +
                       "\r\nServer-Signature: " + id + ".20\r\nContent-Type: " +
                       (isStream ? "text/event-stream" : "text/plain") +
                       "\r\nConnection: close\r\n\r\n" + first);
        std::printf("runs %s\n", attempt.c_str());
        std::fflush(stdout);
        sleepMs(700);
        // Reads the rest of the body and ends the answer.
        if (channel->readBody(request, 10000, false))
          channel->write(second);
        channel->close();
      },
      32768);
  std::printf("listening %s\n", listener.Address.c_str());
  std::fflush(stdout);
  for (;;)
    ::pause();
}
