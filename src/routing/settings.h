// The settings of the routing module: plain data, units in the names. What makes them impossible:
// settings_validation.h.
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
  Micros client_timeout_us = 0;     // the client's patience in all
  double late_value_fraction = 0;   // of the value, between objective and timeout
  double priority_weight = 1;       // value of a query
  Effect effect = Effect::kIdempotent;
  Micros deduplication_window_us = 0;  // for kIdempotencyKey
  double objective_per_work = 0;       // objective added for each microsecond of QueryReceived::work_us
  int fetch_phase_requests = 0;        // shard requests of the fetch phase; 0: there is none
  double min_coverage = 1;             // least coverage of a partial result
  double complete_coverage = 1;        // coverage of a complete result
  double partial_value_factor = 1;     // of the value of a partial result, times its coverage
};

struct TenantSettings {
  double quota_per_s = 0;  // queries, of the whole fleet
  double fraction = 0;     // of the traffic; no decision reads it
};

struct Settings {
  std::vector<QueryClassSettings> classes;
  std::vector<TenantSettings> tenants;
  int zone = 0;
  int fleet_size = 1;  // coordinators
  int ordinal = 0;     // of this coordinator in the fleet
  int cells = 1;       // shard s is in the cells (s + j) mod cells, for j < reach
  int reach = 1;
  int shards = 1;
  int max_requests_per_call = 1;  // that share a call, sent in one round to one endpoint
  bool key_affinity = false;      // an endpoint that met a request's key of late does less work for it
  int max_attempts = 1;           // for each shard request
  int max_in_flight = 0;          // queries and shard requests, see coordinator; 0: its own limit alone
  bool cancellation_allowed = false;
  bool health_checks_allowed = false;  // no decision reads it
  bool hedging_allowed = false;        // two attempts of a shard request at once
  bool retry_after_allowed = false;
  bool subscription_required = false;  // changes of the endpoint list come only after Subscribe
  Micros max_retry_after_us = 0;
  Micros decision_interval_us = 1000;  // shortest gap between rounds
  Micros grace_to_answer_us = 0;       // no decision reads it; see AnswerMarginUs
  Micros drain_grace_us = 0;
  Micros poll_deadline_us = 0;     // within which a failed call to the list service must be repeated
  double slow_start_capacity = 1;  // share of its capacity that a started endpoint has at least
  Micros slow_start_us = 0;        // after which it is warm
  // An endpoint that gets more than this multiple of its capacity throughout the window collapses; a window
  // of 0: none does.
  double collapse_load_multiple = 0;
  Micros collapse_window_us = 0;
  double over_quota_value_factor = 1;  // of the value of queries beyond their tenant's quota
  bool has_retry_budget = false;
  double retry_budget_floor = 0;  // retries that are always allowed in a window
  double retry_budget_ratio = 0;  // further retries for each query and shard request received in the window
  Micros retry_budget_window_us = 0;
};

// The shortest time within which an answer of any class has its full value; a class with two phases counts
// with half its objective. The unit of most time constants of the decision modules. There must be a class.
double MinLatencyObjectiveUs(const Settings& settings);

// Time kept back before a deadline for the way of the answer.
Micros AnswerMarginUs(const Settings& settings);

}  // namespace liftrudder::routing

#endif  // LIFTRUDDER_ROUTING_SETTINGS_H_
