#include "test_support/fake_endpoint.h"

#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <sstream>

namespace liftrudder::test_support {
namespace {

constexpr net::Micros kPollTimeoutUs = 50'000;
constexpr net::Micros kWriteTimeoutUs = 1'000'000;

std::string Frame(const std::string& content) {
  std::string out;
  for (int shift = 0; shift < 32; shift += 8) out += static_cast<char>(content.size() >> shift & 0xff);
  return out + content;
}

void Reset(const net::Fd& fd) {
  linger abortive_close{1, 0};
  ::setsockopt(fd.Get(), SOL_SOCKET, SO_LINGER, &abortive_close, sizeof abortive_close);
  net::ShutDown(fd);
}

}  // namespace

FakeEndpoint::FakeEndpoint(Script script)
    : script_(std::move(script)), listener_(net::Listen("127.0.0.1:0")), addr_(net::LocalAddress(listener_)) {
  accept_thread_ = net::Thread([this] { AcceptLoop(); });
  reply_thread_ = net::Thread([this] { ReplyLoop(); });
}

FakeEndpoint::~FakeEndpoint() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
    reply_queued_.notify_all();
    for (const auto& connection : connections_) net::ShutDown(connection->fd);
  }
  accept_thread_.Join();
  reply_thread_.Join();
  for (const auto& connection : connections_) connection->read_thread.Join();
}

std::vector<ReceivedRequest> FakeEndpoint::ReceivedRequests() const {
  std::lock_guard lock(mutex_);
  return received_requests_;
}

void FakeEndpoint::AcceptLoop() {
  while (true) {
    net::Fd fd = net::Accept(listener_, kPollTimeoutUs);
    std::lock_guard lock(mutex_);
    if (stopping_) return;
    if (!fd.Valid()) continue;
    auto connection = std::make_shared<Connection>();
    connection->fd = std::move(fd);
    connections_.push_back(connection);
    connection->read_thread = net::Thread([this, connection] { ReadLoop(connection); });
  }
}

void FakeEndpoint::ReadLoop(const std::shared_ptr<Connection>& connection) {
  std::string in;
  while (!connection->closed) {
    net::IoStatus read_status = net::ReadSome(connection->fd, in, kPollTimeoutUs);
    if (read_status == net::IoStatus::kEnd || read_status == net::IoStatus::kError) return;
    while (in.size() >= 4) {
      std::size_t size = 0;
      for (int i = 3; i >= 0; --i) {
        size = size << 8 | static_cast<unsigned char>(in[static_cast<std::size_t>(i)]);
      }
      if (in.size() < 4 + size) break;
      HandleFrame(connection, std::string_view(in).substr(4, size));
      in.erase(0, 4 + size);
    }
    std::lock_guard lock(mutex_);
    if (stopping_) return;
  }
}

void FakeEndpoint::HandleFrame(const std::shared_ptr<Connection>& connection, std::string_view frame) {
  std::lock_guard lock(mutex_);
  if (frame.empty()) return;
  if (frame[0] == 'c') {
    std::string shard_request(frame.substr(1));
    auto last =
        std::find_if(received_requests_.rbegin(), received_requests_.rend(),
                     [&](const ReceivedRequest& request) { return request.shard_request == shard_request; });
    if (last != received_requests_.rend()) last->cancellation_requested = true;
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
    PlannedResponse planned = script_(shard_request, received_requests_.size());
    received_requests_.push_back({shard_request, clock_.Now(), planned.response_kind, false});
    if (planned.response_kind == ResponseKind::kSilent) continue;
    replies_.emplace(clock_.Now() + planned.delay_us,
                     Reply{connection, shard_request, planned.response_kind});
    reply_queued_.notify_one();
  }
}

void FakeEndpoint::ReplyLoop() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    if (replies_.empty()) {
      reply_queued_.wait(lock);
      continue;
    }
    net::Micros remaining_us = replies_.begin()->first - clock_.Now();
    if (remaining_us > 0) {
      reply_queued_.wait_for(lock, std::chrono::microseconds(remaining_us));
      continue;
    }
    Reply reply = std::move(replies_.begin()->second);
    replies_.erase(replies_.begin());
    lock.unlock();
    const char* status = reply.response_kind == ResponseKind::kError    ? "broke"
                         : reply.response_kind == ResponseKind::kReject ? "skipped"
                                                                        : "served";
    switch (reply.response_kind) {
      case ResponseKind::kReset:
        reply.connection->closed = true;
        Reset(reply.connection->fd);
        break;
      case ResponseKind::kMalformed:
        net::WriteAll(reply.connection->fd, Frame("z no such letter"), kWriteTimeoutUs);
        break;
      default:
        net::WriteAll(reply.connection->fd,
                      Frame("a" + reply.shard_request + " " + status + " 1 queue=0,inflight=1\nv-" +
                            reply.shard_request),
                      kWriteTimeoutUs);
    }
    lock.lock();
  }
}

}  // namespace liftrudder::test_support
