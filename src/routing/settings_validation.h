// Validation of the settings: finds values that cannot be used. Does not judge whether others are sensible.
#ifndef LIFTRUDDER_ROUTING_SETTINGS_VALIDATION_H_
#define LIFTRUDDER_ROUTING_SETTINGS_VALIDATION_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "routing/settings.h"

namespace liftrudder::routing {

// The rule that a setting breaks.
enum class SettingsRule : std::uint8_t {
  kClassRequired,           // at least one query class
  kPositive,                // above 0
  kAtLeastOne,              // 1 or more
  kNotNegative,             // 0 or more
  kFraction,                // between 0 and 1
  kPositiveFraction,        // above 0, at most 1
  kTimeoutCoversObjective,  // client_timeout_us is at least latency_objective_us
  kReachWithinCells,        // reach is at most cells
};

// An invalid setting: its field in Settings (or in a class), its value and the rule that it breaks.
struct InvalidSetting {
  SettingsRule rule = SettingsRule::kClassRequired;
  std::string_view setting;  // the field's name; a string literal
  double value = 0;
  std::optional<std::size_t> class_index;  // for a field of QueryClassSettings
};

// Returns the first invalid setting, or none if all are valid.
std::optional<InvalidSetting> CheckSettings(const Settings& settings);

// Describes an invalid setting in a sentence for an operator.
std::string DescribeInvalidSetting(const InvalidSetting& invalid);

}  // namespace liftrudder::routing

#endif  // LIFTRUDDER_ROUTING_SETTINGS_VALIDATION_H_
