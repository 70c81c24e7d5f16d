// Stages route and send: an attempt the module decided on is entered in the book and given to the transport.
#include "coordinator/coordinator.h"

namespace liftrudder::coordinator {

void Coordinator::Act(const routing::Send& send) {
  InFlightShardRequest* part = in_flight_.Part(send.part);
  if (part == nullptr) return;
  InFlightAttempt attempt{send.replica, now_, now_ + send.timeout_us, true};
  AttemptRequest order;
  order.endpoint = send.replica;
  order.shard = part->request.shard;
  order.class_index = part->class_index;
  order.attempt_deadline_us = attempt.attempt_deadline_us;
  order.payload = part->payload;
  order.key = {send.part, in_flight_.Begin(send.part, *part, attempt)};
  if (recorder_ != nullptr)
    recorder_->Sent(part->query, static_cast<int>(send.part - part->query - 1), order.key.attempt, send);
  counters_.sent.Add();
  if (order.key.attempt > 0) counters_.resent.Add();
  transport_->Start(std::move(order));
}

void Coordinator::Act(const routing::Cancel& cancel) {
  InFlightShardRequest* part = in_flight_.Part(cancel.part);
  auto index = static_cast<std::size_t>(cancel.attempt);
  if (part == nullptr || index >= part->attempts.size() || !part->attempts[index].out) return;
  if (recorder_ != nullptr)
    recorder_->Cancelled(part->query, static_cast<int>(cancel.part - part->query - 1), cancel);
  // Guards against a second copy where none is allowed: what the module sends elsewhere when this has ended
  // must wait until its holder is known to be done with it. A query that is over sends nothing more.
  bool moves = cancel.reason == routing::CancelReason::kEndpointOutlier ||
               cancel.reason == routing::CancelReason::kDeadConnection;
  coordinator::AttemptKey key{cancel.part, cancel.attempt};
  if (moves && !settings_.hedging_allowed) return transport_->CallOff(key);
  transport_->Withdraw(key, part->attempts[index].endpoint, Cause::kWithdrawn);
}

void Coordinator::Act(const routing::Close& close) {
  if (recorder_ != nullptr) recorder_->Closed(close);
  transport_->CloseIdle(close.replica);
}

}  // namespace liftrudder::coordinator
