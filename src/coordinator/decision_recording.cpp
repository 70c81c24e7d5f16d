#include "coordinator/decision_recording.h"

namespace liftrudder::coordinator {
namespace {

decision_log::Verdict RecordedVerdict(const FinalAnswer& answer) {
  switch (answer.verdict) {
    case Verdict::kAnswered:
      return answer.complete ? decision_log::Verdict::kComplete : decision_log::Verdict::kPartial;
    case Verdict::kRejected:
      return decision_log::Verdict::kRejected;
    case Verdict::kFailed:
      return decision_log::Verdict::kFailed;
  }
  return decision_log::Verdict::kFailed;
}

}  // namespace

void DecisionRecording::Enqueue(const decision_log::FrontEvent& event) {
  if (recorder_->Post(event)) scheduler_.Wake();
}

void DecisionRecording::RecordIntake(decision_log::IntakeResult intake, decision_log::FrontKind front,
                                     int class_index, int status, std::string_view call_id, double observed,
                                     double threshold) {
  if (recorder_ == nullptr) return;
  decision_log::FrontEvent event;
  event.intake = intake;
  event.front = front;
  event.class_index = static_cast<std::uint8_t>(class_index);
  event.status = static_cast<std::uint16_t>(status);
  event.at_us = clock_.Now();
  event.observed = static_cast<float>(observed);
  event.threshold = static_cast<float>(threshold);
  event.SetId(call_id);
  Enqueue(event);
}

void DecisionRecording::RecordResponse(const std::vector<AnsweredQuery>& answered_queries, int status,
                                       std::size_t bytes, bool fully_written) {
  if (recorder_ == nullptr) return;
  decision_log::FrontEvent event;
  event.bytes = static_cast<std::uint32_t>(bytes);
  event.fully_written = fully_written;
  event.at_us = clock_.Now();
  for (const AnsweredQuery& answered : answered_queries) {
    event.query = answered.query;
    event.status = static_cast<std::uint16_t>(answered.status > 0 ? answered.status : status);
    Enqueue(event);
  }
}

void DecisionRecording::StartRound(Micros now_us) {
  if (recorder_ != nullptr) recorder_->SetTime(now_us);
}

void DecisionRecording::FinishRound() {
  if (recorder_ != nullptr) recorder_->Flush();
}

void DecisionRecording::RecordArrival(const QueryArrival& arrival, Micros now_us) {
  if (recorder_ == nullptr) return;
  const QueryRequest& request = arrival.request;
  shard_requests_.clear();
  for (const ShardRequest& shard_request : request.shard_requests) {
    shard_requests_.push_back({shard_request.shard, shard_request.weight, shard_request.work_us});
  }
  decision_log::RecordedQuery query;
  query.query = arrival.id;
  query.arrived_us = request.received_us > 0 ? request.received_us : now_us;
  query.deadline_us = request.deadline_us;
  query.class_index = request.class_index;
  query.front = request.front;
  query.is_retry = request.is_retry;
  query.call_id = request.payload->call_id;
  query.label = request.label;
  recorder_->RecordArrival(query, shard_requests_);
}

void DecisionRecording::RecordClientDisconnect(const ClientDisconnect& disconnect) {
  if (recorder_ == nullptr) return;
  bool answer_timed_out = disconnect.reason == decision_log::IntakeResult::kAnswerTimeout;
  decision_log::Verdict verdict =
      answer_timed_out ? decision_log::Verdict::kExpired : decision_log::Verdict::kClientDisconnected;
  recorder_->RecordCompletion(disconnect.id, {verdict, {}, disconnect.reason, 0, 0});
}

void DecisionRecording::RecordEndpoints(const routing::EndpointListUpdate& update,
                                        const EndpointResolver& resolver) {
  if (recorder_ == nullptr) return;
  for (const routing::Endpoint& endpoint : update.endpoints) {
    EndpointAddress address = resolver.Find(endpoint.id);
    recorder_->SetEndpointName(endpoint.id.address, address.id, address.addr);
  }
}

void DecisionRecording::RecordPending(const std::vector<routing::PendingShardRequest>& pending,
                                      InFlightTable& in_flight) {
  for (const routing::PendingShardRequest& entry : pending) {
    const InFlightShardRequest* shard_request = in_flight.FindShardRequest(entry.shard_request);
    if (shard_request != nullptr) recorder_->RecordPending(shard_request->query, shard_request->index, entry);
  }
}

void DecisionRecording::RecordSent(const InFlightShardRequest& shard_request, int attempt,
                                   const routing::Send& send) {
  if (recorder_ != nullptr) recorder_->RecordSend(shard_request.query, shard_request.index, attempt, send);
}

void DecisionRecording::RecordCancelled(const InFlightShardRequest& shard_request,
                                        const routing::Cancel& cancel) {
  if (recorder_ != nullptr) recorder_->RecordCancellation(shard_request.query, shard_request.index, cancel);
}

void DecisionRecording::RecordConnectionsClosed(const routing::Close& close) {
  if (recorder_ != nullptr) recorder_->RecordClose(close);
}

void DecisionRecording::RecordAttemptFinished(Id query, int shard_request_index,
                                              const routing::AttemptFinished& finished, Progress progress,
                                              Cause cause) {
  if (recorder_ == nullptr) return;
  recorder_->RecordAttemptEnd(query, shard_request_index, finished.attempt, finished.endpoint.address,
                              finished.outcome, progress, cause);
}

void DecisionRecording::RecordAnswer(Id query, const FinalAnswer& answer,
                                     const routing::CompletionReason& reason, int shard_responses) {
  if (recorder_ == nullptr) return;
  recorder_->RecordCompletion(query, {RecordedVerdict(answer), reason, decision_log::IntakeResult::kNone,
                                      answer.retry_after_us, shard_responses});
}

}  // namespace liftrudder::coordinator
