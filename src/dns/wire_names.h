// Names in zones and in the operator's file.
#ifndef LIFTRUDDER_DNS_WIRE_NAMES_H_
#define LIFTRUDDER_DNS_WIRE_NAMES_H_

#include <string_view>

namespace liftrudder::dns::wire_names {

// Keys of an endpoint's TXT strings, each of the form KEY=NUMBER.
inline constexpr std::string_view kCell = "cell";
inline constexpr std::string_view kStartedMs = "started_ms";  // on the coordinator's clock

// Members of the operator's file.
inline constexpr const char* kOpenSearch = "opensearch";
inline constexpr const char* kZone = "zone";
inline constexpr const char* kZoneFile = "file";
inline constexpr const char* kZoneService = "service";
inline constexpr const char* kZoneUpdateListen = "update_listen";

}  // namespace liftrudder::dns::wire_names

#endif  // LIFTRUDDER_DNS_WIRE_NAMES_H_
