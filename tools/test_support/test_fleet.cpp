#include "test_support/test_fleet.h"

#include <sys/epoll.h>

#include <algorithm>
#include <sstream>

namespace liftrudder::test_support {
namespace {

constexpr int kPollTimeoutMs = 2;
constexpr int kMaxEvents = 256;
constexpr net::Micros kWriteTimeoutUs = 1'000'000;

}  // namespace

TestFleet::TestFleet(int endpoints, net::Micros delay_us)
    : delay_us_(delay_us),
      shard_requests_(static_cast<std::size_t>(endpoints)),
      last_request_us_(static_cast<std::size_t>(endpoints)),
      epoll_(::epoll_create1(EPOLL_CLOEXEC)) {
  for (int i = 0; i < endpoints; ++i) {
    listeners_.push_back(net::Listen("127.0.0.1:0"));
    addrs_.push_back(net::LocalAddress(listeners_.back()));
    epoll_event event{EPOLLIN, {}};
    // A listener has its index in the upper 32 bits, a connection its descriptor in the lower ones.
    event.data.u64 = static_cast<std::uint64_t>(i) << 32;
    ::epoll_ctl(epoll_.Get(), EPOLL_CTL_ADD, listeners_.back().Get(), &event);
  }
  server_thread_ = net::Thread([this] { ServeLoop(); });
}

TestFleet::~TestFleet() {
  stopping_ = true;
  server_thread_.Join();
}

int TestFleet::shard_requests(int endpoint) const {
  std::lock_guard lock(mutex_);
  return shard_requests_[static_cast<std::size_t>(endpoint)];
}

net::Micros TestFleet::last_request_us(int endpoint) const {
  std::lock_guard lock(mutex_);
  return last_request_us_[static_cast<std::size_t>(endpoint)];
}

void TestFleet::ServeLoop() {
  std::vector<epoll_event> events(kMaxEvents);
  while (!stopping_) {
    int event_count = ::epoll_wait(epoll_.Get(), events.data(), kMaxEvents, kPollTimeoutMs);
    for (int i = 0; i < event_count; ++i) {
      auto fd = static_cast<int>(events[static_cast<std::size_t>(i)].data.u64 & 0xffffffff);
      if (fd > 0) {
        auto connection = connections_.find(fd);
        if (connection != connections_.end() && !Read(connection->second)) connections_.erase(connection);
        continue;
      }
      auto endpoint = static_cast<int>(events[static_cast<std::size_t>(i)].data.u64 >> 32);
      net::Fd accepted = net::Accept(listeners_[static_cast<std::size_t>(endpoint)], 0);
      if (!accepted.Valid()) continue;
      ++accepted_connections_;
      int descriptor = accepted.Get();
      epoll_event event{EPOLLIN, {}};
      event.data.u64 = static_cast<std::uint64_t>(descriptor);
      ::epoll_ctl(epoll_.Get(), EPOLL_CTL_ADD, descriptor, &event);
      connections_[descriptor] = {std::move(accepted), endpoint, ""};
    }
    net::Micros now_us = clock_.Now();
    for (; !replies_.empty() && replies_.front().at_us <= now_us; replies_.pop_front()) {
      auto it = connections_.find(replies_.front().fd);
      if (it != connections_.end()) net::WriteAll(it->second.fd, replies_.front().frame, kWriteTimeoutUs);
    }
  }
}

bool TestFleet::Read(Connection& connection) {
  net::IoStatus status = net::ReadNow(connection.fd, connection.in);
  if (status == net::IoStatus::kEnd || status == net::IoStatus::kError) {
    // Drops the pending replies of this descriptor: the next connection may get the same number.
    std::erase_if(replies_, [&](const Reply& reply) { return reply.fd == connection.fd.Get(); });
    return false;
  }
  net::Micros now_us = clock_.Now();
  while (connection.in.size() >= 4) {
    std::size_t size = 0;
    for (std::size_t i = 4; i-- > 0;) size = size << 8 | static_cast<unsigned char>(connection.in[i]);
    if (connection.in.size() - 4 < size) break;
    std::istringstream frame(connection.in.substr(4, size));
    connection.in.erase(0, 4 + size);
    if (frame.get() != 'q') continue;
    std::string shard_request;
    frame >> shard_request;
    std::string answer = "a" + shard_request + " served 1 queue=0,inflight=1\nv";
    std::string text{static_cast<char>(answer.size()), static_cast<char>(answer.size() >> 8), 0, 0};
    replies_.push_back({now_us + delay_us_, connection.fd.Get(), text + answer});
    std::lock_guard lock(mutex_);
    ++shard_requests_[static_cast<std::size_t>(connection.endpoint)];
    last_request_us_[static_cast<std::size_t>(connection.endpoint)] = now_us;
  }
  return true;
}

}  // namespace liftrudder::test_support
