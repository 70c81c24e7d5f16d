// Decides whether a shard request may be retried: idempotency, attempt limit, retry budget, poison queries.
// Owned by one router; not thread-safe. Chooses neither the time nor the endpoint.
#ifndef LIFTRUDDER_ROUTING_RETRY_POLICY_H_
#define LIFTRUDDER_ROUTING_RETRY_POLICY_H_

#include "routing/events.h"
#include "routing/query_table.h"
#include "routing/reasons.h"
#include "routing/settings.h"
#include "routing/sliding_window.h"
#include "routing/types.h"

namespace liftrudder::routing {

// Whether the outcome proves that the endpoint did not start to work on the attempt.
bool ProvesNotRun(AttemptOutcome outcome);

// The latest time to begin to write a repeat of an attempt that was sent at `sent_us` and may have run: the
// end of the class's deduplication window, less the time for which the process may be held up before the
// write. The smallest Micros if the class may never be repeated, the largest if it always may.
Micros LatestRepeatUs(const QueryClassSettings& cls, Micros sent_us);

// The same for the next attempt of a shard request, after all its earlier ones.
Micros LatestSendUs(const QueryClassSettings& cls, const ShardRequest& shard_request);

class RetryPolicy {
 public:
  // `settings` must outlive it.
  explicit RetryPolicy(const Settings& settings) : settings_(settings) {}

  // Why the request must not be retried, regardless of the budget: kPoisonQuery, kAttemptLimit or
  // kNotRepeatable; kNone if it may be. `query_known_safe`: Query::known_safe.
  PendingReason Forbids(const QueryClassSettings& cls, const ShardRequest& shard_request,
                        bool query_known_safe, Micros now) const;

  // Whether the retry budget has room for one more attempt. `arrivals`: queries and shard requests received.
  bool WithinBudget(const SlidingWindow& arrivals, Micros now);

  // Records that a second or later attempt of a shard request is sent.
  void RecordAttempt(Micros now) { retries_.Add(now); }

 private:
  const Settings& settings_;
  SlidingWindow retries_;  // hedged requests included
};

}  // namespace liftrudder::routing

#endif  // LIFTRUDDER_ROUTING_RETRY_POLICY_H_
