// Admission. Runs on the front's thread, so that queries over the limit never reach the coordinator thread.
#include <algorithm>

#include "coordinator/coordinator.h"

namespace liftrudder::coordinator {
namespace {

// The maximum number of open queries and shard requests together; Settings::max_in_flight may lower it.
constexpr int kMaxOpenEntries = 8192;
constexpr int kServiceUnavailable = 503;  // HTTP status, for the decision log

}  // namespace

std::optional<Id> Coordinator::Admit(QueryRequest request, std::shared_ptr<ClientReply> reply) {
  int entries = 1 + static_cast<int>(request.shard_requests.size());
  int limit =
      settings_.max_in_flight > 0 ? std::min(settings_.max_in_flight, kMaxOpenEntries) : kMaxOpenEntries;
  if (open_entries_.fetch_add(entries) + entries > limit) {
    open_entries_.fetch_sub(entries);
    counters_.rejected_at_intake.Add();
    // The decision log identifies the query by the client's own name for it, if there is one.
    const std::string& name = request.label.empty() ? request.payload->call_id : request.label;
    RecordIntake(decision_log::IntakeResult::kTooManyOpen, request.front, request.class_index,
                 kServiceUnavailable, name, open_entries_.load() + entries, limit);
    return std::nullopt;
  }
  open_queries_.fetch_add(1);
  counters_.queries_admitted.Add();
  Id id = next_id_.fetch_add(static_cast<Id>(entries));
  Post(QueryArrival{id, std::move(request), std::move(reply)});
  return id;
}

}  // namespace liftrudder::coordinator
