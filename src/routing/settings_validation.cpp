#include "routing/settings_validation.h"

#include <sstream>

namespace liftrudder::routing {
namespace {

using Result = std::optional<InvalidSetting>;

Result AtLeastOne(std::string_view setting, int value) {
  if (value >= 1) return std::nullopt;
  return InvalidSetting{SettingsRule::kAtLeastOne, setting, static_cast<double>(value), std::nullopt};
}

Result NotNegative(std::string_view setting, Micros value) {
  if (value >= 0) return std::nullopt;
  return InvalidSetting{SettingsRule::kNotNegative, setting, static_cast<double>(value), std::nullopt};
}

Result CheckClass(const QueryClassSettings& cls, std::size_t index) {
  auto objective_us = static_cast<double>(cls.latency_objective_us);
  auto timeout_us = static_cast<double>(cls.client_timeout_us);
  if (cls.latency_objective_us <= 0) {
    return InvalidSetting{SettingsRule::kPositive, "latency_objective_us", objective_us, index};
  }
  if (cls.client_timeout_us < cls.latency_objective_us) {
    return InvalidSetting{SettingsRule::kTimeoutCoversObjective, "client_timeout_us", timeout_us, index};
  }
  // Negated so that NaN is invalid.
  if (!(cls.min_coverage >= 0 && cls.min_coverage <= 1)) {
    return InvalidSetting{SettingsRule::kFraction, "min_coverage", cls.min_coverage, index};
  }
  if (!(cls.complete_coverage > 0 && cls.complete_coverage <= 1)) {
    return InvalidSetting{SettingsRule::kPositiveFraction, "complete_coverage", cls.complete_coverage, index};
  }
  if (cls.fetch_phase_requests < 0) {
    return InvalidSetting{SettingsRule::kNotNegative, "fetch_phase_requests",
                          static_cast<double>(cls.fetch_phase_requests), index};
  }
  return std::nullopt;
}

std::string_view RuleText(SettingsRule rule) {
  switch (rule) {
    case SettingsRule::kClassRequired:
      return "must hold at least one query class";
    case SettingsRule::kPositive:
      return "must be greater than 0";
    case SettingsRule::kAtLeastOne:
      return "must be 1 or more";
    case SettingsRule::kNotNegative:
      return "must be 0 or more";
    case SettingsRule::kFraction:
      return "must be between 0 and 1";
    case SettingsRule::kPositiveFraction:
      return "must be greater than 0 and at most 1";
    case SettingsRule::kTimeoutCoversObjective:
      return "must be at least latency_objective_us";
    case SettingsRule::kReachWithinCells:
      return "must be at most the number of cells";
  }
  return "is invalid";
}

}  // namespace

std::optional<InvalidSetting> CheckSettings(const Settings& settings) {
  if (settings.classes.empty()) {
    return InvalidSetting{SettingsRule::kClassRequired, "classes", 0, std::nullopt};
  }
  for (std::size_t index = 0; index < settings.classes.size(); ++index) {
    if (Result invalid = CheckClass(settings.classes[index], index)) return invalid;
  }
  if (Result invalid = AtLeastOne("cells", settings.cells)) return invalid;
  if (Result invalid = AtLeastOne("reach", settings.reach)) return invalid;
  if (settings.reach > settings.cells) {
    return InvalidSetting{SettingsRule::kReachWithinCells, "reach", static_cast<double>(settings.reach),
                          std::nullopt};
  }
  if (Result invalid = AtLeastOne("shards", settings.shards)) return invalid;
  if (Result invalid = AtLeastOne("fleet_size", settings.fleet_size)) return invalid;
  if (Result invalid = AtLeastOne("max_requests_per_call", settings.max_requests_per_call)) return invalid;
  if (Result invalid = AtLeastOne("max_attempts", settings.max_attempts)) return invalid;
  if (Result invalid = NotNegative("decision_interval_us", settings.decision_interval_us)) return invalid;
  if (Result invalid = NotNegative("slow_start_us", settings.slow_start_us)) return invalid;
  if (Result invalid = NotNegative("collapse_window_us", settings.collapse_window_us)) return invalid;
  if (settings.has_retry_budget && settings.retry_budget_window_us <= 0) {
    return InvalidSetting{SettingsRule::kPositive, "retry_budget_window_us",
                          static_cast<double>(settings.retry_budget_window_us), std::nullopt};
  }
  return std::nullopt;
}

std::string DescribeInvalidSetting(const InvalidSetting& invalid) {
  std::ostringstream text;
  text << '\'' << invalid.setting << "' ";
  if (invalid.class_index) text << "of class " << *invalid.class_index << ' ';
  if (invalid.rule != SettingsRule::kClassRequired) text << "is " << invalid.value << "; it ";
  text << RuleText(invalid.rule);
  return text.str();
}

}  // namespace liftrudder::routing
