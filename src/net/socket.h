// Sockets, descriptors, the steady clock and threads: RAII over POSIX calls, with a time limit on every call
// that waits. Numeric IPv4 addresses only; no name resolution.
#ifndef LIFTRUDDER_NET_SOCKET_H_
#define LIFTRUDDER_NET_SOCKET_H_

#include <pthread.h>

#include <cstddef>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

#include "coordinator/interfaces.h"

namespace liftrudder::net {

using coordinator::Micros;

// Owns a file descriptor.
class Fd {
 public:
  Fd() = default;
  explicit Fd(int fd) : fd_(fd) {}
  Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Fd& operator=(Fd&& other) noexcept;
  ~Fd();
  int Get() const { return fd_; }
  bool Valid() const { return fd_ >= 0; }

 private:
  int fd_ = -1;
};

// Monotonic time plus its offset to Unix time at construction, so that it can be compared with the wall time
// of other hosts.
class SteadyClock : public coordinator::Clock {
 public:
  SteadyClock();
  Micros Now() const override;

 private:
  Micros offset_us_;
};

enum class IoStatus {
  kOk,
  kEnd,      // the peer has closed the connection
  kTimeout,  // nothing could be transferred in time
  kError,
};

struct WriteResult {
  IoStatus status = IoStatus::kOk;
  std::size_t bytes = 0;
};

// ---- Opening connections. An invalid Fd means failure. Addresses are HOST:PORT. ----

Fd Connect(const std::string& address, Micros wait_us);
// Starts connecting without waiting. Once the socket is writable it is connected or has failed; ConnectError
// tells which. An immediate failure leaves its reason in errno.
Fd BeginConnect(const std::string& address);
// The errno value of the connect; 0 if connected.
int ConnectError(const Fd& fd);
// Whether errno says that the process or the machine has run out of descriptors or memory for them.
bool OutOfDescriptors();

// ---- Listening ----

// The descriptor passed by the parent process is not a listening socket.
class InheritedSocketError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

Fd Listen(const std::string& address);
// Takes ownership of the listening socket whose descriptor number is `text`. Throws InheritedSocketError.
Fd AdoptListeningSocket(const std::string& text);
Fd Accept(const Fd& listener, Micros wait_us);
std::string LocalAddress(const Fd& fd);
// The peer's numeric address without its port; empty if it has disconnected.
std::string PeerHost(int fd);

// ---- Transfer ----

WriteResult WriteAll(const Fd& fd, std::string_view bytes, Micros wait_us);
// Waits for the first byte and appends at most kReadBytes to `out`.
IoStatus ReadSome(const Fd& fd, std::string& out, Micros wait_us);
// The same without waiting; kTimeout if nothing can be transferred now. WriteNow may write only a part.
WriteResult WriteNow(const Fd& fd, std::string_view bytes);
IoStatus ReadNow(const Fd& fd, std::string& out);
// The most that one ReadNow reads; a shorter read means that no more bytes are available.
constexpr std::size_t kReadBytes = 8192;
// Discards up to `max_bytes` received bytes; returns how many, or nullopt at the end of the connection or
// after an error.
std::optional<std::size_t> Discard(const Fd& fd, std::size_t max_bytes);

// Waits until there is a byte or the end of the connection to read; returns false after `wait_us`.
bool Readable(int fd, Micros wait_us);
enum class SocketState { kNothing, kBytes, kEnd };
// What the next read would return, without waiting. An error counts as kEnd.
SocketState Peek(int fd);

// Whether the peer has closed or reset the connection, even if bytes that it sent before are unread.
bool PeerHungUp(int fd);

void ShutDown(const Fd& fd);
void ShutDownWriting(const Fd& fd);
// Bytes that have arrived can still be read, followed by the end of the connection.
void ShutDownReading(int fd);

// ---- Threads with small stacks ----

// Joins on destruction.
class Thread {
 public:
  Thread() = default;
  explicit Thread(std::function<void()> body);
  Thread(Thread&& other) noexcept;
  Thread& operator=(Thread&& other) noexcept;
  ~Thread() { Join(); }
  // False if the system could not start the thread, and after Join.
  bool Started() const { return running_; }
  void Join();

 private:
  pthread_t handle_{};
  bool running_ = false;
};

// Runs `body` on a detached thread; returns false if the system cannot start one.
bool StartDetachedThread(std::function<void()> body);

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_SOCKET_H_
