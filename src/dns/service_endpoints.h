// The endpoints that a zone lists for a service: SRV records have their names and ports, A records their
// addresses, TXT records their cells and start times. No I/O.
#ifndef LIFTRUDDER_DNS_SERVICE_ENDPOINTS_H_
#define LIFTRUDDER_DNS_SERVICE_ENDPOINTS_H_

#include <map>
#include <string>

#include "coordinator/endpoint_registry.h"
#include "dns/zone.h"

namespace liftrudder::dns {

using EndpointsByName = std::map<std::string, coordinator::EndpointEntry>;

// Returns the endpoints of `service`, the owner of the SRV records, by the names of their targets. Endpoints
// without an address or a cell are left out.
EndpointsByName ServiceEndpoints(const Zone& zone, const std::string& service);

}  // namespace liftrudder::dns

#endif  // LIFTRUDDER_DNS_SERVICE_ENDPOINTS_H_
