#include "net/endpoint_poller.h"

#include <sys/epoll.h>

#include <algorithm>
#include <cstdint>

namespace liftrudder::net {
namespace {

constexpr int kMaxEventsPerTurn = 64;
constexpr ConnectionId kWakerId = kNoConnection;

}  // namespace

EndpointPoller::EndpointPoller() : epoll_(::epoll_create1(EPOLL_CLOEXEC)) {
  Control(EPOLL_CTL_ADD, kWakerId, waker_.fd(), EPOLLIN);
}

void EndpointPoller::Control(int operation, ConnectionId id, const Fd& fd, std::uint32_t interest) const {
  epoll_event event{interest, {}};
  event.data.u64 = id;
  ::epoll_ctl(epoll_.Get(), operation, fd.Get(), &event);
}

void EndpointPoller::Watch(ConnectionId id, const Fd& fd) {
  Control(EPOLL_CTL_ADD, id, fd, EPOLLIN | EPOLLOUT);
}

void EndpointPoller::SetWriteInterest(ConnectionId id, const Fd& fd, bool write_interest) {
  Control(EPOLL_CTL_MOD, id, fd, EPOLLIN | (write_interest ? EPOLLOUT : 0U));
}

const std::vector<EndpointPoller::Event>& EndpointPoller::Wait() {
  epoll_event ready[kMaxEventsPerTurn];
  auto wait_ms = static_cast<int>((wait_us_ + 999) / 1000);
  int count = ::epoll_wait(epoll_.Get(), ready, kMaxEventsPerTurn, wait_ms);
  events_.clear();
  woken_ = false;
  for (int i = 0; i < count; ++i) {
    if (ready[i].data.u64 == kWakerId) {
      woken_ = true;
    } else {
      events_.push_back({ready[i].data.u64, (ready[i].events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) != 0});
    }
  }
  return events_;
}

void EndpointPoller::BeginTurn() {
  asleep_until_us_ = 0;
  if (woken_) waker_.Drain();
}

void EndpointPoller::SweepNoLaterThan(Micros at_us) {
  next_sweep_us_ = std::min(next_sweep_us_, at_us);
  if (asleep_until_us_ > next_sweep_us_) Wake();
}

void EndpointPoller::EndTurn(Micros now_us) {
  wait_us_ = std::clamp<Micros>(next_sweep_us_ - now_us, 1, kSweepIntervalUs);
  asleep_until_us_ = now_us + wait_us_;
}

}  // namespace liftrudder::net
