// What the stages tell the record of decisions. Nothing here is read by a decision.
#include "coordinator/coordinator.h"

namespace liftrudder::coordinator {

void Coordinator::Note(const decision_log::Note& note) {
  if (recorder_->Tell(note)) wake_.notify_one();
}

void Coordinator::NoteIntake(decision_log::IntakeResult intake, decision_log::FrontKind front,
                             int class_index, int status, std::string_view call_id, double figure,
                             double bound) {
  if (recorder_ == nullptr) return;
  decision_log::Note note;
  note.intake = intake;
  note.front = front;
  note.class_index = static_cast<std::uint8_t>(class_index);
  note.status = static_cast<std::uint16_t>(status);
  note.at_us = clock_.Now();
  note.figure = static_cast<float>(figure);
  note.bound = static_cast<float>(bound);
  note.SetId(call_id);
  Note(note);
}

void Coordinator::NoteGiven(const std::vector<Served>& served, int status, std::size_t bytes, bool whole) {
  if (recorder_ == nullptr) return;
  decision_log::Note note;
  note.bytes = static_cast<std::uint32_t>(bytes);
  note.whole = whole;
  note.at_us = clock_.Now();
  for (const Served& one : served) {
    note.query = one.query;
    note.status = static_cast<std::uint16_t>(one.status > 0 ? one.status : status);
    Note(note);
  }
}

void Coordinator::RecordOpen(const QueryArrival& arrival) {
  if (recorder_ == nullptr) return;
  const QueryRequest& request = arrival.request;
  opened_parts_.clear();
  for (const ShardRequest& part : request.parts)
    opened_parts_.push_back({part.shard, part.weight, part.work_us});
  decision_log::Opened query;
  query.query = arrival.id;
  query.arrived_us = request.received_us > 0 ? request.received_us : now_;
  query.deadline_us = request.deadline_us;
  query.class_index = request.class_index;
  query.front = request.front;
  query.is_retry = request.is_retry;
  query.call_id = request.payload->call_id;
  query.label = request.label;
  recorder_->Open(query, opened_parts_);
}

// Before the round's actions: the book forgets the parts of a query that these end.
void Coordinator::RecordHeld() {
  for (const routing::PendingShardRequest& held : held_) {
    const InFlightShardRequest* part = in_flight_.Part(held.part);
    if (part != nullptr) recorder_->Held(part->query, static_cast<int>(held.part - part->query - 1), held);
  }
}

void Coordinator::RecordEnd(Id query, const FinalAnswer& answer, const routing::CompletionReason& reason,
                            int pieces) {
  if (recorder_ == nullptr) return;
  decision_log::Verdict verdict = decision_log::Verdict::kFailed;
  if (answer.verdict == Verdict::kAnswered)
    verdict = answer.full ? decision_log::Verdict::kComplete : decision_log::Verdict::kPartial;
  if (answer.verdict == Verdict::kRefused) verdict = decision_log::Verdict::kRefused;
  recorder_->Final(query, verdict, reason, decision_log::IntakeResult::kNone, answer.retry_after_us, pieces);
}

void Coordinator::EndRound(std::uint64_t freshen) {
  if (recorder_ != nullptr) recorder_->Flush();
  std::lock_guard lock(mutex_);
  pace_.Ended(clock_.Now());
  if (freshen_done_ >= freshen) return;
  freshen_done_ = freshen;
  freshened_.notify_all();
}

}  // namespace liftrudder::coordinator
