// Reads the routing module's settings from their JSON, for both programs: the coordinator's configuration and
// the simulator's first message carry the same object.
#ifndef LIFTRUDDER_CONFIG_ROUTING_SETTINGS_H_
#define LIFTRUDDER_CONFIG_ROUTING_SETTINGS_H_

#include <stdexcept>
#include <string_view>

#include "routing/settings.h"

namespace liftrudder::config {

// Which key of the settings is missing, of the wrong type, or impossible.
class SettingsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Reads and checks the settings; throws SettingsError.
routing::Settings ParseRoutingSettings(std::string_view text);

}  // namespace liftrudder::config

#endif  // LIFTRUDDER_CONFIG_ROUTING_SETTINGS_H_
