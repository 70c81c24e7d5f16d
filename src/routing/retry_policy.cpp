#include "routing/retry_policy.h"

#include <algorithm>
#include <limits>

namespace liftrudder::routing {

bool ProvesNotRun(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kOverloaded || outcome == AttemptOutcome::kConnectFailed ||
         outcome == AttemptOutcome::kNotSent;
}

Micros LatestRepeatUs(const QueryClassSettings& cls, Micros sent_us) {
  switch (cls.effect) {
    case Effect::kIdempotent:
      return std::numeric_limits<Micros>::max();
    case Effect::kIdempotencyKey:
      return sent_us + cls.deduplication_window_us - kMaxWriteDelayUs;
    case Effect::kNonIdempotent:
      break;
  }
  return std::numeric_limits<Micros>::min();
}

Micros LatestSendUs(const QueryClassSettings& cls, const ShardRequest& shard_request) {
  Micros latest_us = std::numeric_limits<Micros>::max();
  for (const Attempt& attempt : shard_request.attempts) {
    if (!attempt.never_ran) latest_us = std::min(latest_us, LatestRepeatUs(cls, attempt.sent_us));
  }
  return latest_us;
}

PendingReason RetryPolicy::Forbids(const QueryClassSettings& cls, const ShardRequest& shard_request,
                                   bool query_known_safe, Micros now) const {
  // A request that was in flight at an endpoint when it crashed may have caused the crash. With unlimited
  // retries, a few such requests take down all replicas of their shards.
  bool endpoint_lost = std::ranges::any_of(shard_request.attempts, &Attempt::endpoint_lost);
  if (endpoint_lost && !query_known_safe) return PendingReason::kPoisonQuery;
  if (static_cast<int>(shard_request.attempts.size()) >= settings_.max_attempts) {
    return PendingReason::kAttemptLimit;
  }
  return now < LatestSendUs(cls, shard_request) ? PendingReason::kNone : PendingReason::kNotRepeatable;
}

bool RetryPolicy::WithinBudget(const SlidingWindow& arrivals, Micros now) {
  if (!settings_.has_retry_budget) return true;
  // Retries are counted over one round more than the window and arrivals over one round less, so that the
  // budget holds in every window of this length, wherever the window begins.
  Micros window_us = settings_.retry_budget_window_us;
  retries_.DropBefore(now - (window_us + settings_.decision_interval_us));
  auto received = static_cast<double>(arrivals.CountFrom(now - window_us + settings_.decision_interval_us));
  double budget = settings_.retry_budget_floor + settings_.retry_budget_ratio * received;
  return static_cast<double>(retries_.Size()) + 1 <= budget;
}

}  // namespace liftrudder::routing
