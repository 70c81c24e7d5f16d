// Identifiers, times and endpoints, as all of the routing module names them. Plain data.
#ifndef LIFTRUDDER_ROUTING_TYPES_H_
#define LIFTRUDDER_ROUTING_TYPES_H_

#include <compare>
#include <cstdint>

namespace liftrudder::routing {

using Micros = std::int64_t;  // times and spans; the clock has no particular origin
using Id = std::uint32_t;     // a query or a part

struct EndpointId {
  std::uint32_t address = 0;
  std::uint16_t port = 0;
  auto operator<=>(const EndpointId&) const = default;
};

enum class Availability { kGone, kReady, kDraining };

struct Endpoint {
  EndpointId id;
  int zone = 0;
  int kind = 0;
  int cell = 0;
  Availability availability = Availability::kReady;
  double weight = 1;
  Micros started_us = 0;  // 0: long ago
};

}  // namespace liftrudder::routing

#endif  // LIFTRUDDER_ROUTING_TYPES_H_
