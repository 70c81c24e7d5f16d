// The settings of the routing module. Plain data with units in the names; settings_validation.h checks them.
#ifndef LIFTRUDDER_ROUTING_SETTINGS_H_
#define LIFTRUDDER_ROUTING_SETTINGS_H_

#include <vector>

#include "routing/types.h"

namespace liftrudder::routing {

// Whether a shard request may be sent again after an attempt that may have run.
enum class Effect {
  kIdempotent,      // at any time
  kIdempotencyKey,  // within the deduplication window
  kNonIdempotent,   // never
};

struct QueryClassSettings {
  Micros latency_objective_us = 0;  // an answer has its full value until then
  Micros client_timeout_us = 0;     // how long the client waits in total
  double late_value_fraction = 0;   // of the full value, for an answer between objective and timeout
  double priority_weight = 1;       // value of a query
  Effect effect = Effect::kIdempotent;
  Micros deduplication_window_us = 0;  // for kIdempotencyKey
  double objective_per_work = 0;       // objective added for each microsecond of QueryReceived::work_us
  int fetch_phase_requests = 0;        // shard requests of the fetch phase; 0: there is none
  double min_coverage = 1;             // lowest coverage of a partial result
  double complete_coverage = 1;        // coverage of a complete result
  double partial_value_factor = 1;     // of the full value, for a partial result, times its coverage
};

struct TenantSettings {
  double quota_per_s = 0;  // queries, over the whole fleet
  double fraction = 0;     // of the traffic; no decision reads it
};

struct Settings {
  std::vector<QueryClassSettings> classes;
  std::vector<TenantSettings> tenants;
  int zone = 0;
  int fleet_size = 1;  // coordinators
  int ordinal = 0;     // index of this coordinator in the fleet
  int cells = 1;       // shard s is in the cells (s + j) mod cells, for j < reach
  int reach = 1;
  int shards = 1;
  int max_requests_per_call = 1;  // shard requests of a round to one endpoint that share a call
  bool key_affinity = false;      // an endpoint that served a request's key recently does less work for it
  int max_attempts = 1;           // for each shard request
  int max_in_flight = 0;          // queries and shard requests; 0: only the coordinator's own limit applies
  bool cancellation_allowed = false;
  bool health_checks_allowed = false;  // no decision reads it
  bool hedging_allowed = false;        // two attempts of a shard request at once
  bool retry_after_allowed = false;
  bool subscription_required = false;  // changes of the endpoint list come only after Subscribe
  Micros max_retry_after_us = 0;
  Micros decision_interval_us = 1000;  // shortest time between rounds
  Micros grace_to_answer_us = 0;       // no decision reads it; see AnswerMarginUs
  Micros drain_grace_us = 0;
  Micros poll_deadline_us = 0;     // within which a failed call to the list service must be repeated
  double slow_start_capacity = 1;  // share of its capacity that an endpoint has when it starts
  Micros slow_start_us = 0;        // time after its start at which an endpoint is warm
  // An endpoint whose load exceeds this multiple of its capacity for the whole window collapses. With a
  // window of 0 none does.
  double collapse_load_multiple = 0;
  Micros collapse_window_us = 0;
  double over_quota_value_factor = 1;  // of the full value, for queries over their tenant's quota
  bool has_retry_budget = false;
  double retry_budget_floor = 0;  // retries that are always allowed in a window
  double retry_budget_ratio = 0;  // further retries for each query and shard request received in the window
  Micros retry_budget_window_us = 0;
};

// The process may be held up this long between a reading of the clock and the write that depends on it.
constexpr Micros kMaxWriteDelayUs = 150'000;

// The shortest latency objective of any class; a class with two phases counts with half its objective. Most
// time constants of the decision modules are multiples of it. There must be at least one class.
double MinLatencyObjectiveUs(const Settings& settings);

// Time reserved before a deadline to deliver the answer.
Micros AnswerMarginUs(const Settings& settings);

}  // namespace liftrudder::routing

#endif  // LIFTRUDDER_ROUTING_SETTINGS_H_
