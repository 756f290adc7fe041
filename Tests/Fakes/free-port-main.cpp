// Prints "ip:port" with a currently free port for each address given. For tests
// in which a process needs the port of another one that starts later.
#include <arpa/inet.h>
#include <iostream>
#include <netinet/in.h>
#include <sys/socket.h>

int main(int argc, char **argv) {
  // All sockets stay open until the process exits, so that no port is returned
  // twice.
  for (int n = 1; n < argc; ++n) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    inet_pton(AF_INET, argv[n], &at.sin_addr);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&at), sizeof(at)) != 0)
      return 1;
    socklen_t length = sizeof(at);
    getsockname(fd, reinterpret_cast<sockaddr *>(&at), &length);
    std::cout << argv[n] << ":" << ntohs(at.sin_port) << "\n";
  }
  return 0;
}
