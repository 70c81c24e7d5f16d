#include "net/lingering_closer.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <chrono>
#include <vector>

namespace liftrudder::net {
namespace {

// A body of 60 MB that was turned down at its head is let in and thrown away, so that its sender gets to the
// answer; what is longer or slower finds the connection closed.
constexpr std::size_t kMostBytes = 80u << 20;
constexpr Micros kMostTime = 2'000'000;
constexpr int kSliceMs = 50;

}  // namespace

LingeringCloser::LingeringCloser(std::size_t most)
    : most_(most), waker_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)), thread_([this] { Loop(); }) {}

LingeringCloser::~LingeringCloser() {
  stopping_ = true;
  std::uint64_t one = 1;
  [[maybe_unused]] ssize_t written = ::write(waker_.Get(), &one, sizeof one);
  thread_.Join();
}

void LingeringCloser::Take(Fd fd) {
  ShutDownWriting(fd);
  std::lock_guard lock(mutex_);
  if (all_.size() >= most_) all_.pop_front();
  all_.push_back({std::move(fd), clock_.Now() + kMostTime, kMostBytes});
  std::uint64_t one = 1;
  [[maybe_unused]] ssize_t written = ::write(waker_.Get(), &one, sizeof one);
}

void LingeringCloser::Resize(std::size_t most) {
  std::lock_guard lock(mutex_);
  most_ = most;
}

bool LingeringCloser::WaitEmpty(Micros wait_us) {
  std::unique_lock lock(mutex_);
  return emptied_.wait_for(lock, std::chrono::microseconds(wait_us), [this] { return all_.empty(); });
}

void LingeringCloser::Loop() {
  while (!stopping_) {
    std::vector<pollfd> fds{{waker_.Get(), POLLIN, 0}};
    {
      std::lock_guard lock(mutex_);
      for (const One& one : all_) fds.push_back({one.fd.Get(), POLLIN, 0});
    }
    ::poll(fds.data(), fds.size(), fds.size() > 1 ? kSliceMs : -1);
    std::uint64_t count = 0;
    if (fds[0].revents != 0) [[maybe_unused]]
      ssize_t got = ::read(waker_.Get(), &count, sizeof count);
    Sweep();
  }
}

void LingeringCloser::Sweep() {
  std::lock_guard lock(mutex_);
  Micros now = clock_.Now();
  std::erase_if(all_, [now](One& one) {
    auto dropped = Discard(one.fd, one.left);
    one.left -= dropped.value_or(0);
    return !dropped || one.left == 0 || now >= one.until_us;
  });
  if (all_.empty()) emptied_.notify_all();
}

}  // namespace liftrudder::net
