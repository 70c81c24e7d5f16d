#include "net/lingering_closer.h"

#include <poll.h>

#include <chrono>
#include <optional>
#include <utility>
#include <vector>

namespace liftrudder::net {
namespace {

// Enough for a client that sends a body of about 60 MB before it reads the response that rejected its head.
constexpr std::size_t kMaxDiscardedBytes = 80U << 20;
constexpr Micros kMaxLingerUs = 2'000'000;
constexpr int kPollMs = 50;

}  // namespace

LingeringCloser::LingeringCloser(std::size_t max_connections)
    : max_connections_(max_connections), thread_([this] { Run(); }) {}

LingeringCloser::~LingeringCloser() {
  stopping_ = true;
  waker_.Wake();
  thread_.Join();
}

void LingeringCloser::Take(Fd fd) {
  ShutDownWriting(fd);
  std::lock_guard lock(mutex_);
  if (connections_.size() >= max_connections_) connections_.pop_front();
  connections_.push_back({std::move(fd), clock_.Now() + kMaxLingerUs, kMaxDiscardedBytes});
  waker_.Wake();
}

void LingeringCloser::Resize(std::size_t max_connections) {
  std::lock_guard lock(mutex_);
  max_connections_ = max_connections;
}

bool LingeringCloser::WaitEmpty(Micros wait_us) {
  std::unique_lock lock(mutex_);
  return emptied_.wait_for(lock, std::chrono::microseconds(wait_us), [this] { return connections_.empty(); });
}

void LingeringCloser::Run() {
  while (!stopping_) {
    std::vector<pollfd> polled{{waker_.fd().Get(), POLLIN, 0}};
    {
      std::lock_guard lock(mutex_);
      for (const Connection& connection : connections_) polled.push_back({connection.fd.Get(), POLLIN, 0});
    }
    ::poll(polled.data(), polled.size(), polled.size() > 1 ? kPollMs : -1);
    if (polled[0].revents != 0) waker_.Drain();
    DiscardAll();
  }
}

void LingeringCloser::DiscardAll() {
  std::lock_guard lock(mutex_);
  Micros now_us = clock_.Now();
  std::erase_if(connections_, [now_us](Connection& connection) {
    std::optional<std::size_t> discarded = Discard(connection.fd, connection.remaining_bytes);
    connection.remaining_bytes -= discarded.value_or(0);
    bool ended = !discarded.has_value();
    return ended || connection.remaining_bytes == 0 || now_us >= connection.deadline_us;
  });
  if (connections_.empty()) emptied_.notify_all();
}

}  // namespace liftrudder::net
