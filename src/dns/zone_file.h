// Reads zone files (RFC 1035 section 5): $ORIGIN, $TTL, parentheses, quoted strings, comments, and records of
// the types SOA, NS, A, TXT and SRV. No I/O.
#ifndef LIFTRUDDER_DNS_ZONE_FILE_H_
#define LIFTRUDDER_DNS_ZONE_FILE_H_

#include <string_view>

#include "dns/zone.h"
#include "dns/zone_error.h"

namespace liftrudder::dns {

// Throws ZoneError with the line and the value at fault.
Zone ParseZone(std::string_view text);

}  // namespace liftrudder::dns

#endif  // LIFTRUDDER_DNS_ZONE_FILE_H_
