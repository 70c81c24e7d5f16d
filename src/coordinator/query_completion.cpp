// Stage relay: the module's last word on a query goes to its client, at once and once.
#include "coordinator/coordinator.h"

namespace liftrudder::coordinator {

void Core::Act(const routing::Answer& answer) {
  FinalAnswer out;
  out.verdict = Verdict::kAnswered;
  out.full = answer.full;
  out.cut_by_time = answer.why.cause == routing::EndCause::kAim;
  Finish(answer.query, std::move(out), answer.why);
}

void Core::Act(const routing::Refuse& refuse) {
  FinalAnswer out;
  out.verdict = Verdict::kRefused;
  out.retry_after_us = refuse.retry_after_us;
  Finish(refuse.query, std::move(out), refuse.why);
}

void Core::Act(const routing::Fail& fail) { Finish(fail.query, {}, fail.why); }

void Core::Finish(Id id, FinalAnswer answer, const routing::EndWhy& why) {
  const OpenQuery* query = book_.Query(id);
  if (query == nullptr) return;
  std::shared_ptr<ClientReply> reply = query->reply;
  answer.parts = query->parts;
  std::vector<Piece> pieces = book_.Close(id);
  RecordEnd(id, answer, why, static_cast<int>(pieces.size()));
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

void Core::CloseQuery(Id id, int parts) {
  book_.Close(id);
  open_.fetch_sub(1 + parts);
  open_queries_.fetch_sub(1);
}

}  // namespace liftrudder::coordinator
