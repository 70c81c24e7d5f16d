// Stages route and send: an attempt the module decided on is entered in the book and given to the transport.
#include "coordinator/coordinator.h"

namespace liftrudder::coordinator {

void Coordinator::Act(const routing::Send& send) {
  InFlightShardRequest* shard_request = in_flight_.ShardRequest(send.shard_request);
  if (shard_request == nullptr) return;
  InFlightAttempt attempt{send.endpoint, now_, now_ + send.timeout_us, true};
  AttemptRequest order;
  order.endpoint = send.endpoint;
  order.shard = shard_request->request.shard;
  order.class_index = shard_request->class_index;
  order.attempt_deadline_us = attempt.attempt_deadline_us;
  order.payload = shard_request->payload;
  order.key = {send.shard_request, in_flight_.Begin(send.shard_request, *shard_request, attempt)};
  if (recorder_ != nullptr)
    recorder_->Sent(shard_request->query, static_cast<int>(send.shard_request - shard_request->query - 1), order.key.attempt, send);
  counters_.sent.Add();
  if (order.key.attempt > 0) counters_.retried.Add();
  transport_->Start(std::move(order));
}

void Coordinator::Act(const routing::Cancel& cancel) {
  InFlightShardRequest* shard_request = in_flight_.ShardRequest(cancel.shard_request);
  auto index = static_cast<std::size_t>(cancel.attempt);
  if (shard_request == nullptr || index >= shard_request->attempts.size() || !shard_request->attempts[index].out) return;
  if (recorder_ != nullptr)
    recorder_->Cancelled(shard_request->query, static_cast<int>(cancel.shard_request - shard_request->query - 1), cancel);
  // Guards against a second copy where none is allowed: what the module sends elsewhere when this has ended
  // must wait until its holder is known to be done with it. A query that is over sends nothing more.
  bool moves = cancel.reason == routing::CancelReason::kEndpointOutlier ||
               cancel.reason == routing::CancelReason::kDeadConnection;
  coordinator::AttemptKey key{cancel.shard_request, cancel.attempt};
  if (moves && !settings_.hedging_allowed) return transport_->RequestCancellation(key);
  transport_->CancelAttempt(key, shard_request->attempts[index].endpoint, Cause::kCancelled);
}

void Coordinator::Act(const routing::Close& close) {
  if (recorder_ != nullptr) recorder_->Closed(close);
  transport_->CloseIdle(close.endpoint);
}

}  // namespace liftrudder::coordinator
