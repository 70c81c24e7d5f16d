// The settings of the routing module: plain data, units in the names.
#ifndef LIFTRUDDER_ROUTING_SETTINGS_H_
#define LIFTRUDDER_ROUTING_SETTINGS_H_

#include <optional>
#include <string>
#include <vector>

#include "routing/types.h"

namespace liftrudder::routing {

// What repeating a part does: nothing, nothing within a window, or it must not happen.
enum class Effect { kIdempotent, kIdempotencyKey, kNonIdempotent };

struct QueryClassSettings {
  Micros latency_objective_us = 0;  // full worth until then
  Micros client_timeout_us = 0;     // the client's total patience
  double late_value_fraction = 0;   // share of the worth between aim and give-up
  double worth = 1;
  Effect effect = Effect::kIdempotent;
  Micros deduplication_window_us = 0;  // for kIdempotencyKey
  double objective_per_work = 0;       // the aim grows by this multiple of the told work
  int fetch_phase_requests = 0;        // parts of the second step; 0: one step only
  double floor = 1;                    // least weight for an answer
  double complete_coverage = 1;        // weight that makes a whole answer
  double partial_value_factor = 1;     // an incomplete answer earns this x its share
};

struct TenantSettings {
  double quota_per_s = 0;  // of all aggregators together
  double fraction = 0;
};

struct Settings {
  std::vector<QueryClassSettings> classes;
  std::vector<TenantSettings> tenants;
  int zone = 0;
  int fleet_size = 1;  // aggregators in the tier
  int ordinal = 0;
  int cells = 1;  // shard s lies in cells (s + j) mod cells, j < reach
  int reach = 1;
  int shards = 1;
  int max_requests_per_call = 1;  // that share a call, sent in one round to one replica
  bool key_affinity = false;      // a replica that met a part's key of late does less work for it
  int max_attempts = 1;           // for one part
  int max_in_flight = 0;          // queries and parts held; told for completeness
  bool cancellation_allowed = false;
  bool health_checks_allowed = false;
  bool hedging_allowed = false;  // two attempts of a part at once
  bool retry_after_allowed = false;
  bool subscription_required = false;  // changes of the list come only when asked for
  Micros max_retry_after_us = 0;
  Micros decision_interval_us = 1000;  // shortest gap between calls of Handle
  Micros grace_to_answer_us = 0;
  Micros drain_grace_us = 0;
  Micros poll_deadline_us = 0;
  double slow_start_capacity = 1;      // a started replica has at least this share of its capacity
  Micros slow_start_us = 0;            // and is warm after this
  double collapse_load_multiple = 0;   // sent more than this multiple of its capacity
  Micros collapse_window_us = 0;       // for this long it falls over; 0: no such rule
  double over_quota_value_factor = 1;  // worth of traffic beyond a tenant's share
  bool has_retry_budget = false;
  double retry_budget_floor = 0;
  double retry_budget_ratio = 0;
  Micros retry_budget_window_us = 0;
};

// The shortest time within which an answer of any class has its full value; a class with two phases counts
// with half its objective. The unit of most of the decision modules' time constants. There must be a class.
double MinLatencyObjectiveUs(const Settings& settings);

// Time kept back before a deadline for the way of the answer.
Micros AnswerMarginUs(const Settings& settings);

}  // namespace liftrudder::routing

#endif  // LIFTRUDDER_ROUTING_SETTINGS_H_
