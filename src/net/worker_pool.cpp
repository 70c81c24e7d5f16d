#include "net/worker_pool.h"

#include <chrono>

#include "net/socket.h"

namespace liftrudder::net {
namespace {

constexpr std::chrono::seconds kMaxThreadIdleTime(2);

}  // namespace

bool WorkerPool::Reserve() {
  bool thread_free = waiting_threads_ > static_cast<int>(ready_.size());
  if (thread_free) return true;
  bool started = StartDetachedThread([this] { Run(); });
  threads_ += started ? 1 : 0;
  return started;
}

void WorkerPool::Submit(SessionRef session) {
  ready_.push_back(session);
  submitted_.notify_one();
}

void WorkerPool::Stop() {
  stopping_ = true;
  submitted_.notify_all();
}

void WorkerPool::Run() {
  std::unique_lock lock(mutex_);
  while (true) {
    if (ready_.empty()) {
      ++waiting_threads_;
      submitted_.wait_for(lock, kMaxThreadIdleTime, [this] { return !ready_.empty() || stopping_; });
      --waiting_threads_;
    }
    if (ready_.empty()) break;
    auto session = ready_.front();
    ready_.pop_front();
    lock.unlock();
    answer_(session);
    lock.lock();
  }
  --threads_;
  thread_ended_.notify_all();
}

}  // namespace liftrudder::net
