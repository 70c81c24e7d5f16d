// What the stages tell the record of decisions. Nothing here is read by a decision.
#include "coordinator/coordinator.h"

namespace liftrudder::coordinator {

void Coordinator::Note(const decision_log::FrontEvent& note) {
  if (recorder_->Post(note)) wake_.notify_one();
}

void Coordinator::NoteIntake(decision_log::IntakeResult intake, decision_log::FrontKind front,
                             int class_index, int status, std::string_view call_id, double observed,
                             double threshold) {
  if (recorder_ == nullptr) return;
  decision_log::FrontEvent note;
  note.intake = intake;
  note.front = front;
  note.class_index = static_cast<std::uint8_t>(class_index);
  note.status = static_cast<std::uint16_t>(status);
  note.at_us = clock_.Now();
  note.observed = static_cast<float>(observed);
  note.threshold = static_cast<float>(threshold);
  note.SetId(call_id);
  Note(note);
}

void Coordinator::NoteResponse(const std::vector<AnsweredQuery>& answered_queries, int status, std::size_t bytes, bool whole) {
  if (recorder_ == nullptr) return;
  decision_log::FrontEvent note;
  note.bytes = static_cast<std::uint32_t>(bytes);
  note.whole = whole;
  note.at_us = clock_.Now();
  for (const AnsweredQuery& one : answered_queries) {
    note.query = one.query;
    note.status = static_cast<std::uint16_t>(one.status > 0 ? one.status : status);
    Note(note);
  }
}

void Coordinator::RecordOpen(const QueryArrival& arrival) {
  if (recorder_ == nullptr) return;
  const QueryRequest& request = arrival.request;
  recorded_shard_requests_.clear();
  for (const ShardRequest& shard_request : request.shard_requests)
    recorded_shard_requests_.push_back({shard_request.shard, shard_request.weight, shard_request.work_us});
  decision_log::RecordedQuery query;
  query.query = arrival.id;
  query.arrived_us = request.received_us > 0 ? request.received_us : now_;
  query.deadline_us = request.deadline_us;
  query.class_index = request.class_index;
  query.front = request.front;
  query.is_retry = request.is_retry;
  query.call_id = request.payload->call_id;
  query.label = request.label;
  recorder_->Opened(query, recorded_shard_requests_);
}

// Before the round's actions: the book forgets the parts of a query that these end.
void Coordinator::RecordPending() {
  for (const routing::PendingShardRequest& pending : pending_) {
    const InFlightShardRequest* shard_request = in_flight_.ShardRequest(pending.shard_request);
    if (shard_request != nullptr) recorder_->Pending(shard_request->query, static_cast<int>(pending.shard_request - shard_request->query - 1), pending);
  }
}

void Coordinator::RecordEnd(Id query, const FinalAnswer& answer, const routing::CompletionReason& reason,
                            int shard_responses) {
  if (recorder_ == nullptr) return;
  decision_log::Verdict verdict = decision_log::Verdict::kFailed;
  if (answer.verdict == Verdict::kAnswered)
    verdict = answer.complete ? decision_log::Verdict::kComplete : decision_log::Verdict::kPartial;
  if (answer.verdict == Verdict::kRejected) verdict = decision_log::Verdict::kRejected;
  recorder_->Completed(query, {verdict, reason, decision_log::IntakeResult::kNone, answer.retry_after_us, shard_responses});
}

void Coordinator::EndRound(std::uint64_t refresh) {
  if (recorder_ != nullptr) recorder_->Flush();
  std::lock_guard lock(mutex_);
  pace_.Ended(clock_.Now());
  if (refresh_done_ >= refresh) return;
  refresh_done_ = refresh;
  refreshed_.notify_all();
}

}  // namespace liftrudder::coordinator
