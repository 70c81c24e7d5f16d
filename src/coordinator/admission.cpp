// Stage admit: on the client's own thread, before the core is bothered.
#include "coordinator/coordinator.h"

namespace liftrudder::coordinator {
namespace {

constexpr int kMostOpen = 8192;  // our own cap, where the settings state none or a larger one

}  // namespace

std::optional<Id> Coordinator::Admit(QueryRequest request, std::shared_ptr<ClientReply> reply) {
  int size = 1 + static_cast<int>(request.shard_requests.size());
  int most = settings_.max_in_flight > 0 ? std::min(settings_.max_in_flight, kMostOpen) : kMostOpen;
  if (open_.fetch_add(size) + size > most) {
    open_.fetch_sub(size);
    counters_.turned_away.Add();
    // Under the name that its client knows.
    NoteIntake(decision_log::IntakeResult::kTooManyOpen, request.front, request.class_index, 503,
               request.label.empty() ? request.payload->call_id : request.label, open_.load() + size, most);
    return std::nullopt;
  }
  open_queries_.fetch_add(1);
  counters_.taken.Add();
  Id id = next_id_.fetch_add(static_cast<Id>(size));
  Post(QueryArrival{id, std::move(request), std::move(reply)});
  return id;
}

}  // namespace liftrudder::coordinator
