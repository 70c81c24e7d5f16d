// Action dispatch: carries out the router's actions with the transport and the timers.
#include "coordinator/coordinator.h"

namespace liftrudder::coordinator {

void Coordinator::Execute(const routing::Send& send) {
  InFlightShardRequest* shard_request = in_flight_.FindShardRequest(send.shard_request);
  if (shard_request == nullptr) return;
  InFlightAttempt attempt;
  attempt.endpoint = send.endpoint;
  attempt.sent_us = now_us_;
  attempt.attempt_deadline_us = now_us_ + send.timeout_us;
  attempt.latest_send_us = now_us_ + send.send_within_us.value_or(send.timeout_us);
  int number = in_flight_.AddAttempt(*shard_request, attempt);

  AttemptRequest request;
  request.key = {send.shard_request, number};
  request.endpoint = send.endpoint;
  request.shard = shard_request->request.shard;
  request.class_index = shard_request->class_index;
  request.attempt_deadline_us = attempt.attempt_deadline_us;
  request.latest_send_us = attempt.latest_send_us;
  request.payload = shard_request->payload;
  recording_.RecordSent(*shard_request, number, send);
  counters_.attempts_sent.Add();
  if (number > 0) counters_.attempts_retried.Add();
  transport_->Start(std::move(request));
}

void Coordinator::Execute(const routing::Cancel& cancel) {
  const InFlightShardRequest* shard_request = in_flight_.FindShardRequest(cancel.shard_request);
  if (shard_request == nullptr) return;
  auto number = static_cast<std::size_t>(cancel.attempt);
  if (number >= shard_request->attempts.size() || !shard_request->attempts[number].in_flight) return;
  recording_.RecordCancelled(*shard_request, cancel);
  // The router retries the shard request on another endpoint once this attempt has ended. If hedging is
  // not allowed, the attempt stays in flight until its endpoint confirms the cancellation or the attempt ends
  // in another way.
  bool will_be_retried = cancel.reason == routing::CancelReason::kEndpointOutlier ||
                         cancel.reason == routing::CancelReason::kDeadConnection;
  AttemptKey key{cancel.shard_request, cancel.attempt};
  if (will_be_retried && !settings_.hedging_allowed) {
    transport_->RequestCancellation(key);
  } else {
    transport_->CancelAttempt(key, shard_request->attempts[number].endpoint, Cause::kCancelled);
  }
}

void Coordinator::Execute(const routing::Close& close) {
  recording_.RecordConnectionsClosed(close);
  transport_->CloseIdle(close.endpoint);
}

void Coordinator::Execute(const routing::SetTimer& timer) {
  timers_.insert({now_us_ + timer.span_us, timer.label});
}

}  // namespace liftrudder::coordinator
