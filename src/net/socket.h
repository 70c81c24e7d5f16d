// Descriptors, deadlines on blocking sockets, and threads with small stacks.
#ifndef LIFTRUDDER_NET_SOCKET_H_
#define LIFTRUDDER_NET_SOCKET_H_

#include <pthread.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "coordinator/interfaces.h"

namespace liftrudder::net {

using coordinator::Micros;

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

// Monotonic, with the wall's origin at the program's start: wall times of others can be set against it.
class SteadyClock : public coordinator::Clock {
 public:
  SteadyClock();
  Micros Now() const override;

 private:
  Micros offset_us_;
};

enum class Io { kOk, kEnd, kTimeout, kError };

struct Written {
  Io status = Io::kOk;
  std::size_t bytes = 0;
};

// `address` is HOST:PORT in numbers. Waits at most so long for the connection.
Fd Connect(const std::string& address, Micros wait_us);
// The same without waiting: it is up, or has failed, when it can be written; `ConnectError` says which.
Fd BeginConnect(const std::string& address);
int ConnectError(const Fd& fd);
// Why a call just failed to give a descriptor: this program or the machine has no more of them.
bool OutOfDescriptors();
Fd Listen(const std::string& address);
// A listener that was opened by who started the program, as the number in `text` says; throws
// std::runtime_error with what is wrong about it.
Fd Inherit(const std::string& text);
std::string LocalAddress(const Fd& fd);
// The other side's address without its port, in numbers; empty when it has gone.
std::string PeerHost(int fd);
Fd Accept(const Fd& listener, Micros wait_us);

Written WriteAll(const Fd& fd, std::string_view bytes, Micros wait_us);
// Appends what is there to `out`; waits at most so long for the first byte.
Io ReadSome(const Fd& fd, std::string& out, Micros wait_us);
// The same two without waiting: kTimeout when nothing can be moved now.
Written WriteNow(const Fd& fd, std::string_view bytes);
// What ReadNow takes at once at most; less than that was all there was.
constexpr std::size_t kReadBytes = 8192;
Io ReadNow(const Fd& fd, std::string& out);
// Whether there is something to read or an end to see; waits at most so long.
bool Readable(int fd, Micros wait_us);
void ShutDown(const Fd& fd);
void ShutDownWriting(const Fd& fd);
// The other side's bytes that are there can still be read; then comes the end.
void ShutDownReading(int fd);
// What there is to see without taking it: nothing yet, a byte, or the end.
enum class SocketState { kNothing, kBytes, kEnd };
SocketState Peek(int fd);
// Throws away what is there, at most so much, without copying it; nothing at the connection's end.
std::optional<std::size_t> Discard(const Fd& fd, std::size_t most);

// A joining thread with a stack of kStackBytes.
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

// The same, left to itself; false when the system grants no more.
bool Detach(std::function<void()> body);

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_SOCKET_H_
