// Reads endpoint lists: those that discovery sends, and the cached one in the configuration. A pure function;
// any thread.
#ifndef LIFTRUDDER_CONFIG_ENDPOINT_LIST_H_
#define LIFTRUDDER_CONFIG_ENDPOINT_LIST_H_

#include <string_view>

#include "config/config.h"
#include "coordinator/endpoint_registry.h"

namespace liftrudder::config {

// Zones and kinds are looked up by name in `config`; an unknown name maps to index 0. Throws
// EndpointListError.
coordinator::EndpointList ParseEndpointList(std::string_view text, const Config& config);

}  // namespace liftrudder::config

#endif  // LIFTRUDDER_CONFIG_ENDPOINT_LIST_H_
