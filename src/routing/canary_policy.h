// Canary requests: decides when one shard request of a query is sent before the others. While endpoints are
// being lost, the query's other shard requests wait until the canary is answered. Without recent losses only
// a wide query sends a canary, and until an answer arrives its other shard requests are sent one by one, each
// a fraction of the median latency after the one before. A query that crashes endpoints thus takes down few
// of them. Stateless.
#ifndef LIFTRUDDER_ROUTING_CANARY_POLICY_H_
#define LIFTRUDDER_ROUTING_CANARY_POLICY_H_

#include "routing/query_table.h"
#include "routing/types.h"

namespace liftrudder::routing {

struct CanaryInputs {
  bool losses_elevated = false;  // endpoints were recently lost unannounced
  double usable_endpoints = 0;
  double load = 0;  // LoadEstimator::Load()
  double median_latency_us = 0;
  Micros now = 0;
};

// Whether the next shard request of the query is sent as a canary.
bool SendsCanary(const Query& query, const CanaryInputs& inputs);

// Whether further first attempts of the query wait for an answer to its canary.
bool WaitsForCanary(const Query& query, const CanaryInputs& inputs);

}  // namespace liftrudder::routing

#endif  // LIFTRUDDER_ROUTING_CANARY_POLICY_H_
