#include "config/routing_settings.h"

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "config/wire_names.h"
#include "routing/settings_validation.h"

namespace liftrudder::config {
namespace {

using routing::Effect;
using routing::Micros;
using routing::QueryClassSettings;
using routing::Settings;
using Json = nlohmann::json;

SettingsError KeyError(const char* key, const std::string& problem) {
  return SettingsError(std::string("settings: '") + key + "' " + problem);
}

const Json& Member(const Json& object, const char* key) {
  auto found = object.find(key);
  if (found == object.end()) throw KeyError(key, "is missing");
  return *found;
}

template <typename T>
T Get(const Json& object, const char* key) {
  try {
    return Member(object, key).get<T>();
  } catch (const Json::exception&) {
    throw KeyError(key, "has the wrong type");
  }
}

template <typename T>
T GetOr(const Json& object, const char* key, T fallback) {
  return object.contains(key) ? Get<T>(object, key) : fallback;
}

Effect ParseEffect(const std::string& name) {
  if (name == wire::kEffectIdempotent) return Effect::kIdempotent;
  if (name == wire::kEffectIdempotencyKey) return Effect::kIdempotencyKey;
  if (name == wire::kEffectNonIdempotent) return Effect::kNonIdempotent;
  throw KeyError(wire::kEffect, "is '" + name + "', which is unknown");
}

QueryClassSettings ReadClass(const Json& object) {
  QueryClassSettings query_class;
  query_class.latency_objective_us = Get<Micros>(object, wire::kLatencyObjective);
  query_class.client_timeout_us = Get<Micros>(object, wire::kClientTimeout);
  query_class.late_value_fraction = Get<double>(object, wire::kLateValueFraction);
  query_class.priority_weight = Get<double>(object, wire::kPriorityWeight);
  query_class.effect = ParseEffect(Get<std::string>(object, wire::kEffect));
  query_class.deduplication_window_us = GetOr<Micros>(object, wire::kDeduplicationWindow, 0);
  query_class.objective_per_work = GetOr<double>(object, wire::kObjectivePerWork, 0);
  return query_class;
}

// Reads the classes, each with its entries in the lists of the sharding object.
void ReadClasses(const Json& root, const Json& sharding, Settings& settings) {
  const Json& classes = Member(root, wire::kClasses);
  const auto minimum = Get<std::vector<double>>(sharding, wire::kMinimumCoverages);
  const auto complete = Get<std::vector<double>>(sharding, wire::kCompleteCoverages);
  const auto partial_value = Get<std::vector<double>>(sharding, wire::kPartialValueFactors);
  const auto fetch_requests = Get<std::vector<int>>(sharding, wire::kFetchPhaseRequests);
  if (!classes.is_array()) throw KeyError(wire::kClasses, "has the wrong type");
  for (std::size_t i = 0; i < classes.size(); ++i) {
    if (i >= minimum.size() || i >= complete.size() || i >= partial_value.size() ||
        i >= fetch_requests.size()) {
      throw KeyError(wire::kSharding, "has a list without an entry for class " + std::to_string(i));
    }
    QueryClassSettings query_class = ReadClass(classes[i]);
    query_class.min_coverage = minimum[i];
    query_class.complete_coverage = complete[i];
    query_class.partial_value_factor = partial_value[i];
    query_class.fetch_phase_requests = fetch_requests[i];
    settings.classes.push_back(query_class);
  }
}

void ReadTenants(const Json& root, Settings& settings) {
  if (!root.contains(wire::kTenants)) return;
  for (const Json& tenant : root[wire::kTenants]) {
    settings.tenants.push_back(
        {Get<double>(tenant, wire::kTenantQuota), Get<double>(tenant, wire::kTenantFraction)});
  }
}

void ReadCoordinator(const Json& root, Settings& settings) {
  settings.zone = Get<int>(root, wire::kZone);
  settings.fleet_size = Get<int>(root, wire::kFleetSize);
  settings.ordinal = Get<int>(root, wire::kOrdinal);
  settings.decision_interval_us = Get<Micros>(root, wire::kDecisionInterval);
  settings.over_quota_value_factor = GetOr<double>(root, wire::kOverQuotaValue, 1);
  settings.subscription_required =
      GetOr<std::string>(root, wire::kEndpointListMode, wire::kEndpointListAutomatic) ==
      wire::kEndpointListSubscribe;
}

void ReadSharding(const Json& sharding, Settings& settings) {
  settings.cells = Get<int>(sharding, wire::kCells);
  settings.reach = Get<int>(sharding, wire::kReach);
  settings.shards = Get<int>(sharding, wire::kShards);
  settings.max_requests_per_call = Get<int>(sharding, wire::kMaxRequestsPerCall);
  settings.key_affinity = GetOr<bool>(sharding, wire::kKeyAffinity, false);
}

void ReadBounds(const Json& bounds, Settings& settings) {
  settings.max_attempts = Get<int>(bounds, wire::kMaxAttempts);
  settings.max_in_flight = GetOr<int>(bounds, wire::kMaxInFlight, 0);
  settings.cancellation_allowed = Get<bool>(bounds, wire::kCancellationAllowed);
  settings.health_checks_allowed = Get<bool>(bounds, wire::kHealthChecksAllowed);
  settings.hedging_allowed = Get<bool>(bounds, wire::kHedgingAllowed);
  settings.retry_after_allowed = Get<bool>(bounds, wire::kRetryAfterAllowed);
  settings.max_retry_after_us = GetOr<Micros>(bounds, wire::kMaxRetryAfter, 0);
}

void ReadRules(const Json& rules, Settings& settings) {
  settings.grace_to_answer_us = Get<Micros>(rules, wire::kGraceToAnswer);
  settings.drain_grace_us = GetOr<Micros>(rules, wire::kDrainGrace, 0);
  settings.poll_deadline_us = GetOr<Micros>(rules, wire::kPollDeadline, 0);
  settings.slow_start_capacity = GetOr<double>(rules, wire::kSlowStartCapacity, 1);
  settings.slow_start_us = GetOr<Micros>(rules, wire::kSlowStart, 0);
  settings.collapse_load_multiple = GetOr<double>(rules, wire::kCollapseLoadMultiple, 0);
  settings.collapse_window_us = GetOr<Micros>(rules, wire::kCollapseWindow, 0);
  settings.has_retry_budget = rules.contains(wire::kRetryBudgetWindow);
  if (!settings.has_retry_budget) return;
  settings.retry_budget_window_us = Get<Micros>(rules, wire::kRetryBudgetWindow);
  settings.retry_budget_floor = GetOr<double>(rules, wire::kRetryBudgetFloor, 0);
  settings.retry_budget_ratio = GetOr<double>(rules, wire::kRetryBudgetRatio, 0);
}

Settings Read(const Json& root) {
  Settings settings;
  const Json& sharding = Member(root, wire::kSharding);
  ReadClasses(root, sharding, settings);
  ReadTenants(root, settings);
  ReadCoordinator(root, settings);
  ReadSharding(sharding, settings);
  ReadBounds(Member(root, wire::kBounds), settings);
  ReadRules(Member(root, wire::kRules), settings);
  return settings;
}

}  // namespace

Settings ParseRoutingSettings(std::string_view text) {
  Json root = Json::parse(text, nullptr, false);
  if (root.is_discarded() || !root.is_object()) throw SettingsError("settings: not a JSON object");
  Settings settings;
  try {
    settings = Read(root);
  } catch (const Json::exception& error) {
    throw SettingsError(std::string("settings: ") + error.what());
  }
  if (auto problem = routing::CheckSettings(settings)) {
    throw SettingsError("settings: " + routing::DescribeInvalidSetting(*problem));
  }
  return settings;
}

}  // namespace liftrudder::config
