// Canary requests: decides when one shard request of a query is sent before the others. While endpoints are
// being lost, the others wait until it is answered; those of a wide query wait at most a fraction of the
// median latency. A query that crashes endpoints then takes down one, not all. Stateless.
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
