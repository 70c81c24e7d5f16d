// Canary requests: when one shard request of a query goes ahead of the others. These wait until it is
// answered while endpoints are being lost, or for a wide query a fraction of the median latency at most. A
// query that crashes what works on it then takes one endpoint, not all. Plain functions without state.
#ifndef LIFTRUDDER_ROUTING_CANARY_POLICY_H_
#define LIFTRUDDER_ROUTING_CANARY_POLICY_H_

#include "routing/query_table.h"
#include "routing/types.h"

namespace liftrudder::routing {

struct CanaryInputs {
  bool losses_elevated = false;  // endpoints were lost unannounced of late
  double usable_endpoints = 0;
  double load = 0;  // LoadEstimator::Load()
  double median_latency_us = 0;
  Micros now = 0;
};

// The next shard request of the query is sent as a canary.
bool SendsCanary(const Query& query, const CanaryInputs& inputs);

// A canary of the query is in flight: its first attempts wait.
bool WaitsForCanary(const Query& query, const CanaryInputs& inputs);

}  // namespace liftrudder::routing

#endif  // LIFTRUDDER_ROUTING_CANARY_POLICY_H_
