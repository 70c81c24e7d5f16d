#include "routing/canary_policy.h"

#include <cstddef>

#include "routing/load_estimator.h"

namespace liftrudder::routing {
namespace {

// The first crash by a query is not foreseen, so wide queries are sent by canary at all times: those with
// requests for more than this share of the endpoints, and with more requests than this.
constexpr double kWideEndpointShare = 0.4;
constexpr std::size_t kWideRequests = 8;
constexpr double kCanaryWaitMedians = 0.25;  // median latencies that a wide query waits for its canary
constexpr double kHurriedQueryMedians = 3;   // with less time than so many, a wide query is not kept waiting

bool IsWide(const Query& query, const CanaryInputs& inputs) {
  std::size_t requests = query.shard_requests.size();
  return requests > kWideRequests &&
         static_cast<double>(requests) > kWideEndpointShare * inputs.usable_endpoints;
}

bool NeedsCanary(const Query& query, const CanaryInputs& inputs) {
  if (query.cleared || query.phase > 1) return false;
  if (inputs.losses_elevated) return true;
  auto left_us = static_cast<double>(query.objective_at_us - inputs.now);
  bool hurried = left_us < kHurriedQueryMedians * inputs.median_latency_us;
  return IsWide(query, inputs) && !hurried && inputs.load <= kSheddingStartLoad;
}

}  // namespace

bool SendsCanary(const Query& query, const CanaryInputs& inputs) {
  return query.last_first_attempt_us == 0 && query.shard_requests.size() > 1 && NeedsCanary(query, inputs);
}

bool WaitsForCanary(const Query& query, const CanaryInputs& inputs) {
  if (query.last_first_attempt_us <= 0 || !NeedsCanary(query, inputs)) return false;
  auto waited_us = static_cast<double>(inputs.now - query.last_first_attempt_us);
  return inputs.losses_elevated || waited_us < kCanaryWaitMedians * inputs.median_latency_us;
}

}  // namespace liftrudder::routing
