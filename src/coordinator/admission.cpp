// Admission, on the front's own thread: what is over the limit never reaches the coordinator thread.
#include <algorithm>

#include "coordinator/coordinator.h"

namespace liftrudder::coordinator {
namespace {

// The most queries and shard requests that may be open; the settings may lower it.
constexpr int kMaxOpenEntries = 8192;
constexpr int kServiceUnavailable = 503;  // HTTP status, as the decision log keeps it

}  // namespace

std::optional<Id> Coordinator::Admit(QueryRequest request, std::shared_ptr<ClientReply> reply) {
  int entries = 1 + static_cast<int>(request.shard_requests.size());
  int limit =
      settings_.max_in_flight > 0 ? std::min(settings_.max_in_flight, kMaxOpenEntries) : kMaxOpenEntries;
  if (open_entries_.fetch_add(entries) + entries > limit) {
    open_entries_.fetch_sub(entries);
    counters_.rejected_at_intake.Add();
    // Recorded under the name that the client knows the query by.
    const std::string& name = request.label.empty() ? request.payload->call_id : request.label;
    NoteIntake(decision_log::IntakeResult::kTooManyOpen, request.front, request.class_index,
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
