#include "LibHttp/BlockingConnection.h"
#include "LibHttp/HttpMessage.h"
#include <cerrno>
#include <cstring>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace sorrelbay {

using namespace beastcommon;

namespace {

ErrorCode lastError() { return {errno, boost::system::system_category()}; }

bool isTemporary(int failure) {
  return failure == EINTR || failure == EAGAIN || failure == EWOULDBLOCK;
}

Tcp::endpoint parseEndpoint(const std::string &address) {
  try {
    return endpointOf(address);
  } catch (const std::exception &) {
    throw HttpNotSent("expected an address as ip:port, got: " + address);
  }
}

/// Waits until the descriptor is ready; false if it is not within the time.
bool isReadyWithin(int descriptor, short events, Duration timeout) {
  pollfd entry{descriptor, events, 0};
  const auto milliseconds = static_cast<int>(toMilliseconds(timeout));
  int ready = ::poll(&entry, 1, milliseconds);
  while (ready < 0 && errno == EINTR)
    ready = ::poll(&entry, 1, milliseconds);
  return ready > 0;
}

/// A connected, non-blocking socket, or -1 with errno set.
int openConnection(const Tcp::endpoint &to, Duration timeout) {
  const int descriptor = ::socket(
      to.protocol().family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0)
    return -1;
  int failure = 0;
  if (::connect(descriptor, to.data(), static_cast<socklen_t>(to.size())) != 0)
    failure = errno;
  if (failure == EINPROGRESS) {
    socklen_t size = sizeof(failure);
    if (!isReadyWithin(descriptor, POLLOUT, timeout))
      failure = ETIMEDOUT;
    else if (::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &failure, &size) !=
             0)
      failure = errno;
  }
  if (failure == 0) {
    const int yes = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
    return descriptor;
  }
  ::close(descriptor);
  errno = failure;
  return -1;
}

} // namespace

BlockingConnection::~BlockingConnection() {
  if (Descriptor >= 0)
    ::close(Descriptor);
}

void BlockingConnection::connect(const std::string &address, Duration timeout) {
  const int descriptor = openConnection(parseEndpoint(address), timeout);
  if (descriptor < 0 || !adopt(descriptor))
    throw HttpNotSent(address + ": " + std::strerror(errno));
}

bool BlockingConnection::adopt(int descriptor) {
  const std::lock_guard<std::mutex> lock(Mutex);
  if (IsCancelled) {
    ::close(descriptor);
    errno = ECANCELED;
    return false;
  }
  Descriptor = descriptor;
  return true;
}

bool BlockingConnection::waitFor(short events, ErrorCode &ec) const {
  if (isReadyWithin(Descriptor, events, Timeout))
    return true;
  ec = asio::error::timed_out;
  return false;
}

std::size_t BlockingConnection::read(char *to, std::size_t size,
                                     ErrorCode &ec) {
  ec = {};
  while (waitFor(POLLIN, ec)) {
    const ssize_t n = ::recv(Descriptor, to, size, 0);
    if (n > 0)
      return static_cast<std::size_t>(n);
    if (n == 0)
      ec = asio::error::eof;
    else if (!isTemporary(errno))
      ec = lastError();
    if (ec)
      return 0;
  }
  return 0;
}

void BlockingConnection::write(std::string_view bytes, ErrorCode &ec) {
  ec = {};
  while (!bytes.empty()) {
    const ssize_t n =
        ::send(Descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n >= 0) {
      bytes.remove_prefix(static_cast<std::size_t>(n));
      continue;
    }
    if (!isTemporary(errno))
      ec = lastError();
    if (ec || !waitFor(POLLOUT, ec))
      return;
  }
}

void BlockingConnection::cancel() {
  const std::lock_guard<std::mutex> lock(Mutex);
  IsCancelled = true;
  if (Descriptor >= 0)
    ::shutdown(Descriptor, SHUT_RDWR);
}

} // namespace sorrelbay
