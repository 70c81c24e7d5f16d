// Event intake: turns inputs into events for the router and updates the in-flight table.
#include <algorithm>

#include "coordinator/coordinator.h"
#include "log/log.h"

namespace liftrudder::coordinator {
namespace {

constexpr double kUsPerSecond = 1e6;
constexpr int kMaxLoggedLateQueries = 1000;

double Seconds(Micros span_us) { return static_cast<double>(span_us) / kUsPerSecond; }

void LogRepeatTooLate(const InFlightShardRequest& shard_request, int attempt) {
  log::Info("{}.{} was not repeated: attempt {} waited until the deduplication window was over",
            shard_request.payload->call_id, shard_request.request.shard, attempt);
}

}  // namespace

void Coordinator::HandleInput(QueryArrival& arrival) {
  const QueryRequest& request = arrival.request;
  routing::QueryReceived query;
  query.id = arrival.id;
  query.query_number = ++last_query_number_;
  query.shard_requests = static_cast<int>(request.shard_requests.size());
  query.class_index = request.class_index;
  query.is_retry = request.is_retry;
  query.timeout_remaining_us = std::max<Micros>(0, request.deadline_us - now_us_);
  for (const ShardRequest& shard_request : request.shard_requests) query.work_us += shard_request.work_us;
  events_.emplace_back(query);
  Id shard_request_id = arrival.id;
  for (const ShardRequest& shard_request : request.shard_requests) {
    ++shard_request_id;
    events_.emplace_back(routing::ShardRequestReceived{shard_request_id, query.query_number,
                                                       shard_request.shard, shard_request.weight,
                                                       shard_request.key, shard_request.work_us});
  }
  recording_.RecordArrival(arrival, now_us_);
  RecordIfShortened(request);
  in_flight_.AddQuery(arrival.id, request, std::move(arrival.reply));
}

void Coordinator::HandleInput(ClientDisconnect& disconnect) {
  const InFlightQuery* query = in_flight_.FindQuery(disconnect.id);
  if (query == nullptr) return;
  counters_.clients_disconnected.Add();
  recording_.RecordClientDisconnect(disconnect);
  int shard_requests = query->shard_requests;
  in_flight_.RemoveQuery(disconnect.id);
  ReleaseAdmission(shard_requests);
  events_.emplace_back(routing::ClientDisconnected{disconnect.id});
}

void Coordinator::HandleInput(AttemptResult& result) {
  const InFlightShardRequest* shard_request = in_flight_.FindShardRequest(result.key.shard_request);
  if (shard_request == nullptr) return;
  // Copied because FinishAttempt may drop the shard request together with its last attempt.
  Id query = shard_request->query;
  int index = shard_request->index;
  if (result.cause == Cause::kRepeatTooLate) LogRepeatTooLate(*shard_request, result.key.attempt);
  Progress progress = result.progress;
  Cause cause = result.cause;
  auto finished = in_flight_.FinishAttempt(std::move(result), now_us_);
  if (!finished) return;
  recording_.RecordAttemptFinished(query, index, *finished, progress, cause);
  counters_.outcomes[static_cast<std::size_t>(finished->outcome)].Add();
  events_.emplace_back(std::move(*finished));
}

void Coordinator::HandleInput(routing::EndpointListUpdate& update) {
  counters_.endpoint_lists.Add();
  recording_.RecordEndpoints(update, endpoint_resolver_);
  events_.emplace_back(std::move(update));
  transport_->ReleaseRemovedEndpoints();
  if (on_endpoint_list_change_) on_endpoint_list_change_();
}

void Coordinator::HandleInput(Shutdown& shutdown) {
  events_.emplace_back(routing::ShutdownStarted{std::max<Micros>(0, shutdown.answer_by_us - now_us_)});
}

// Counts and logs a query that has less time than its client waits.
void Coordinator::RecordIfShortened(const QueryRequest& request) {
  const Micros answer_by_us = AnswerBy(request.deadline_us);
  if (answer_by_us == request.deadline_us) return;
  counters_.shortened_queries.Add();
  if (++logged_late_queries_ > kMaxLoggedLateQueries) return;
  log::Info("query {} arrived during the shutdown: its client waits {:.3f} s, its answer is due in {:.3f} s",
            request.payload->call_id, Seconds(request.deadline_us - now_us_),
            Seconds(answer_by_us - now_us_));
  if (logged_late_queries_ == kMaxLoggedLateQueries) log::Info("later queries are counted and not logged");
}

}  // namespace liftrudder::coordinator
