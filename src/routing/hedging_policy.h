// Hedged requests: decides when a second attempt of a shard request is due while the first is in flight, and
// how many there may be. Owned by one router; not thread-safe. Where hedging is not allowed, the router
// cancels the first attempt and retries instead.
#ifndef LIFTRUDDER_ROUTING_HEDGING_POLICY_H_
#define LIFTRUDDER_ROUTING_HEDGING_POLICY_H_

#include "routing/endpoint_table.h"
#include "routing/latency_tracker.h"
#include "routing/query_table.h"
#include "routing/settings.h"
#include "routing/sliding_window.h"
#include "routing/types.h"
#include "routing/zone_health.h"

namespace liftrudder::routing {

class HedgingPolicy {
 public:
  // All arguments must outlive the policy.
  HedgingPolicy(const Settings& settings, const EndpointTable& endpoints, const ZoneHealth& zones,
                const LatencyTracker& latency);

  // Whether a hedge is due for this attempt, the only one of its request in flight. `load` is
  // LoadEstimator::Load().
  bool IsDue(const Query& query, const Attempt& attempt, double load, Micros now) const;

  // Whether the attempt's endpoint is draining, removed or ejected, or has answered a request sent more than
  // a hedge delay after this attempt, so that it has probably lost this one.
  bool EndpointSuspect(const Attempt& attempt) const;

  // Whether the budget has room for one more hedge of a straggler. Hedges for suspect endpoints need none.
  // `arrivals`: queries and shard requests received.
  bool WithinBudget(const SlidingWindow& arrivals, Micros now);

  // Records that a hedge is sent. `endpoint_suspect`: EndpointSuspect of the first attempt.
  void RecordHedge(bool endpoint_suspect, Micros now);
  // Records that a hedge was answered before the first attempt.
  void RecordWin() { ++won_; }

  // Length of the budget's window.
  Micros WindowUs() const { return window_us_; }

 private:
  bool IsStraggler(const Query& query, const Attempt& attempt, Micros now) const;

  const Settings& settings_;
  const EndpointTable& endpoints_;
  const ZoneHealth& zones_;
  const LatencyTracker& latency_;
  Micros window_us_;
  SlidingWindow straggler_hedges_;
  double sent_ = 0;  // decayed counts
  double won_ = 0;
};

}  // namespace liftrudder::routing

#endif  // LIFTRUDDER_ROUTING_HEDGING_POLICY_H_
