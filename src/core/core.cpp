// The core's loop: batches, the call of the module, and where its actions go.
#include "core/core.h"

#include <algorithm>
#include <chrono>

namespace liftrudder::core {

Core::Core(const tinsail::Settings& settings, std::uint64_t seed, const Clock& clock,
           const HolderDirectory& directory, metrics::Counters& counters)
    : settings_(settings),
      aggregator_(settings, seed),
      clock_(clock),
      directory_(directory),
      counters_(counters) {}

void Core::Post(Input input) {
  std::lock_guard lock(mutex_);
  queue_.push_back(std::move(input));
  wake_.notify_one();
}

void Core::Stop() {
  std::lock_guard lock(mutex_);
  stopping_ = true;
  wake_.notify_one();
}

void Core::Freshen() {
  constexpr auto kLongest = std::chrono::milliseconds(200);
  std::unique_lock lock(mutex_);
  std::uint64_t mine = ++freshen_asked_;
  wake_.notify_one();
  freshened_.wait_for(lock, kLongest, [&] { return freshen_done_ >= mine || stopping_; });
}

std::vector<Input> Core::NextBatch(std::uint64_t& freshen) {
  std::unique_lock lock(mutex_);
  while (true) {
    Micros now = clock_.Now();
    Micros due = book_.NextExpiry();
    if (!timers_.empty()) due = std::min(due, timers_.begin()->first);
    Micros earliest = last_round_us_ + settings_.resolution_us;
    // The fronts' notes wait for the next round, or as long as this where there is none.
    constexpr Micros kNotesWait = 100'000;
    bool notes = recorder_ != nullptr && recorder_->MailWaits();
    if (notes) due = std::min(due, last_round_us_ + kNotesWait);
    bool ready = !queue_.empty() || due <= now || stopping_ || freshen_asked_ > freshen_done_;
    if (ready && (now >= earliest || stopping_)) break;
    constexpr Micros kLongest = 1'000'000;  // bounds the sleep, whatever the clock does
    Micros until = ready ? earliest : std::max(due, earliest);
    wake_.wait_for(lock, std::chrono::microseconds(std::clamp<Micros>(until - now, 1, kLongest)));
  }
  std::vector<Input> batch(std::make_move_iterator(queue_.begin()), std::make_move_iterator(queue_.end()));
  queue_.clear();
  freshen = freshen_asked_;
  return batch;
}

void Core::Run() {
  std::vector<tinsail::Action> actions;
  while (true) {
    std::uint64_t freshen = 0;
    std::vector<Input> batch = NextBatch(freshen);
    {
      std::lock_guard lock(mutex_);
      if (stopping_) break;
    }
    now_ = last_round_us_ = clock_.Now();
    if (recorder_ != nullptr) recorder_->Now(now_);
    events_.clear();
    for (Input& input : batch) std::visit([this](auto& what) { Take(what); }, input);
    TakeDue();
    if (!events_.empty()) {
      actions.clear();
      held_.clear();
      aggregator_.Handle(now_, events_, actions, recorder_ != nullptr ? &held_ : nullptr);
      counters_.rounds.Add();
      RecordHeld();
      for (const tinsail::Action& action : actions)
        std::visit([this](const auto& what) { Act(what); }, action);
    }
    EndRound(freshen);
  }
  EndRound(0);  // the fronts' last notes
}

void Core::TakeDue() {
  while (!timers_.empty() && timers_.begin()->first <= now_) {
    events_.push_back(tinsail::TimerFired{timers_.begin()->second});
    timers_.erase(timers_.begin());
  }
  for (const auto& [key, holder] : book_.Expired(now_)) transport_->Withdraw(key, holder, Cause::kExpired);
}

void Core::Act(const tinsail::SetTimer& timer) { timers_.insert({now_ + timer.span_us, timer.label}); }

}  // namespace liftrudder::core
