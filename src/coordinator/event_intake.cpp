// Stage intake: what came in becomes the module's events, and the book is opened or closed.
#include "coordinator/coordinator.h"

namespace liftrudder::coordinator {

void Coordinator::Take(QueryArrival& arrival) {
  const QueryRequest& request = arrival.request;
  routing::QueryReceived query;
  query.id = arrival.id;
  query.number = ++number_;
  query.shard_requests = static_cast<int>(request.shard_requests.size());
  query.class_index = request.class_index;
  query.is_retry = request.is_retry;
  query.timeout_remaining_us = std::max<Micros>(0, request.deadline_us - now_);
  for (const ShardRequest& shard_request : request.shard_requests) query.work_us += shard_request.work_us;
  events_.push_back(query);
  for (std::size_t i = 0; i < request.shard_requests.size(); ++i) {
    const ShardRequest& shard_request = request.shard_requests[i];
    events_.push_back(routing::ShardRequestReceived{arrival.id + 1 + static_cast<Id>(i), number_, shard_request.shard,
                                                    shard_request.weight, shard_request.key, shard_request.work_us});
  }
  RecordOpen(arrival);
  in_flight_.Open(arrival.id, request, std::move(arrival.reply));
}

void Coordinator::Take(ClientDisconnect& hangup) {
  const InFlightQuery* query = in_flight_.Query(hangup.id);
  if (query == nullptr) return;
  counters_.gone.Add();
  if (recorder_ != nullptr) {
    auto verdict = hangup.intake == decision_log::IntakeResult::kAnswerTimeout ? decision_log::Verdict::kExpired
                                                                      : decision_log::Verdict::kClientDisconnected;
    recorder_->Completed(hangup.id, {verdict, {}, hangup.intake, 0, 0});
  }
  CloseQuery(hangup.id, query->shard_requests);
  events_.push_back(routing::ClientDisconnected{hangup.id});
}

void Coordinator::Take(AttemptResult& result) {
  AttemptKey key = result.key;
  Progress progress = result.progress;
  Cause cause = result.cause;
  const InFlightShardRequest* shard_request = in_flight_.ShardRequest(key.shard_request);
  Id query = shard_request != nullptr ? shard_request->query : 0;
  auto ended = in_flight_.End(std::move(result), now_);
  if (!ended) return;
  if (recorder_ != nullptr) {
    recorder_->Ended(query, static_cast<int>(key.shard_request - query - 1), key.attempt, ended->endpoint.address,
                     ended->code, progress, cause);
  }
  counters_.outcomes[static_cast<std::size_t>(ended->code)].Add();
  events_.push_back(std::move(*ended));
}

void Coordinator::Take(routing::EndpointListUpdate& update) {
  counters_.lists.Add();
  for (const routing::Endpoint& endpoint : update.endpoints) {
    if (recorder_ == nullptr) break;
    EndpointAddress address = endpoint_registry_.Find(endpoint.id);
    recorder_->NameEndpoint(endpoint.id.address, address.id, address.addr);
  }
  events_.push_back(std::move(update));
  transport_->ReleaseRemovedEndpoints();
  if (on_endpoint_list_change_) on_endpoint_list_change_();
}

}  // namespace liftrudder::coordinator
