#include "net/waker.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cstdint>

namespace liftrudder::net {

Waker::Waker() : fd_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {}

void Waker::Wake() const {
  std::uint64_t one = 1;
  [[maybe_unused]] ssize_t written = ::write(fd_.Get(), &one, sizeof one);
}

void Waker::Drain() const {
  std::uint64_t wakes = 0;
  [[maybe_unused]] ssize_t taken = ::read(fd_.Get(), &wakes, sizeof wakes);
}

}  // namespace liftrudder::net
