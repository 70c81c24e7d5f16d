// The settings of the routing module: plain data, units in the names.
#ifndef LIFTRUDDER_ROUTING_SETTINGS_H_
#define LIFTRUDDER_ROUTING_SETTINGS_H_

#include <optional>
#include <string>
#include <vector>

#include "routing/types.h"

namespace liftrudder::routing {

// What repeating a part does: nothing, nothing within a window, or it must not happen.
enum class Effect { kIdempotent, kDeduplicated, kAtMostOnce };

struct ClassSettings {
  Micros aim_us = 0;      // full worth until then
  Micros give_up_us = 0;  // the client's total patience
  double late_share = 0;  // share of the worth between aim and give-up
  double worth = 1;
  Effect effect = Effect::kIdempotent;
  Micros repeat_window_us = 0;  // for kDeduplicated
  double aim_stretch = 0;       // the aim grows by this multiple of the told work
  int fetch_parts = 0;          // parts of the second step; 0: one step only
  double floor = 1;             // least weight for an answer
  double whole_at = 1;          // weight that makes a whole answer
  double incomplete_worth = 1;  // an incomplete answer earns this x its share
};

struct TenantSettings {
  double allowance_per_s = 0;  // of all aggregators together
  double fraction = 0;
};

struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  int zone = 0;
  int group_size = 1;  // aggregators in the tier
  int ordinal = 0;
  int cells = 1;  // shard s lies in cells (s + j) mod cells, j < reach
  int reach = 1;
  int shards = 1;
  int parts_per_call = 1;  // that share a call, sent in one round to one replica
  bool warm_keys = false;  // a replica that met a part's key of late does less work for it
  int max_attempts = 1;    // for one part
  int max_open = 0;        // queries and parts held; told for completeness
  bool may_cancel = false;
  bool may_probe = false;
  bool may_copy = false;  // two attempts of a part at once
  bool may_retry_after = false;
  bool must_subscribe = false;  // changes of the list come only when asked for
  Micros max_retry_after_us = 0;
  Micros resolution_us = 1000;  // shortest gap between calls of Handle
  Micros grace_to_answer_us = 0;
  Micros stop_sending_within_us = 0;
  Micros ask_within_us = 0;
  double start_capacity = 1;    // a started replica has at least this share of its capacity
  Micros cold_us = 0;           // and is warm after this
  double fall_multiple = 0;     // sent more than this multiple of its capacity
  Micros fall_us = 0;           // for this long it falls over; 0: no such rule
  double over_share_worth = 1;  // worth of traffic beyond a tenant's share
  bool has_retry_budget = false;
  double free_resends = 0;
  double further_ratio = 0;
  Micros resend_span_us = 0;
};

// Says what is impossible in the settings; nothing when they can be used.
std::optional<std::string> CheckSettings(const Settings& settings);

}  // namespace liftrudder::routing

#endif  // LIFTRUDDER_ROUTING_SETTINGS_H_
