// The JSON settings of an instance, read into the plain types of the interface. No key has a default that
// matters: a key that must be there and is not is an error; a key that is not known is skipped.
#include "config/routing_settings.h"

#include <nlohmann/json.hpp>

#include "routing/settings_validation.h"

namespace liftrudder::config {
namespace {

using routing::CheckSettings;
using routing::Effect;
using routing::Micros;
using routing::QueryClassSettings;
using routing::Settings;
using Json = nlohmann::json;

const Json& Need(const Json& object, const char* key) {
  auto found = object.find(key);
  if (found == object.end()) throw SettingsError(std::string("settings: '") + key + "' is missing");
  return *found;
}

template <typename T>
T Get(const Json& object, const char* key) {
  try {
    return Need(object, key).get<T>();
  } catch (const Json::exception&) {
    throw SettingsError(std::string("settings: '") + key + "' has the wrong type");
  }
}

template <typename T>
T GetOr(const Json& object, const char* key, T otherwise) {
  return object.contains(key) ? Get<T>(object, key) : otherwise;
}

Effect ParseEffect(const std::string& name) {
  if (name == "idempotent") return Effect::kIdempotent;
  if (name == "deduplicated") return Effect::kIdempotencyKey;
  if (name == "at_most_once") return Effect::kNonIdempotent;
  throw SettingsError("settings: 'effect' is '" + name + "', which is unknown");
}

Settings Read(const Json& conf) {
  Settings out;
  const Json& info = Need(conf, "familyInfo");
  const Json& grades = Need(conf, "grades");
  auto floors = Get<std::vector<double>>(info, "classFloor");
  auto wholes = Get<std::vector<double>>(info, "wholeAt");
  auto incomplete = Get<std::vector<double>>(info, "incompleteWorth");
  auto fetches = Get<std::vector<int>>(info, "classFetch");
  if (!grades.is_array()) throw SettingsError("settings: 'grades' has the wrong type");
  for (std::size_t i = 0; i < grades.size(); ++i) {
    if (i >= floors.size() || i >= wholes.size() || i >= incomplete.size() || i >= fetches.size()) {
      throw SettingsError("settings: 'familyInfo' has no figures for class " + std::to_string(i));
    }
    const Json& grade = grades[i];
    QueryClassSettings cls;
    cls.latency_objective_us = Get<Micros>(grade, "aimUs");
    cls.client_timeout_us = Get<Micros>(grade, "giveUpUs");
    cls.late_value_fraction = Get<double>(grade, "lateShare");
    cls.priority_weight = Get<double>(grade, "value");
    cls.effect = ParseEffect(Get<std::string>(grade, "effect"));
    cls.deduplication_window_us = GetOr<Micros>(grade, "repeatWindowUs", 0);
    cls.objective_per_work = GetOr<double>(grade, "aimStretch", 0);
    cls.fetch_phase_requests = fetches[i];
    cls.min_coverage = floors[i];
    cls.complete_coverage = wholes[i];
    cls.partial_value_factor = incomplete[i];
    out.classes.push_back(cls);
  }
  if (conf.contains("projects")) {
    for (const Json& project : conf["projects"]) {
      out.tenants.push_back({Get<double>(project, "allowancePerS"), Get<double>(project, "fraction")});
    }
  }
  out.zone = Get<int>(conf, "az");
  out.fleet_size = Get<int>(conf, "groupSize");
  out.ordinal = Get<int>(conf, "ordinal");
  out.decision_interval_us = Get<Micros>(conf, "resolutionUs");
  out.over_quota_value_factor = GetOr<double>(conf, "overShareWorth", 1);
  out.subscription_required = GetOr<std::string>(conf, "registryMode", "automatic") == "subscribe";
  out.cells = Get<int>(info, "cells");
  out.reach = Get<int>(info, "reach");
  out.shards = Get<int>(info, "slices");
  out.max_requests_per_call = Get<int>(info, "perCall");
  out.key_affinity = GetOr<bool>(info, "warmKeys", false);
  const Json& bounds = Need(conf, "bounds");
  out.max_attempts = Get<int>(bounds, "attemptsCap");
  out.max_in_flight = GetOr<int>(bounds, "maxOpen", 0);
  out.cancellation_allowed = Get<bool>(bounds, "cancelling");
  out.health_checks_allowed = Get<bool>(bounds, "probes");
  out.hedging_allowed = Get<bool>(bounds, "secondCopies");
  out.retry_after_allowed = Get<bool>(bounds, "retryAfter");
  out.max_retry_after_us = GetOr<Micros>(bounds, "maxRetryAfterUs", 0);
  const Json& rules = Need(conf, "rules");
  out.grace_to_answer_us = Get<Micros>(rules, "graceToAnswerUs");
  out.drain_grace_us = GetOr<Micros>(rules, "stopSendingWithinUs", 0);
  out.poll_deadline_us = GetOr<Micros>(rules, "askWithinUs", 0);
  out.slow_start_capacity = GetOr<double>(rules, "startCapacity", 1);
  out.slow_start_us = GetOr<Micros>(rules, "coldUs", 0);
  out.collapse_load_multiple = GetOr<double>(rules, "fallMultiple", 0);
  out.collapse_window_us = GetOr<Micros>(rules, "fallUs", 0);
  out.has_retry_budget = rules.contains("resendSpanUs");
  if (out.has_retry_budget) {
    out.retry_budget_window_us = Get<Micros>(rules, "resendSpanUs");
    out.retry_budget_floor = GetOr<double>(rules, "freeResends", 0);
    out.retry_budget_ratio = GetOr<double>(rules, "furtherRatio", 0);
  }
  return out;
}

}  // namespace

Settings ParseRoutingSettings(std::string_view text) {
  Json conf = Json::parse(text, nullptr, false);
  if (conf.is_discarded() || !conf.is_object()) throw SettingsError("settings: not a JSON object");
  Settings settings;
  try {
    settings = Read(conf);
  } catch (const Json::exception& error) {
    throw SettingsError(std::string("settings: ") + error.what());
  }
  if (auto problem = CheckSettings(settings)) throw SettingsError("settings: " + Describe(*problem));
  return settings;
}

}  // namespace liftrudder::config
