// Sockets, descriptors, the steady clock and threads: RAII over POSIX calls, with a time limit on every call
// that waits. IPv4 addresses in numbers only; no name look-ups.
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

// Owns a descriptor.
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

// Monotonic time, offset to Unix time as it was when the clock was made, so that it can be compared with the
// wall time of other hosts.
class SteadyClock : public coordinator::Clock {
 public:
  SteadyClock();
  Micros Now() const override;

 private:
  Micros offset_us_;
};

enum class Io {
  kOk,
  kEnd,      // the other side has closed the connection
  kTimeout,  // nothing could be transferred in time
  kError,
};

struct Written {
  Io status = Io::kOk;
  std::size_t bytes = 0;
};

// ---- Opening connections. An invalid Fd means failure. Addresses are HOST:PORT. ----

Fd Connect(const std::string& address, Micros wait_us);
// Begins to connect without waiting. When the socket becomes writable it is connected or has failed, which
// ConnectError tells. A failure leaves its reason in errno.
Fd BeginConnect(const std::string& address);
// An errno value; 0: connected.
int ConnectError(const Fd& fd);
// Whether errno says that the process or the machine has run out of descriptors.
bool OutOfDescriptors();

// ---- Listening ----

// The descriptor that was passed by the process which started this one is not a listening socket.
class InheritedSocketError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

Fd Listen(const std::string& address);
// Takes over the listening socket whose descriptor's number is `text`. Throws InheritedSocketError.
Fd Inherit(const std::string& text);
Fd Accept(const Fd& listener, Micros wait_us);
std::string LocalAddress(const Fd& fd);
// The other side's address in numbers, without its port; empty when it has disconnected.
std::string PeerHost(int fd);

// ---- Transfer ----

Written WriteAll(const Fd& fd, std::string_view bytes, Micros wait_us);
// Appends what has arrived to `out`; waits for the first byte.
Io ReadSome(const Fd& fd, std::string& out, Micros wait_us);
// The same two without waiting; kTimeout when nothing can be transferred now.
Written WriteNow(const Fd& fd, std::string_view bytes);
Io ReadNow(const Fd& fd, std::string& out);
// The most that ReadNow takes; less means that there is no more.
constexpr std::size_t kReadBytes = 8192;
// Discards up to `max_bytes` that have arrived; returns how many, nothing at the end of the connection.
std::optional<std::size_t> Discard(const Fd& fd, std::size_t max_bytes);

// Whether there is a byte or an end to read; waits for it.
bool Readable(int fd, Micros wait_us);
enum class SocketState { kNothing, kBytes, kEnd };
// What the next read would find, without waiting.
SocketState Peek(int fd);

void ShutDown(const Fd& fd);
void ShutDownWriting(const Fd& fd);
// What has arrived can still be read; then comes the end.
void ShutDownReading(int fd);

// ---- Threads with small stacks ----

// Joins when it is destroyed.
class Thread {
 public:
  Thread() = default;
  explicit Thread(std::function<void()> body);
  Thread(Thread&& other) noexcept;
  Thread& operator=(Thread&& other) noexcept;
  ~Thread() { Join(); }
  void Join();

 private:
  pthread_t handle_{};
  bool running_ = false;
};

// Runs `body` on a thread that nobody joins; false when the system grants no thread.
bool Detach(std::function<void()> body);

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_SOCKET_H_
