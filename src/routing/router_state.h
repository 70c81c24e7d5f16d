// The implementation of Router: the decision modules with their state, and the order in which a round calls
// them. Included only by the router's source files. Not thread-safe.
#ifndef LIFTRUDDER_ROUTING_ROUTER_STATE_H_
#define LIFTRUDDER_ROUTING_ROUTER_STATE_H_

#include <cstdint>
#include <limits>
#include <optional>
#include <span>
#include <vector>

#include "routing/admission.h"
#include "routing/canary_policy.h"
#include "routing/completion_policy.h"
#include "routing/connection_reuse.h"
#include "routing/coverage_cutoff.h"
#include "routing/endpoint_list_poller.h"
#include "routing/endpoint_selector.h"
#include "routing/endpoint_table.h"
#include "routing/hedging_policy.h"
#include "routing/latency_tracker.h"
#include "routing/load_estimator.h"
#include "routing/outlier_detector.h"
#include "routing/query_table.h"
#include "routing/random.h"
#include "routing/retry_policy.h"
#include "routing/router.h"
#include "routing/sliding_window.h"
#include "routing/slow_start.h"
#include "routing/zone_health.h"

namespace liftrudder::routing {

// Why a shard request is not sent, with the compared values that PendingReason lists.
struct PendingCause {
  PendingReason reason = PendingReason::kNone;
  double observed = 0;
  double threshold = 0;
};

// Why a shard request gets a hedge. Ignored when no attempt of it is in flight.
enum class HedgeCause : std::uint8_t { kStraggler, kEndpointSuspect };

// Holds the modules and combines their decisions. Its own few decisions are listed under `router` in
// docs/design/routing.md.
struct Router::State {
  State(const Settings& router_settings, std::uint64_t seed);
  // The modules hold references to each other.
  State(const State&) = delete;
  State& operator=(const State&) = delete;

  void Handle(Micros at, std::span<const Event> events, std::vector<Action>& round_actions,
              std::vector<PendingShardRequest>* round_pending);

  // Events.
  void operator()(const EndpointListUpdate& update);
  void operator()(const QueryReceived& event);
  void operator()(const ShardRequestReceived& event);
  void operator()(const AttemptFinished& finished);
  void operator()(const ClientDisconnected& event);
  void operator()(const ShutdownStarted& event);
  void operator()(const TimerFired& timer);
  void operator()(const HealthCheckFinished&) {}
  void operator()(const GossipMessage&) {}

  // Once a round: estimates of the fleet's state.
  void UpdateEstimates();
  void ReviewEndpoints();
  void CheckResponsive(EndpointState& endpoint);

  // Dispatch.
  void DispatchQuery(Query& query);
  std::vector<CutoffCandidate> CandidatesByWeight(const Query& query);
  void SendShardRequest(Query& query, ShardRequest& shard_request, HedgeCause hedge = HedgeCause::kStraggler);
  std::optional<PendingCause> FindPendingCause(const Query& query, const ShardRequest& shard_request) const;
  bool RetryWithinBudget(bool needs_hedge_budget);
  DispatchKind ClassifyDispatch(const Query& query, const ShardRequest& shard_request,
                                const Selection& selection, HedgeCause hedge) const;
  void RecordSend(Query& query, const ShardRequest& shard_request, EndpointState& endpoint, HedgeCause hedge);
  void SetPending(ShardRequest& shard_request, const PendingCause& cause, const ReplicaChoice& choice = {});

  // Outcomes.
  void RecordEndpointOutcome(EndpointState& endpoint, const AttemptFinished& finished,
                             const Attempt& attempt);
  void RecordAnswer(Query& query, ShardRequest& shard_request, int attempt);

  // Review of the queries in flight.
  void ReviewQuery(Query& query);
  void ReviewShardRequest(Query& query, ShardRequest& shard_request);
  void HedgeOrCancel(Query& query, ShardRequest& shard_request, Attempt& attempt);
  bool CanStillBeAnswered(const Query& query, const ShardRequest& shard_request) const;
  void AnswerQuery(Query& query, const Completion& completion);
  void AbandonQuery(Query& query, const CompletionReason& reason);
  void ReleaseShardRequests(Query& query);
  void CancelInFlight(const ShardRequest& shard_request, CancelReason reason);

  ProbeClock Clock() const { return {now, slow_start.WarmRequests()}; }
  CanaryInputs CanaryState() const {
    return {endpoints.LossesElevated(), usable_endpoints, load.Load(), latency.MedianUs(), now};
  }

  const Settings settings;
  const double min_latency_objective_us;
  const Micros answer_margin_us;
  Random random;

  QueryTable queries;
  EndpointTable endpoints;
  LatencyTracker latency;
  LoadEstimator load;
  SlowStart slow_start;
  OutlierDetector outliers;
  ZoneHealth zones;
  ConnectionReuse connections;
  EndpointSelector selector;
  Admission admission;
  RetryPolicy retries;
  HedgingPolicy hedging;
  CompletionPolicy completion;
  EndpointListPoller list_poller;

  SlidingWindow arrivals;  // queries and shard requests; the base of the budgets
  Micros estimates_updated_us = 0;
  double usable_endpoints = 0;
  int avoided_endpoints = 0;  // listed, and draining, ejected or in an ejected zone
  bool round_timer_set = false;
  Micros shutdown_deadline_us = std::numeric_limits<Micros>::max();  // see ShutdownStarted

  // State of the current round; the pointers are valid only during Handle.
  Micros now = 0;
  std::vector<Action>* actions = nullptr;
  std::vector<PendingShardRequest>* pending = nullptr;
};

}  // namespace liftrudder::routing

#endif  // LIFTRUDDER_ROUTING_ROUTER_STATE_H_
