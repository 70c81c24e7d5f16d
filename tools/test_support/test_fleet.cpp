#include "test_support/test_fleet.h"

#include <sys/epoll.h>

#include <algorithm>
#include <sstream>

namespace liftrudder::test_support {
namespace {

constexpr int kSliceMs = 2;
constexpr int kAtOnce = 256;
constexpr net::Micros kWriteWait = 1'000'000;

}  // namespace

TestFleet::TestFleet(int endpoints, net::Micros delay_us)
    : delay_us_(delay_us),
      shard_requests_(static_cast<std::size_t>(endpoints)),
      newest_us_(static_cast<std::size_t>(endpoints)),
      epoll_(::epoll_create1(EPOLL_CLOEXEC)) {
  for (int i = 0; i < endpoints; ++i) {
    listeners_.push_back(net::Listen("127.0.0.1:0"));
    addrs_.push_back(net::LocalAddress(listeners_.back()));
    epoll_event event{EPOLLIN, {}};
    event.data.u64 = static_cast<std::uint64_t>(i)
                     << 32;  // a listener's; a connection has its descriptor there
    ::epoll_ctl(epoll_.Get(), EPOLL_CTL_ADD, listeners_.back().Get(), &event);
  }
  thread_ = net::Thread([this] { Loop(); });
}

TestFleet::~TestFleet() {
  stopping_ = true;
  thread_.Join();
}

int TestFleet::shard_requests(int endpoint) const {
  std::lock_guard lock(mutex_);
  return shard_requests_[static_cast<std::size_t>(endpoint)];
}

net::Micros TestFleet::newest_us(int endpoint) const {
  std::lock_guard lock(mutex_);
  return newest_us_[static_cast<std::size_t>(endpoint)];
}

void TestFleet::Loop() {
  std::vector<epoll_event> events(kAtOnce);
  while (!stopping_) {
    int got = ::epoll_wait(epoll_.Get(), events.data(), kAtOnce, kSliceMs);
    for (int i = 0; i < got; ++i) {
      auto fd = static_cast<int>(events[static_cast<std::size_t>(i)].data.u64 & 0xffffffff);
      if (fd > 0) {
        auto line = lines_.find(fd);
        if (line != lines_.end() && !Read(line->second)) lines_.erase(line);
        continue;
      }
      auto endpoint = static_cast<int>(events[static_cast<std::size_t>(i)].data.u64 >> 32);
      net::Fd taken = net::Accept(listeners_[static_cast<std::size_t>(endpoint)], 0);
      if (!taken.Valid()) continue;
      ++taken_;
      int number = taken.Get();
      epoll_event event{EPOLLIN, {}};
      event.data.u64 = static_cast<std::uint64_t>(number);
      ::epoll_ctl(epoll_.Get(), EPOLL_CTL_ADD, number, &event);
      lines_[number] = {std::move(taken), endpoint, ""};
    }
    net::Micros now = clock_.Now();
    for (; !replies_.empty() && replies_.front().at_us <= now; replies_.pop_front()) {
      auto line = lines_.find(replies_.front().fd);
      if (line != lines_.end()) net::WriteAll(line->second.fd, replies_.front().frame, kWriteWait);
    }
  }
}

bool TestFleet::Read(Line& line) {
  net::Io got = net::ReadNow(line.fd, line.in);
  if (got == net::Io::kEnd || got == net::Io::kError) {
    // The descriptor may be used again: replies that are still due on it are dropped.
    std::erase_if(replies_, [&](const Reply& reply) { return reply.fd == line.fd.Get(); });
    return false;
  }
  net::Micros now = clock_.Now();
  while (line.in.size() >= 4) {
    std::size_t size = 0;
    for (std::size_t i = 4; i-- > 0;) size = size << 8 | static_cast<unsigned char>(line.in[i]);
    if (line.in.size() - 4 < size) break;
    std::istringstream frame(line.in.substr(4, size));
    line.in.erase(0, 4 + size);
    if (frame.get() != 'q') continue;
    std::string shard_request;
    frame >> shard_request;
    std::string answer = "a" + shard_request + " served 1 queue=0,inflight=1\nv";
    std::string text{static_cast<char>(answer.size()), static_cast<char>(answer.size() >> 8), 0, 0};
    replies_.push_back({now + delay_us_, line.fd.Get(), text + answer});
    std::lock_guard lock(mutex_);
    ++shard_requests_[static_cast<std::size_t>(line.endpoint)];
    newest_us_[static_cast<std::size_t>(line.endpoint)] = now;
  }
  return true;
}

}  // namespace liftrudder::test_support
