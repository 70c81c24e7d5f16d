// Stage relay: the module's last word on a query goes to its client, at once and once.
#include "coordinator/coordinator.h"

namespace liftrudder::coordinator {

void Coordinator::Act(const routing::Answer& answer) {
  FinalAnswer out;
  out.verdict = Verdict::kAnswered;
  out.complete = answer.complete;
  out.cut_by_time = answer.reason.cause == routing::CompletionCause::kLatencyObjective;
  Finish(answer.query, std::move(out), answer.reason);
}

void Coordinator::Act(const routing::Reject& refuse) {
  FinalAnswer out;
  out.verdict = Verdict::kRejected;
  out.retry_after_us = refuse.retry_after_us;
  Finish(refuse.query, std::move(out), refuse.reason);
}

void Coordinator::Act(const routing::Fail& fail) { Finish(fail.query, {}, fail.reason); }

void Coordinator::Finish(Id id, FinalAnswer answer, const routing::CompletionReason& reason) {
  const InFlightQuery* query = in_flight_.Query(id);
  if (query == nullptr) return;
  std::shared_ptr<ClientReply> reply = query->reply;
  answer.shard_requests = query->shard_requests;
  std::vector<ShardResponse> shard_responses = in_flight_.Close(id);
  RecordEnd(id, answer, reason, static_cast<int>(shard_responses.size()));
  if (answer.verdict == Verdict::kAnswered) answer.shard_responses = std::move(shard_responses);
  open_.fetch_sub(1 + answer.shard_requests);
  open_queries_.fetch_sub(1);
  switch (answer.verdict) {
    case Verdict::kAnswered:
      (answer.complete ? counters_.whole : counters_.partial).Add();
      break;
    case Verdict::kRejected:
      counters_.refused.Add();
      break;
    case Verdict::kFailed:
      counters_.failed.Add();
      break;
  }
  reply->Deliver(std::move(answer));
}

void Coordinator::CloseQuery(Id id, int shard_requests) {
  in_flight_.Close(id);
  open_.fetch_sub(1 + shard_requests);
  open_queries_.fetch_sub(1);
}

}  // namespace liftrudder::coordinator
