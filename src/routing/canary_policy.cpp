#include "routing/canary_policy.h"

#include <cstddef>

#include "routing/load_estimator.h"

namespace liftrudder::routing {
namespace {

// A query is wide if it has more than kWideRequests shard requests, and more than kWideEndpointShare times
// the number of usable endpoints. The first crash that a query causes cannot be foreseen, so wide queries use
// a canary even without losses.
constexpr double kWideEndpointShare = 0.4;
constexpr std::size_t kWideRequests = 8;
// Median latencies between two first attempts of a wide query that has no answer yet.
constexpr double kCanaryWaitMedians = 0.25;
// A wide query with fewer median latencies left to its objective does not wait.
constexpr double kUrgentQueryMedians = 3;

bool IsWide(const Query& query, const CanaryInputs& inputs) {
  std::size_t requests = query.shard_requests.size();
  return requests > kWideRequests &&
         static_cast<double>(requests) > kWideEndpointShare * inputs.usable_endpoints;
}

bool NeedsCanary(const Query& query, const CanaryInputs& inputs) {
  if (query.known_safe || query.phase > 1) return false;
  if (inputs.losses_elevated) return true;
  auto left_us = static_cast<double>(query.objective_at_us - inputs.now);
  bool urgent = left_us < kUrgentQueryMedians * inputs.median_latency_us;
  return IsWide(query, inputs) && !urgent && inputs.load <= kSheddingStartLoad;
}

}  // namespace

bool SendsCanary(const Query& query, const CanaryInputs& inputs) {
  return query.latest_first_attempt_us == 0 && query.shard_requests.size() > 1 && NeedsCanary(query, inputs);
}

bool WaitsForCanary(const Query& query, const CanaryInputs& inputs) {
  if (query.latest_first_attempt_us <= 0 || !NeedsCanary(query, inputs)) return false;
  auto waited_us = static_cast<double>(inputs.now - query.latest_first_attempt_us);
  return inputs.losses_elevated || waited_us < kCanaryWaitMedians * inputs.median_latency_us;
}

}  // namespace liftrudder::routing
