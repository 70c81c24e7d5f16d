#include "routing/slow_start.h"

#include <algorithm>

namespace liftrudder::routing {
namespace {

constexpr double kCollapseShare = 0.5;       // share of the collapse multiple that the load may reach
constexpr double kMaxAllowanceRequests = 2;  // that a token bucket may hold

}  // namespace

double SlowStart::CapacityFraction(const Endpoint& endpoint, Micros now) const {
  if (endpoint.started_us == 0 || settings_.slow_start_us <= 0) return 1;
  double age = static_cast<double>(now - endpoint.started_us) / static_cast<double>(settings_.slow_start_us);
  if (age >= 1) return 1;
  return settings_.slow_start_capacity + (1 - settings_.slow_start_capacity) * std::max(age, 0.0);
}

void SlowStart::Start(SlowStartState& state, double initial_allowance, Micros now) const {
  state.share_allowance = initial_allowance;
  state.collapse_allowance = initial_allowance;
  state.refilled_us = now;
  state.refilled_at_warm_requests = warm_requests_;
}

SlowStartAllowance SlowStart::Refill(SlowStartState& state, const Endpoint& endpoint,
                                     double median_latency_us, Micros now) const {
  double fraction = CapacityFraction(endpoint, now);
  if (fraction >= 1 || settings_.collapse_window_us <= 0) return {};
  // Traffic may be low because endpoints are missing. A warm endpoint of weight 1 is therefore assumed to get
  // at least one request per median latency from the whole fleet.
  double min_warm_requests =
      static_cast<double>(now - state.refilled_us) / (median_latency_us * settings_.fleet_size);
  double warm_requests = std::max(warm_requests_ - state.refilled_at_warm_requests, min_warm_requests);
  double added_allowance = warm_requests * endpoint.weight * fraction;
  double collapse_multiple = std::max(1.0, kCollapseShare * settings_.collapse_load_multiple);
  state.refilled_us = now;
  state.refilled_at_warm_requests = warm_requests_;
  state.share_allowance = std::min(state.share_allowance + added_allowance, kMaxAllowanceRequests);
  state.collapse_allowance =
      std::min(state.collapse_allowance + added_allowance * collapse_multiple, kMaxAllowanceRequests);
  return {.within_share = state.share_allowance >= 1, .within_collapse_limit = state.collapse_allowance >= 1};
}

void SlowStart::RecordSend(SlowStartState& state, bool counts_as_warm) {
  if (counts_as_warm && warm_weight_ > 0) warm_requests_ += 1 / warm_weight_;
  --state.share_allowance;
  --state.collapse_allowance;
}

}  // namespace liftrudder::routing
