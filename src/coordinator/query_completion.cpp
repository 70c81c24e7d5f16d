// Stage relay: the module's last word on a query goes to its client, at once and once.
#include "coordinator/coordinator.h"

namespace liftrudder::coordinator {

void Coordinator::Act(const routing::Answer& answer) {
  FinalAnswer out;
  out.verdict = Verdict::kAnswered;
  out.full = answer.full;
  out.cut_by_time = answer.reason.cause == routing::CompletionCause::kLatencyObjective;
  Finish(answer.query, std::move(out), answer.reason);
}

void Coordinator::Act(const routing::Refuse& refuse) {
  FinalAnswer out;
  out.verdict = Verdict::kRefused;
  out.retry_after_us = refuse.retry_after_us;
  Finish(refuse.query, std::move(out), refuse.reason);
}

void Coordinator::Act(const routing::Fail& fail) { Finish(fail.query, {}, fail.reason); }

void Coordinator::Finish(Id id, FinalAnswer answer, const routing::CompletionReason& reason) {
  const InFlightQuery* query = in_flight_.Query(id);
  if (query == nullptr) return;
  std::shared_ptr<ClientReply> reply = query->reply;
  answer.parts = query->parts;
  std::vector<Piece> pieces = in_flight_.Close(id);
  RecordEnd(id, answer, reason, static_cast<int>(pieces.size()));
  if (answer.verdict == Verdict::kAnswered) answer.pieces = std::move(pieces);
  open_.fetch_sub(1 + answer.parts);
  open_queries_.fetch_sub(1);
  switch (answer.verdict) {
    case Verdict::kAnswered:
      (answer.full ? counters_.whole : counters_.partial).Add();
      break;
    case Verdict::kRefused:
      counters_.refused.Add();
      break;
    case Verdict::kFailed:
      counters_.failed.Add();
      break;
  }
  reply->Deliver(std::move(answer));
}

void Coordinator::CloseQuery(Id id, int parts) {
  in_flight_.Close(id);
  open_.fetch_sub(1 + parts);
  open_queries_.fetch_sub(1);
}

}  // namespace liftrudder::coordinator
