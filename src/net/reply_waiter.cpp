#include "net/reply_waiter.h"

#include <chrono>
#include <utility>

namespace liftrudder::net {

void ReplyWaiter::NotifyEvent(bool disconnected) {
  if (disconnected) client_->MarkDisconnected();
  std::lock_guard lock(mutex_);
  event_pending_ = true;
  changed_.notify_one();
}

void WaitingReply::Deliver(coordinator::FinalAnswer answer) {
  std::lock_guard lock(reply_waiter_->mutex_);
  answer_ = std::move(answer);
  reply_waiter_->changed_.notify_one();
}

WaitingReply::WaitResult WaitingReply::Wait(ClientConnection& connection, const coordinator::Clock& clock,
                                            Micros deadline_us) {
  std::unique_lock lock(reply_waiter_->mutex_);
  while (!answer_) {
    Micros left_us = deadline_us - clock.Now();
    if (left_us <= 0) return WaitResult::kDeadline;
    bool event_pending = std::exchange(reply_waiter_->event_pending_, false);
    if (!event_pending) {
      reply_waiter_->changed_.wait_for(lock, std::chrono::microseconds(left_us));
      continue;
    }
    lock.unlock();
    switch (connection.Probe()) {
      case SocketState::kEnd:
        reply_waiter_->client_->MarkDisconnected();
        return WaitResult::kDisconnected;
      case SocketState::kBytes:
        return WaitResult::kPipelined;
      case SocketState::kNothing:
        reply_waiter_->rearm_();
        break;
    }
    lock.lock();
  }
  return WaitResult::kAnswered;
}

}  // namespace liftrudder::net
