// Stage intake: what came in becomes the module's events, and the book is opened or closed.
#include "coordinator/coordinator.h"

namespace liftrudder::coordinator {

void Coordinator::Take(QueryArrival& arrival) {
  const QueryRequest& request = arrival.request;
  routing::QueryReceived query;
  query.id = arrival.id;
  query.number = ++number_;
  query.parts = static_cast<int>(request.parts.size());
  query.class_index = request.class_index;
  query.is_retry = request.is_retry;
  query.timeout_remaining_us = std::max<Micros>(0, request.deadline_us - now_);
  for (const ShardRequest& part : request.parts) query.work_us += part.work_us;
  events_.push_back(query);
  for (std::size_t i = 0; i < request.parts.size(); ++i) {
    const ShardRequest& part = request.parts[i];
    events_.push_back(routing::ShardRequestReceived{arrival.id + 1 + static_cast<Id>(i), number_, part.shard,
                                                    part.weight, part.key, part.work_us});
  }
  RecordOpen(arrival);
  in_flight_.Open(arrival.id, request, std::move(arrival.reply));
}

void Coordinator::Take(ClientDisconnect& hangup) {
  const InFlightQuery* query = in_flight_.Query(hangup.id);
  if (query == nullptr) return;
  counters_.gone.Add();
  if (recorder_ != nullptr) {
    auto verdict = hangup.intake == decision_log::IntakeResult::kLate ? decision_log::Verdict::kLate
                                                                      : decision_log::Verdict::kGone;
    recorder_->Final(hangup.id, verdict, {}, hangup.intake, 0, 0);
  }
  CloseQuery(hangup.id, query->parts);
  events_.push_back(routing::ClientDisconnected{hangup.id});
}

void Coordinator::Take(AttemptResult& result) {
  AttemptKey key = result.key;
  Progress progress = result.progress;
  Cause cause = result.cause;
  const InFlightShardRequest* part = in_flight_.Part(key.part);
  Id query = part != nullptr ? part->query : 0;
  auto ended = in_flight_.End(std::move(result), now_);
  if (!ended) return;
  if (recorder_ != nullptr) {
    recorder_->Ended(query, static_cast<int>(key.part - query - 1), key.attempt, ended->replica.address,
                     ended->code, progress, cause);
  }
  counters_.outcomes[static_cast<std::size_t>(ended->code)].Add();
  events_.push_back(std::move(*ended));
}

void Coordinator::Take(routing::EndpointListUpdate& news) {
  counters_.lists.Add();
  for (const routing::Endpoint& replica : news.replicas) {
    if (recorder_ == nullptr) break;
    EndpointAddress endpoint = endpoint_registry_.Find(replica.id);
    recorder_->Holder(replica.id.address, endpoint.id, endpoint.addr);
  }
  events_.push_back(std::move(news));
  transport_->ForgetGone();
  if (on_list_) on_list_();
}

}  // namespace liftrudder::coordinator
