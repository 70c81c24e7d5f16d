// Query completion: delivers the router's final decision on a query to its client, immediately and only once.
#include "coordinator/coordinator.h"

namespace liftrudder::coordinator {

void Coordinator::Execute(const routing::Answer& answer) {
  FinalAnswer final_answer;
  final_answer.verdict = Verdict::kAnswered;
  final_answer.complete = answer.complete;
  final_answer.latency_objective_reached = answer.reason.cause == routing::CompletionCause::kLatencyObjective;
  Complete(answer.query, std::move(final_answer), answer.reason);
}

void Coordinator::Execute(const routing::Reject& reject) {
  FinalAnswer final_answer;
  final_answer.verdict = Verdict::kRejected;
  final_answer.retry_after_us = reject.retry_after_us;
  Complete(reject.query, std::move(final_answer), reject.reason);
}

void Coordinator::Execute(const routing::Fail& fail) { Complete(fail.query, {}, fail.reason); }

void Coordinator::Complete(Id id, FinalAnswer answer, const routing::CompletionReason& reason) {
  const InFlightQuery* query = in_flight_.FindQuery(id);
  if (query == nullptr) return;
  std::shared_ptr<ClientReply> reply = query->reply;
  answer.shard_requests = query->shard_requests;
  std::vector<ShardResponse> responses = in_flight_.RemoveQuery(id);
  recording_.RecordAnswer(id, answer, reason, static_cast<int>(responses.size()));
  if (answer.verdict == Verdict::kAnswered) answer.shard_responses = std::move(responses);
  ReleaseAdmission(answer.shard_requests);
  CountAnswer(answer);
  reply->Deliver(std::move(answer));
}

void Coordinator::CountAnswer(const FinalAnswer& answer) {
  switch (answer.verdict) {
    case Verdict::kAnswered:
      (answer.complete ? counters_.complete_answers : counters_.partial_answers).Add();
      break;
    case Verdict::kRejected:
      counters_.rejected_answers.Add();
      break;
    case Verdict::kFailed:
      counters_.failed_answers.Add();
      break;
  }
}

void Coordinator::ReleaseAdmission(int shard_requests) {
  open_entries_.fetch_sub(1 + shard_requests);
  open_queries_.fetch_sub(1);
}

}  // namespace liftrudder::coordinator
