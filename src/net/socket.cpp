#include "net/socket.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <ctime>
#include <memory>
#include <optional>
#include <stdexcept>

namespace liftrudder::net {
namespace {

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr std::size_t kThreadStackBytes = 1024 * 1024;
#else
constexpr std::size_t kThreadStackBytes = 128 * 1024;
#endif

constexpr Micros kMicrosPerSecond = 1'000'000;
constexpr Micros kNanosPerMicro = 1'000;

using PollEvents = decltype(pollfd::events);

Micros ReadClock(clockid_t id) {
  timespec now{};
  clock_gettime(id, &now);
  return Micros{now.tv_sec} * kMicrosPerSecond + now.tv_nsec / kNanosPerMicro;
}

std::optional<sockaddr_in> ParseAddress(const std::string& address) {
  auto colon = address.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  sockaddr_in out{};
  out.sin_family = AF_INET;
  std::uint16_t port = 0;
  auto [end, error] = std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
  if (error != std::errc() || end != address.data() + address.size()) return std::nullopt;
  out.sin_port = htons(port);
  if (inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr) != 1) return std::nullopt;
  return out;
}

// Waits for `events` on `fd` until the monotonic time `until_us`; returns the events that occurred, or 0.
PollEvents PollUntil(int fd, PollEvents events, Micros until_us) {
  while (true) {
    Micros left_us = std::max<Micros>(0, until_us - ReadClock(CLOCK_MONOTONIC));
    pollfd polled{fd, events, 0};
    timespec timeout{left_us / kMicrosPerSecond, (left_us % kMicrosPerSecond) * kNanosPerMicro};
    int count = ppoll(&polled, 1, &timeout, nullptr);
    if (count > 0) return polled.revents;
    if (count == 0) return 0;
    if (errno != EINTR) return POLLERR;
  }
}

Micros DeadlineAfter(Micros wait_us) { return ReadClock(CLOCK_MONOTONIC) + std::max<Micros>(0, wait_us); }

void* RunBody(void* raw) {
  std::unique_ptr<std::function<void()>> body(static_cast<std::function<void()>*>(raw));
  (*body)();
  return nullptr;
}

bool StartThread(pthread_t& handle, std::function<void()> body, bool joinable) {
  pthread_attr_t attributes;
  pthread_attr_init(&attributes);
  pthread_attr_setstacksize(&attributes, kThreadStackBytes);
  if (!joinable) pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
  auto owned = std::make_unique<std::function<void()>>(std::move(body));
  bool started = pthread_create(&handle, &attributes, RunBody, owned.get()) == 0;
  pthread_attr_destroy(&attributes);
  if (started) static_cast<void>(owned.release());  // the thread owns it
  return started;
}

}  // namespace

Fd& Fd::operator=(Fd&& other) noexcept {
  if (this != &other) {
    if (fd_ >= 0) ::close(fd_);
    fd_ = std::exchange(other.fd_, -1);
  }
  return *this;
}

Fd::~Fd() {
  if (fd_ >= 0) ::close(fd_);
}

SteadyClock::SteadyClock() : offset_us_(ReadClock(CLOCK_REALTIME) - ReadClock(CLOCK_MONOTONIC)) {}
Micros SteadyClock::Now() const { return ReadClock(CLOCK_MONOTONIC) + offset_us_; }

