// The endpoints that a zone lists for a service: SRV records name them, A records have their addresses, TXT
// records their cells and start times. Pure; no I/O.
#ifndef LIFTRUDDER_DNS_SERVICE_ENDPOINTS_H_
#define LIFTRUDDER_DNS_SERVICE_ENDPOINTS_H_

#include <map>
#include <string>

#include "coordinator/endpoint_registry.h"
#include "dns/zone.h"

namespace liftrudder::dns {

using EndpointsByName = std::map<std::string, coordinator::EndpointEntry>;

// The endpoints of `service`, the owner of the SRV records, by their targets' names. One that has no address
// or no cell is left out.
EndpointsByName ServiceEndpoints(const Zone& zone, const std::string& service);

}  // namespace liftrudder::dns

#endif  // LIFTRUDDER_DNS_SERVICE_ENDPOINTS_H_
