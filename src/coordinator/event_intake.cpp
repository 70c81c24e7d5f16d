// Stage intake: what came in becomes the module's events, and the book is opened or closed.
#include "coordinator/coordinator.h"

namespace liftrudder::coordinator {

void Core::Take(Arrival& arrival) {
  const QueryRequest& request = arrival.request;
  routing::QueryArrived query;
  query.id = arrival.id;
  query.number = ++number_;
  query.parts = static_cast<int>(request.parts.size());
  query.class_index = request.class_index;
  query.repeated = request.repeated;
  query.patience_us = std::max<Micros>(0, request.deadline_us - now_);
  for (const PartRequest& part : request.parts) query.work_us += part.work_us;
  events_.push_back(query);
  for (std::size_t i = 0; i < request.parts.size(); ++i) {
    const PartRequest& part = request.parts[i];
    events_.push_back(routing::PartArrived{arrival.id + 1 + static_cast<Id>(i), number_, part.shard,
                                           part.weight, part.key, part.work_us});
  }
  RecordOpen(arrival);
  book_.Open(arrival.id, request, std::move(arrival.reply));
}

void Core::Take(Hangup& hangup) {
  const OpenQuery* query = book_.Query(hangup.id);
  if (query == nullptr) return;
  counters_.gone.Add();
  if (recorder_ != nullptr) {
    auto verdict = hangup.door == decision_log::Door::kLate ? decision_log::Verdict::kLate : decision_log::Verdict::kGone;
    recorder_->Final(hangup.id, verdict, {}, hangup.door, 0, 0);
  }
  CloseQuery(hangup.id, query->parts);
  events_.push_back(routing::ClientGone{hangup.id});
}

void Core::Take(AttemptResult& result) {
  AttemptKey key = result.key;
  Progress progress = result.progress;
  Cause cause = result.cause;
  const OpenPart* part = book_.Part(key.part);
  Id query = part != nullptr ? part->query : 0;
  auto ended = book_.End(std::move(result), now_);
  if (!ended) return;
  if (recorder_ != nullptr) {
    recorder_->Ended(query, static_cast<int>(key.part - query - 1), key.attempt, ended->replica.address,
                     ended->code, progress, cause);
  }
  counters_.outcomes[static_cast<std::size_t>(ended->code)].Add();
  events_.push_back(std::move(*ended));
}

void Core::Take(routing::ListNews& news) {
  counters_.lists.Add();
  for (const routing::Replica& replica : news.replicas) {
    if (recorder_ == nullptr) break;
    HolderAddress holder = directory_.Find(replica.id);
    recorder_->Holder(replica.id.address, holder.id, holder.addr);
  }
  events_.push_back(std::move(news));
  transport_->ForgetGone();
  if (on_list_) on_list_();
}

}  // namespace liftrudder::coordinator
