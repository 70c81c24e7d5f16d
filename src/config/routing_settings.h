// Reads the routing module's settings from JSON. The coordinator's configuration and the simulator's first
// message contain the same object. A pure function; any thread.
#ifndef LIFTRUDDER_CONFIG_ROUTING_SETTINGS_H_
#define LIFTRUDDER_CONFIG_ROUTING_SETTINGS_H_

#include <string_view>

#include "config/config_error.h"
#include "routing/settings.h"

namespace liftrudder::config {

// Reads and checks the settings; throws SettingsError. Required keys must be present; unknown keys are
// ignored.
routing::Settings ParseRoutingSettings(std::string_view text);

}  // namespace liftrudder::config

#endif  // LIFTRUDDER_CONFIG_ROUTING_SETTINGS_H_
