// The core's loop: batches, the call of the module, and where its actions go.
#include "coordinator/coordinator.h"

#include <algorithm>
#include <chrono>

namespace liftrudder::coordinator {

namespace {

// What a client or another holder waits for, or what spares holders work; answers are waited for together.
bool Urgent(const Input& input) { return !std::holds_alternative<AttemptResult>(input); }

}  // namespace

Coordinator::Coordinator(const routing::Settings& settings, std::uint64_t seed, const Clock& clock,
                         const EndpointResolver& endpoint_registry, metrics::Counters& counters)
    : settings_(settings),
      aggregator_(settings, seed),
      clock_(clock),
      endpoint_registry_(endpoint_registry),
      counters_(counters),
      pace_(settings) {}

// Wakes the core's thread only for what begins a round sooner than it would wake: it need not wake for each
// of the answers that one round takes.
void Coordinator::Post(Input input) {
  std::lock_guard lock(mutex_);
  urgent_ = urgent_ || Urgent(input);
  queue_.push_back(std::move(input));
  Micros at = RoundAt(sleeps_until_us_);
  if (at >= sleeps_until_us_) return;
  sleeps_until_us_ = at;
  wake_.notify_one();
}

void Coordinator::Stop() {
  std::lock_guard lock(mutex_);
  stopping_ = true;
  wake_.notify_one();
}

void Coordinator::RefreshDecisionLog() {
  constexpr auto kLongest = std::chrono::milliseconds(200);
  std::unique_lock lock(mutex_);
  std::uint64_t mine = ++refresh_asked_;
  wake_.notify_one();
  refreshed_.wait_for(lock, kLongest, [&] { return refresh_done_ >= mine || stopping_; });
}

Micros Coordinator::RoundAt(Micros due_us) const {
  if (urgent_ || refresh_asked_ > refresh_done_) return pace_.Soon();
  return queue_.empty() ? std::max(due_us, pace_.Later()) : pace_.Later();
}

std::vector<Input> Coordinator::NextBatch(std::uint64_t& refresh) {
  std::unique_lock lock(mutex_);
  while (true) {
    Micros now = clock_.Now();
    Micros due = in_flight_.NextExpiry();
    if (!timers_.empty()) due = std::min(due, timers_.begin()->first);
    // The fronts' notes wait for the next round, or as long as this where there is none.
    constexpr Micros kNotesWait = 100'000;
    bool notes = recorder_ != nullptr && recorder_->HasPostedEvents();
    if (notes) due = std::min(due, pace_.Last() + kNotesWait);
    Micros at = RoundAt(due);
    if (now >= at || stopping_) break;
    constexpr Micros kLongest = 1'000'000;  // bounds the sleep, whatever the clock does
    sleeps_until_us_ = std::min(at, now + kLongest);
    wake_.wait_for(lock, std::chrono::microseconds(sleeps_until_us_ - now));
  }
  sleeps_until_us_ = 0;
  urgent_ = false;
  pace_.Began(clock_.Now());
  std::vector<Input> batch(std::make_move_iterator(queue_.begin()), std::make_move_iterator(queue_.end()));
  queue_.clear();
  refresh = refresh_asked_;
  return batch;
}

void Coordinator::Run() {
  std::vector<routing::Action> actions;
  while (true) {
    std::uint64_t refresh = 0;
    std::vector<Input> batch = NextBatch(refresh);
    {
      std::lock_guard lock(mutex_);
      if (stopping_) break;
    }
    now_ = clock_.Now();
    if (recorder_ != nullptr) recorder_->SetTime(now_);
    events_.clear();
    for (Input& input : batch) std::visit([this](auto& what) { Take(what); }, input);
    TakeDue();
    if (!events_.empty()) {
      actions.clear();
      pending_.clear();
      aggregator_.Handle(now_, events_, actions, recorder_ != nullptr ? &pending_ : nullptr);
      counters_.rounds.Add();
      avoided_ = aggregator_.Avoided();
      RecordPending();
      for (const routing::Action& action : actions)
        std::visit([this](const auto& what) { Act(what); }, action);
      transport_->EndRound();
    }
    EndRound(refresh);
  }
  EndRound(0);  // the fronts' last notes
}

void Coordinator::TakeDue() {
  while (!timers_.empty() && timers_.begin()->first <= now_) {
    events_.push_back(routing::TimerFired{timers_.begin()->second});
    timers_.erase(timers_.begin());
  }
  for (const auto& [key, endpoint] : in_flight_.Expired(now_))
    transport_->CancelAttempt(key, endpoint, Cause::kExpired);
}

void Coordinator::Act(const routing::SetTimer& timer) { timers_.insert({now_ + timer.span_us, timer.label}); }

}  // namespace liftrudder::coordinator
