#include "test_support/fake_endpoint.h"

#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <sstream>

namespace liftrudder::test_support {
namespace {

constexpr net::Micros kSlice = 50'000;
constexpr net::Micros kWriteWait = 1'000'000;

std::string Frame(const std::string& rest) {
  std::string out;
  for (int shift = 0; shift < 32; shift += 8) out += static_cast<char>(rest.size() >> shift & 0xff);
  return out + rest;
}

void Reset(const net::Fd& fd) {
  linger now{1, 0};
  ::setsockopt(fd.Get(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
  net::ShutDown(fd);
}

}  // namespace

FakeEndpoint::FakeEndpoint(Script script)
    : script_(std::move(script)), listener_(net::Listen("127.0.0.1:0")), addr_(net::LocalAddress(listener_)) {
  acceptor_ = net::Thread([this] { AcceptLoop(); });
  answerer_ = net::Thread([this] { AnswerLoop(); });
}

FakeEndpoint::~FakeEndpoint() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
    due_.notify_all();
    for (const auto& connection : connections_) net::ShutDown(connection->fd);
  }
  acceptor_.Join();
  answerer_.Join();
  for (const auto& connection : connections_) connection->reader.Join();
}

std::vector<LoggedRequest> FakeEndpoint::Log() const {
  std::lock_guard lock(mutex_);
  return log_;
}

void FakeEndpoint::AcceptLoop() {
  while (true) {
    net::Fd fd = net::Accept(listener_, kSlice);
    std::lock_guard lock(mutex_);
    if (stopping_) return;
    if (!fd.Valid()) continue;
    auto connection = std::make_shared<Connection>();
    connection->fd = std::move(fd);
    connections_.push_back(connection);
    connection->reader = net::Thread([this, connection] { ReadLoop(connection); });
  }
}

void FakeEndpoint::ReadLoop(const std::shared_ptr<Connection>& connection) {
  std::string in;
  while (!connection->over) {
    net::Io got = net::ReadSome(connection->fd, in, kSlice);
    if (got == net::Io::kEnd || got == net::Io::kError) return;
    while (in.size() >= 4) {
      std::size_t size = 0;
      for (int i = 3; i >= 0; --i) {
        size = size << 8 | static_cast<unsigned char>(in[static_cast<std::size_t>(i)]);
      }
      if (in.size() < 4 + size) break;
      Take(connection, std::string_view(in).substr(4, size));
      in.erase(0, 4 + size);
    }
    std::lock_guard lock(mutex_);
    if (stopping_) return;
  }
}

void FakeEndpoint::Take(const std::shared_ptr<Connection>& connection, std::string_view frame) {
  std::lock_guard lock(mutex_);
  if (frame.empty()) return;
  if (frame[0] == 'c') {
    std::string shard_request(frame.substr(1));
    auto last = std::find_if(log_.rbegin(), log_.rend(),
                             [&](const LoggedRequest& one) { return one.shard_request == shard_request; });
    if (last != log_.rend()) last->given_up = true;
    return;
  }
  if (frame[0] != 'q') return;
  frame.remove_prefix(1);
  while (!frame.empty()) {
    std::istringstream line{std::string(frame.substr(0, frame.find('\n')))};
    std::string shard_request, shard, list;
    std::size_t length = 0;
    line >> shard_request >> shard >> list >> length;
    frame.remove_prefix(std::min(frame.size(), frame.find('\n') + 1 + length));
    Behaviour how = script_(shard_request, log_.size());
    log_.push_back({shard_request, clock_.Now(), how.act, false});
    if (how.act == Act::kSilent) continue;
    replies_.emplace(clock_.Now() + how.delay_us, Reply{connection, shard_request, how.act});
    due_.notify_one();
  }
}

void FakeEndpoint::AnswerLoop() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    if (replies_.empty()) {
      due_.wait(lock);
      continue;
    }
    net::Micros left = replies_.begin()->first - clock_.Now();
    if (left > 0) {
      due_.wait_for(lock, std::chrono::microseconds(left));
      continue;
    }
    Reply reply = std::move(replies_.begin()->second);
    replies_.erase(replies_.begin());
    lock.unlock();
    const char* end = reply.act == Act::kBreak ? "broke" : reply.act == Act::kSkip ? "skipped" : "served";
    switch (reply.act) {
      case Act::kReset:
        reply.to->over = true;
        Reset(reply.to->fd);
        break;
      case Act::kSpoil:
        net::WriteAll(reply.to->fd, Frame("z no such letter"), kWriteWait);
        break;
      default:
        net::WriteAll(
            reply.to->fd,
            Frame("a" + reply.shard_request + " " + end + " 1 queue=0,inflight=1\nv-" + reply.shard_request),
            kWriteWait);
    }
    lock.lock();
  }
}

}  // namespace liftrudder::test_support
