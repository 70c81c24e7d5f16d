#include "routing/endpoint_selector.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>

namespace liftrudder::routing {
namespace {

void AddCandidate(ReplicaChoice& choice, const EndpointState& replica, Eligibility eligibility) {
  if (choice.count == kMaxCandidates) {
    ++choice.omitted;
    return;
  }
  constexpr std::size_t kMaxInFlightCount = std::numeric_limits<std::uint16_t>::max();
  auto in_flight = static_cast<std::uint16_t>(std::min(replica.in_flight.size(), kMaxInFlightCount));
  choice.endpoints[choice.count++] = {replica.endpoint.id, in_flight, eligibility, false};
}

void MarkEligible(ReplicaChoice& choice, const std::vector<EndpointState*>& group) {
  for (std::size_t index = 0; index < choice.count; ++index) {
    Candidate& candidate = choice.endpoints[index];
    candidate.eligible = std::ranges::any_of(
        group, [&](const EndpointState* replica) { return replica->endpoint.id == candidate.endpoint; });
  }
}

}  // namespace

void EndpointSelector::Groups::Clear() {
  healthy.clear();
  over_slow_start_share.clear();
  outliers.clear();
  unresponsive.clear();
  tried.clear();
  probe = nullptr;
}

ExpectedLatency EndpointSelector::EstimateLatency(int shard) const {
  ExpectedLatency healthy;
  ExpectedLatency avoided;
  endpoints_.ForEachReplica(shard, [&](const EndpointState& replica) {
    if (!replica.usable) return;
    double per_request_us =
        replica.latency_per_request_us == 0 ? latency_.PerRequestUs() : replica.latency_per_request_us;
    double expected_us = per_request_us * static_cast<double>(1 + replica.in_flight.size());
    ExpectedLatency& best = zones_.IsAvoided(replica) ? avoided : healthy;
    if (best.latency_us == 0 || expected_us < best.latency_us) best = {expected_us, replica.endpoint.id};
  });
  return healthy.latency_us > 0 ? healthy : avoided;
}

Selection EndpointSelector::Select(const ShardRequest& shard_request, bool is_hedge, Micros now) {
  Selection selection;
  groups_.Clear();
  endpoints_.ForEachReplica(shard_request.shard, [&](EndpointState& replica) {
    AddCandidate(selection.choice, replica, Classify(replica, shard_request, now));
  });
  if (groups_.probe != nullptr) {
    RecordProbe(*groups_.probe, now);
    selection.endpoint = groups_.probe;
    return selection;
  }
  const std::vector<EndpointState*>* group = PreferredGroup(shard_request, is_hedge, now);
  if (group == nullptr) return selection;
  MarkEligible(selection.choice, *group);
  selection.endpoint = FewestInFlight(shard_request, *group, now);
  return selection;
}

Eligibility EndpointSelector::Classify(EndpointState& replica, const ShardRequest& shard_request,
                                       Micros now) {
  if (!replica.usable) {
    bool draining = replica.endpoint.availability == Availability::kDraining;
    return draining ? Eligibility::kDraining : Eligibility::kRemoved;
  }
  SlowStartAllowance allowance =
      slow_start_.Refill(replica.slow_start, replica.endpoint, latency_.MedianUs(), now);
  if (!allowance.within_collapse_limit) return Eligibility::kSlowStartLimit;
  bool was_tried = std::ranges::any_of(shard_request.attempts, [&](const Attempt& attempt) {
    return attempt.endpoint == replica.endpoint.id;
  });
  if (zones_.IsAvoided(replica)) return ClassifyAvoided(replica, shard_request, was_tried, now);
  if (was_tried) {
    groups_.tried.push_back(&replica);
    return Eligibility::kAlreadyTried;
  }
  if (!allowance.within_share) {
    groups_.over_slow_start_share.push_back(&replica);
    return Eligibility::kSlowStartShare;
  }
  groups_.healthy.push_back(&replica);
  return Eligibility::kEligible;
}

Eligibility EndpointSelector::ClassifyAvoided(EndpointState& replica, const ShardRequest& shard_request,
                                              bool was_tried, Micros now) {
  const OutlierState& outlier = replica.outlier;
  // An ejected zone is probed as a whole, at the probe time of the zone and not of each endpoint.
  bool probe_due = zones_.IsEjected(replica.zone) ? zones_.ProbeTimeDue(replica.zone, now)
                                                  : OutlierDetector::ProbeDue(outlier, Clock(now));
  bool first_attempt = shard_request.attempts.empty();
  if (first_attempt && probe_due && groups_.probe == nullptr) groups_.probe = &replica;
  if (!was_tried) (outlier.unresponsive ? groups_.unresponsive : groups_.outliers).push_back(&replica);
  if (!outlier.ejected) return Eligibility::kZoneEjected;
  return outlier.unresponsive ? Eligibility::kUnresponsive : Eligibility::kOutlier;
}

const std::vector<EndpointState*>* EndpointSelector::PreferredGroup(const ShardRequest& shard_request,
                                                                    bool is_hedge, Micros now) const {
  if (!groups_.healthy.empty()) return &groups_.healthy;
  if (!groups_.over_slow_start_share.empty()) return &groups_.over_slow_start_share;
  if (is_hedge) return nullptr;
  // Slow endpoints come first, as they still answer. An unresponsive endpoint that fails fast has nothing in
  // flight and would attract every request.
  if (!groups_.outliers.empty()) return &groups_.outliers;
  if (!groups_.unresponsive.empty()) return &groups_.unresponsive;
  // All were tried: they are tried again, after a median latency to avoid a tight loop.
  bool waited = static_cast<double>(now - shard_request.idle_since_us) >= latency_.MedianUs();
  return waited && !groups_.tried.empty() ? &groups_.tried : nullptr;
}

void EndpointSelector::RecordProbe(EndpointState& replica, Micros now) {
  outliers_.RecordProbe(replica.outlier, Clock(now));
  zones_.RecordProbe(replica.zone, now);
}

EndpointState* EndpointSelector::FewestInFlight(const ShardRequest& shard_request,
                                                const std::vector<EndpointState*>& candidates, Micros now) {
  std::vector<EndpointState*> tied;
  int fewest = 0;
  for (EndpointState* endpoint : candidates) {
    int calls = CallsWithOneMore(*endpoint, now);
    if (!tied.empty() && calls > fewest) continue;
    if (calls < fewest) tied.clear();
    fewest = calls;
    tied.push_back(endpoint);
  }
  return BreakTie(shard_request, tied);
}

// With key affinity an endpoint that served a key recently does less work for it, so the whole fleet sends a
// key's requests in a cell to the same replica. The replica of a hot key fills up, and its higher number of
// calls in flight then directs requests to other replicas.
EndpointState* EndpointSelector::BreakTie(const ShardRequest& shard_request,
                                          const std::vector<EndpointState*>& tied) {
  if (!settings_.key_affinity || shard_request.key == 0) {
    return tied[static_cast<std::size_t>(random_.NextUnit() * static_cast<double>(tied.size()))];
  }
  auto cell = static_cast<std::uint64_t>(shard_request.shard % settings_.cells);
  auto rank = [&](const EndpointState* endpoint) {
    return AffinityRank(shard_request.key, cell, endpoint->endpoint.id);
  };
  return *std::ranges::max_element(tied, {}, rank);
}

// Calls in flight at the endpoint if one more request were sent now. Requests of one round share calls.
int EndpointSelector::CallsWithOneMore(const EndpointState& endpoint, Micros now) const {
  std::map<Micros, int> requests_by_round{{now, 1}};
  for (const auto& [key, sent_us] : endpoint.in_flight) ++requests_by_round[sent_us];
  int calls = 0;
  for (const auto& [sent_us, count] : requests_by_round) {
    calls += (count + settings_.max_requests_per_call - 1) / settings_.max_requests_per_call;
  }
  return calls;
}

}  // namespace liftrudder::routing
