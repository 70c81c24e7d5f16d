// Identifiers, times and endpoints used throughout the routing module. Plain data without logic.
#ifndef LIFTRUDDER_ROUTING_TYPES_H_
#define LIFTRUDDER_ROUTING_TYPES_H_

#include <compare>
#include <cstdint>

namespace liftrudder::routing {

// A point in time or a duration, in microseconds. The clock is monotonic and has an arbitrary origin.
using Micros = std::int64_t;

// Identifies a query or a shard request. Ids are unique among the queries, or shard requests, in flight.
using Id = std::uint32_t;

struct EndpointId {
  std::uint32_t address = 0;
  std::uint16_t port = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): the check takes the defaulted operator for a comparison with 0.
  auto operator<=>(const EndpointId&) const = default;
};

enum class Availability {
  kRemoved,  // no longer in the endpoint list
  kReady,
  kDraining,  // gets no new requests
};

// An entry of the endpoint list.
struct Endpoint {
  EndpointId id;
  int zone = 0;
  int kind = 0;
  int cell = 0;  // determines the shards that it holds, see Settings::cells
  Availability availability = Availability::kReady;
  double weight = 1;      // capacity relative to the other endpoints
  Micros started_us = 0;  // start time of its process; 0: long ago
};

}  // namespace liftrudder::routing

#endif  // LIFTRUDDER_ROUTING_TYPES_H_
