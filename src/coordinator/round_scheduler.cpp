#include "coordinator/round_scheduler.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace liftrudder::coordinator {
namespace {

// The upper limit of each sleep, independent of the clock.
constexpr Micros kMaxSleepUs = 1'000'000;
// While events from fronts are queued, a round is due this long after the start of the last round. The queue
// is checked only when a sleep begins or ends, so a sleep that has already begun may delay the round by up to
// kMaxSleepUs.
constexpr Micros kFrontEventWaitUs = 100'000;
constexpr auto kMaxRefreshWait = std::chrono::milliseconds(200);

// An input is urgent if a client or an endpoint waits for its effect, or if handling it early saves endpoints
// work. Attempt results are not urgent: one round can handle many of them.
bool IsUrgent(const Input& input) { return !std::holds_alternative<AttemptResult>(input); }

}  // namespace

RoundScheduler::RoundScheduler(const routing::Settings& settings, const Clock& clock)
    : clock_(clock), pacer_(settings) {}

void RoundScheduler::Post(Input input) {
  std::lock_guard lock(mutex_);
  urgent_ = urgent_ || IsUrgent(input);
  queue_.push_back(std::move(input));
  Micros next_round_us = NextRound(sleeping_until_us_);
  if (next_round_us >= sleeping_until_us_) return;
  sleeping_until_us_ = next_round_us;
  wake_.notify_one();
}

void RoundScheduler::Stop() {
  std::lock_guard lock(mutex_);
  stopping_ = true;
  wake_.notify_one();
}

bool RoundScheduler::Stopping() const {
  std::lock_guard lock(mutex_);
  return stopping_;
}

void RoundScheduler::RefreshAndWait() {
  std::unique_lock lock(mutex_);
  std::uint64_t number = ++refreshes_requested_;
  wake_.notify_one();
  refreshed_.wait_for(lock, kMaxRefreshWait, [&] { return refreshes_done_ >= number || stopping_; });
}

Micros RoundScheduler::NextRound(Micros due_us) const {
  if (urgent_ || refreshes_requested_ > refreshes_done_) return pacer_.NextUrgentRound();
  return queue_.empty() ? std::max(due_us, pacer_.NextRegularRound()) : pacer_.NextRegularRound();
}

RoundScheduler::Batch RoundScheduler::WaitForBatch(Micros next_timer_us,
                                                   const std::function<bool()>& front_events_queued) {
  std::unique_lock lock(mutex_);
  while (true) {
    Micros now_us = clock_.Now();
    Micros due_us = next_timer_us;
    if (front_events_queued()) due_us = std::min(due_us, pacer_.LastRoundStarted() + kFrontEventWaitUs);
    Micros next_round_us = NextRound(due_us);
    if (now_us >= next_round_us || stopping_) break;
    sleeping_until_us_ = std::min(next_round_us, now_us + kMaxSleepUs);
    wake_.wait_for(lock, std::chrono::microseconds(sleeping_until_us_ - now_us));
  }
  sleeping_until_us_ = 0;
  urgent_ = false;
  pacer_.OnRoundStarted(clock_.Now());
  Batch batch;
  batch.inputs.assign(std::make_move_iterator(queue_.begin()), std::make_move_iterator(queue_.end()));
  queue_.clear();
  batch.refresh_number = refreshes_requested_;
  return batch;
}

void RoundScheduler::FinishRound(std::uint64_t refresh_number) {
  std::lock_guard lock(mutex_);
  pacer_.OnRoundFinished(clock_.Now());
  if (refreshes_done_ >= refresh_number) return;
  refreshes_done_ = refresh_number;
  refreshed_.notify_all();
}

}  // namespace liftrudder::coordinator
