// A DNS zone as a source of holders: SRV names them, A has their addresses, TXT their cells.
#ifndef LIFTRUDDER_DNS_ZONE_H_
#define LIFTRUDDER_DNS_ZONE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordinator/endpoint_registry.h"

namespace liftrudder::dns {

constexpr std::uint16_t kTypeA = 1, kTypeNs = 2, kTypeSoa = 6, kTypeTxt = 16, kTypeSrv = 33, kTypeAny = 255;
constexpr std::uint16_t kClassIn = 1, kClassNone = 254, kClassAny = 255;

// Names are lower case and end in a dot; `data` is as on the wire, names in it uncompressed.
struct Record {
  std::string name;
  std::uint16_t type = 0;
  std::uint32_t ttl = 0;
  std::string data;
};

struct Zone {
  std::string origin;
  std::vector<Record> records;
  bool Holds(std::string_view name) const;
};

// Reads a zone file (RFC 1035, section 5: $ORIGIN, $TTL, parentheses, comments; types SOA, NS, A, TXT, SRV).
// Throws std::runtime_error naming the line.
Zone ParseZone(std::string_view text);

// The wire form of a name, and back; nothing when a label or the name is too long.
std::optional<std::string> WireName(std::string_view name);

// The holders that a service's SRV records name, by target. One without an address or a cell is left out.
std::map<std::string, coordinator::EndpointEntry> Holders(const Zone& zone, const std::string& service);

}  // namespace liftrudder::dns

#endif  // LIFTRUDDER_DNS_ZONE_H_
