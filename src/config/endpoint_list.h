// Reads endpoint lists, as discovery sends them and as the configuration carries a cached one. Pure
// functions; any thread.
#ifndef LIFTRUDDER_CONFIG_ENDPOINT_LIST_H_
#define LIFTRUDDER_CONFIG_ENDPOINT_LIST_H_

#include <string_view>

#include "config/config.h"
#include "coordinator/endpoint_registry.h"

namespace liftrudder::config {

// Zones and kinds are looked up by name in `config`; a name that it does not have counts as the first. Throws
// EndpointListError.
coordinator::EndpointList ParseEndpointList(std::string_view text, const Config& config);

}  // namespace liftrudder::config

#endif  // LIFTRUDDER_CONFIG_ENDPOINT_LIST_H_
