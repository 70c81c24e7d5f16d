// Slow start: what an endpoint that has just started may be sent, so that the whole fleet together does not
// push it into an overload collapse. Owned by one router; not thread-safe. Does not choose endpoints.
#ifndef LIFTRUDDER_ROUTING_SLOW_START_H_
#define LIFTRUDDER_ROUTING_SLOW_START_H_

#include "routing/settings.h"
#include "routing/types.h"

namespace liftrudder::routing {

// Slow-start state of one endpoint. A token bucket, which may hold less than one request: were each
// coordinator always allowed one, a large fleet together would overload the endpoint.
struct SlowStartState {
  double share_allowance = 0;          // shard requests; its fair share of what warm endpoints get
  double collapse_allowance = 0;       // shard requests; what it can take at all without collapsing
  Micros filled_us = 0;                // when both were last filled
  double filled_at_warm_requests = 0;  // and SlowStart::WarmRequests() then
};

// Whether an endpoint may get one more shard request.
struct SlowStartAllowance {
  bool within_share = true;
  bool within_collapse_limit = true;
};

class SlowStart {
 public:
  explicit SlowStart(const Settings& settings) : settings_(settings) {}

  // The share of its capacity that the endpoint has at least; 1 once it is warm.
  double Fraction(const Endpoint& endpoint, Micros now) const;
  bool IsWarm(const Endpoint& endpoint, Micros now) const { return Fraction(endpoint, now) >= 1; }

  // A new process. `initial_allowance`, random within [0, 1), spreads who in the fleet sends it the first
  // request, as the allowance of each coordinator may be below one request.
  void Start(SlowStartState& state, double initial_allowance, Micros now) const;

  // Fills the endpoint's account up to now and says what it holds.
  SlowStartAllowance Refill(SlowStartState& state, const Endpoint& endpoint, double median_latency_us,
                            Micros now) const;

  // A shard request is being sent. `counts_as_warm`: the endpoint is warm and not ejected.
  void RecordSend(SlowStartState& state, bool counts_as_warm);

  // Weight of all usable warm endpoints that are not ejected.
  void SetWarmWeight(double weight) { warm_weight_ = weight; }

  // Shard requests sent to a warm endpoint of weight 1 since the start.
  double WarmRequests() const { return warm_requests_; }

 private:
  const Settings& settings_;
  double warm_weight_ = 0;
  double warm_requests_ = 0;
};

}  // namespace liftrudder::routing

#endif  // LIFTRUDDER_ROUTING_SLOW_START_H_
