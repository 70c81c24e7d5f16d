// Stage intake: what came in becomes the module's events, and the book is opened or closed.
#include "core/core.h"

namespace liftrudder::core {

void Core::Take(Arrival& arrival) {
  const QueryRequest& request = arrival.request;
  tinsail::QueryArrived query;
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
    events_.push_back(tinsail::PartArrived{arrival.id + 1 + static_cast<Id>(i), number_, part.shard,
                                           part.weight, part.key, part.work_us});
  }
  book_.Open(arrival.id, request, std::move(arrival.reply));
}

void Core::Take(Hangup& hangup) {
  const OpenQuery* query = book_.Query(hangup.id);
  if (query == nullptr) return;
  counters_.gone.Add();
  CloseQuery(hangup.id, query->parts);
  events_.push_back(tinsail::ClientGone{hangup.id});
}

void Core::Take(AttemptResult& result) {
  auto ended = book_.End(std::move(result), now_);
  if (!ended) return;
  counters_.outcomes[static_cast<std::size_t>(ended->code)].Add();
  events_.push_back(std::move(*ended));
}

void Core::Take(tinsail::ListNews& news) {
  counters_.lists.Add();
  events_.push_back(std::move(news));
  transport_->ForgetGone();
}

}  // namespace liftrudder::core