Fd BeginConnect(const std::string& address) {
  auto to = ParseAddress(address);
  errno = EINVAL;
  if (!to) return Fd();
  Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  if (!fd.Valid()) return fd;
  if (::connect(fd.Get(), reinterpret_cast<sockaddr*>(&*to), sizeof *to) != 0 && errno != EINPROGRESS) {
    int error = errno;
    fd = Fd();
    errno = error;
    return fd;
  }
  int on = 1;
  setsockopt(fd.Get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

int ConnectError(const Fd& fd) {
  int error = 0;
  socklen_t size = sizeof error;
  return getsockopt(fd.Get(), SOL_SOCKET, SO_ERROR, &error, &size) != 0 ? errno : error;
}

bool OutOfDescriptors() { return errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM; }

Fd Connect(const std::string& address, Micros wait_us) {
  Micros until_us = DeadlineAfter(wait_us);
  Fd fd = BeginConnect(address);
  bool connected = fd.Valid() && PollUntil(fd.Get(), POLLOUT, until_us) != 0 && ConnectError(fd) == 0;
  if (!connected) return Fd();
  int flags = fcntl(fd.Get(), F_GETFL);
  fcntl(fd.Get(), F_SETFL, flags & ~O_NONBLOCK);
  return fd;
}

Fd Listen(const std::string& address) {
  auto at = ParseAddress(address);
  if (!at) return Fd();
  Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  int on = 1;
  setsockopt(fd.Get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (::bind(fd.Get(), reinterpret_cast<sockaddr*>(&*at), sizeof *at) != 0 ||
      ::listen(fd.Get(), SOMAXCONN) != 0) {
    return Fd();
  }
  return fd;
}

Fd AdoptListeningSocket(const std::string& text) {
  int number = -1;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size() || number < 0) {
    throw InheritedSocketError(fmt::format("passed socket: '{}' is not a descriptor number", text));
  }
  int listening = 0;
  socklen_t size = sizeof listening;
  if (::getsockopt(number, SOL_SOCKET, SO_ACCEPTCONN, &listening, &size) != 0) {
    throw InheritedSocketError(fmt::format("passed socket: descriptor {}: {}", number, std::strerror(errno)));
  }
  if (listening == 0) {
    throw InheritedSocketError(fmt::format("passed socket: descriptor {} is not a listening socket", number));
  }
  Fd fd(number);
  // Non-blocking, because another process may share the listener and accept the connection that woke both.
  ::fcntl(number, F_SETFL, ::fcntl(number, F_GETFL) | O_NONBLOCK);
  ::fcntl(number, F_SETFD, FD_CLOEXEC);
  return fd;
}

std::string LocalAddress(const Fd& fd) {
  sockaddr_in at{};
  socklen_t size = sizeof at;
  if (getsockname(fd.Get(), reinterpret_cast<sockaddr*>(&at), &size) != 0) return {};
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &at.sin_addr, text, sizeof text);
  return std::string(text) + ":" + std::to_string(ntohs(at.sin_port));
}

std::string PeerHost(int fd) {
  sockaddr_storage at{};
  socklen_t size = sizeof at;
  if (getpeername(fd, reinterpret_cast<sockaddr*>(&at), &size) != 0) return {};
  char text[NI_MAXHOST] = {};
  if (getnameinfo(reinterpret_cast<sockaddr*>(&at), size, text, sizeof text, nullptr, 0, NI_NUMERICHOST) !=
      0) {
    return {};
  }
  return text;
}

Fd Accept(const Fd& listener, Micros wait_us) {
  if (PollUntil(listener.Get(), POLLIN, DeadlineAfter(wait_us)) == 0) return Fd();
  Fd fd(::accept4(listener.Get(), nullptr, nullptr, SOCK_CLOEXEC));
  int on = 1;
  if (fd.Valid()) setsockopt(fd.Get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

WriteResult WriteNow(const Fd& fd, std::string_view bytes) {
  while (true) {
    ssize_t sent = ::send(fd.Get(), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0) return {IoStatus::kOk, static_cast<std::size_t>(sent)};
    if (sent < 0 && errno == EINTR) continue;
    bool would_block = sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return {would_block ? IoStatus::kTimeout : IoStatus::kError, 0};
  }
}

WriteResult WriteAll(const Fd& fd, std::string_view bytes, Micros wait_us) {
  std::size_t written_bytes = 0;
  Micros until_us = DeadlineAfter(wait_us);
  while (written_bytes < bytes.size()) {
    WriteResult step = WriteNow(fd, bytes.substr(written_bytes));
    written_bytes += step.bytes;
    if (step.status == IoStatus::kError) return {IoStatus::kError, written_bytes};
    bool timed_out = step.status == IoStatus::kTimeout && PollUntil(fd.Get(), POLLOUT, until_us) == 0;
    if (timed_out) return {IoStatus::kTimeout, written_bytes};
  }
  return {IoStatus::kOk, written_bytes};
}

IoStatus ReadNow(const Fd& fd, std::string& out) {
  char buffer[kReadBytes];
  while (true) {
    ssize_t got = ::recv(fd.Get(), buffer, sizeof buffer, MSG_DONTWAIT);
    if (got > 0) {
      out.append(buffer, static_cast<std::size_t>(got));
      return IoStatus::kOk;
    }
    if (got == 0) return IoStatus::kEnd;
    if (errno == EAGAIN || errno == EWOULDBLOCK) return IoStatus::kTimeout;
    if (errno != EINTR) return IoStatus::kError;
  }
}

IoStatus ReadSome(const Fd& fd, std::string& out, Micros wait_us) {
  Micros until_us = DeadlineAfter(wait_us);
  while (true) {
    if (PollUntil(fd.Get(), POLLIN, until_us) == 0) return IoStatus::kTimeout;
    IoStatus got = ReadNow(fd, out);
    if (got != IoStatus::kTimeout) return got;
  }
}

bool Readable(int fd, Micros wait_us) { return PollUntil(fd, POLLIN, DeadlineAfter(wait_us)) != 0; }

void ShutDown(const Fd& fd) { ::shutdown(fd.Get(), SHUT_RDWR); }
void ShutDownWriting(const Fd& fd) { ::shutdown(fd.Get(), SHUT_WR); }
void ShutDownReading(int fd) { ::shutdown(fd, SHUT_RD); }

SocketState Peek(int fd) {
  char byte = 0;
  ssize_t got = ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (got > 0) return SocketState::kBytes;
  if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return SocketState::kNothing;
  return SocketState::kEnd;
}

bool PeerHungUp(int fd) {
  constexpr PollEvents kHungUp = POLLRDHUP | POLLHUP | POLLERR;
  return (PollUntil(fd, POLLRDHUP, 0) & kHungUp) != 0;
}

std::optional<std::size_t> Discard(const Fd& fd, std::size_t max_bytes) {
  std::size_t discarded = 0;
  while (discarded < max_bytes) {
    ssize_t got = ::recv(fd.Get(), nullptr, max_bytes - discarded, MSG_TRUNC | MSG_DONTWAIT);
    if (got > 0) {
      discarded += static_cast<std::size_t>(got);
    } else if (got < 0 && errno == EINTR) {
      continue;
    } else if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      break;
    } else {
      return std::nullopt;
    }
  }
  return discarded;
}

Thread::Thread(std::function<void()> body) : running_(StartThread(handle_, std::move(body), true)) {}
Thread::Thread(Thread&& other) noexcept
    : handle_(other.handle_), running_(std::exchange(other.running_, false)) {}
Thread& Thread::operator=(Thread&& other) noexcept {
  Join();
  handle_ = other.handle_;
  running_ = std::exchange(other.running_, false);
  return *this;
}
void Thread::Join() {
  if (std::exchange(running_, false)) pthread_join(handle_, nullptr);
}

bool StartDetachedThread(std::function<void()> body) {
  pthread_t handle{};
  return StartThread(handle, std::move(body), false);
}

}  // namespace liftrudder::net
