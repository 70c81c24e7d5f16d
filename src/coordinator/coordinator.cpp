#include "coordinator/coordinator.h"

#include <algorithm>

namespace liftrudder::coordinator {

Coordinator::Coordinator(const routing::Settings& settings, std::uint64_t seed, const Clock& clock,
                         const EndpointResolver& endpoint_resolver, metrics::Counters& counters)
    : settings_(settings),
      clock_(clock),
      endpoint_resolver_(endpoint_resolver),
      counters_(counters),
      scheduler_(settings, clock),
      recording_(clock, scheduler_),
      router_(settings, seed) {}

void Coordinator::Run() {
  auto front_events_queued = [this] { return recording_.FrontEventsQueued(); };
  while (true) {
    RoundScheduler::Batch batch = scheduler_.WaitForBatch(NextTimer(), front_events_queued);
    if (scheduler_.Stopping()) break;
    RunRound(batch.inputs);
    FinishRound(batch.refresh_number);
  }
  FinishRound(0);  // records the last events from the fronts
}

void Coordinator::BeginShutdown(Micros answer_by_us) {
  answer_by_us_ = answer_by_us;
  Post(Shutdown{answer_by_us});
}

Micros Coordinator::NextTimer() const {
  Micros due_us = in_flight_.NextExpiry();
  return timers_.empty() ? due_us : std::min(due_us, timers_.begin()->due_us);
}

void Coordinator::RunRound(std::vector<Input>& inputs) {
  now_us_ = clock_.Now();
  recording_.StartRound(now_us_);
  events_.clear();
  for (Input& input : inputs) std::visit([this](auto& alternative) { HandleInput(alternative); }, input);
  FireTimers();
  ExpireAttempts();
  if (events_.empty()) return;
  actions_.clear();
  pending_.clear();
  router_.Handle(now_us_, events_, actions_, recording_.Enabled() ? &pending_ : nullptr);
  counters_.rounds.Add();
  avoided_endpoints_ = router_.AvoidedEndpoints();
  recording_.RecordPending(pending_, in_flight_);
  for (const routing::Action& action : actions_) {
    std::visit([this](const auto& alternative) { Execute(alternative); }, action);
  }
  transport_->EndRound();
}

void Coordinator::FireTimers() {
  while (!timers_.empty() && timers_.begin()->due_us <= now_us_) {
    events_.emplace_back(routing::TimerFired{timers_.begin()->label});
    timers_.erase(timers_.begin());
  }
}

// Also ends repeats that have waited past the end of their deduplication window. The results arrive as inputs
// of a later round.
void Coordinator::ExpireAttempts() {
  for (const ExpiredAttempt& expired : in_flight_.TakeExpired(now_us_)) {
    transport_->CancelAttempt(expired.key, expired.endpoint, Cause::kExpired);
  }
  for (const AttemptKey& key : in_flight_.TakePastLatestSend(now_us_)) transport_->EndIfUnsent(key);
}

void Coordinator::FinishRound(std::uint64_t refresh_number) {
  recording_.FinishRound();
  scheduler_.FinishRound(refresh_number);
}

void Coordinator::RecordIntake(decision_log::IntakeResult intake, decision_log::FrontKind front,
                               int class_index, int status, std::string_view call_id, double observed,
                               double threshold) {
  recording_.RecordIntake(intake, front, class_index, status, call_id, observed, threshold);
}

void Coordinator::RecordResponse(const std::vector<AnsweredQuery>& answered_queries, int status,
                                 std::size_t bytes, bool fully_written) {
  recording_.RecordResponse(answered_queries, status, bytes, fully_written);
}

}  // namespace liftrudder::coordinator
