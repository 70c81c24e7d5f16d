// Slow start: limits the traffic to an endpoint that has just started, so that the fleet as a whole does not
// push it into an overload collapse. Owned by one router; not thread-safe. Does not choose endpoints.
#ifndef LIFTRUDDER_ROUTING_SLOW_START_H_
#define LIFTRUDDER_ROUTING_SLOW_START_H_

#include "routing/settings.h"
#include "routing/types.h"

namespace liftrudder::routing {

// Slow-start state of one endpoint: two token buckets. Each may hold less than one request: if every
// coordinator were always allowed one, a large fleet would overload the endpoint.
struct SlowStartState {
  double share_allowance = 0;            // shard requests within its share of a warm endpoint's traffic
  double collapse_allowance = 0;         // shard requests that it can take without collapsing
  Micros refilled_us = 0;                // when both were last refilled
  double refilled_at_warm_requests = 0;  // SlowStart::WarmRequests() at that time
};

// Whether an endpoint may get one more shard request.
struct SlowStartAllowance {
  bool within_share = true;
  bool within_collapse_limit = true;
};

class SlowStart {
 public:
  explicit SlowStart(const Settings& settings) : settings_(settings) {}

  // The least share of its full capacity that the endpoint has now; 1 once it is warm.
  double CapacityFraction(const Endpoint& endpoint, Micros now) const;
  bool IsWarm(const Endpoint& endpoint, Micros now) const { return CapacityFraction(endpoint, now) >= 1; }

  // Starts the slow start of a new process. `initial_allowance`, random in [0, 1), spreads the first requests
  // over the coordinators, as the allowance of each may be below one request.
  void Start(SlowStartState& state, double initial_allowance, Micros now) const;

  // Refills the endpoint's allowances up to `now` and returns whether they hold a request.
  SlowStartAllowance Refill(SlowStartState& state, const Endpoint& endpoint, double median_latency_us,
                            Micros now) const;

  // Records that a shard request is sent. `counts_as_warm`: the endpoint is warm and not ejected.
  void RecordSend(SlowStartState& state, bool counts_as_warm);

  // Sets the total weight of the usable warm endpoints that are not ejected.
  void SetWarmWeight(double weight) { warm_weight_ = weight; }

  // Mean number of shard requests sent to a warm endpoint of weight 1 since the router started.
  double WarmRequests() const { return warm_requests_; }

 private:
  const Settings& settings_;
  double warm_weight_ = 0;
  double warm_requests_ = 0;
};

}  // namespace liftrudder::routing

#endif  // LIFTRUDDER_ROUTING_SLOW_START_H_
