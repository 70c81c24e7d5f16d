// A seeded pseudo-random generator and the hash that breaks ties by key, both deterministic. Not for
// cryptography. A generator belongs to one router and is not thread-safe.
#ifndef LIFTRUDDER_ROUTING_RANDOM_H_
#define LIFTRUDDER_ROUTING_RANDOM_H_

#include <cstdint>

#include "routing/types.h"

namespace liftrudder::routing {

// SplitMix64 (Steele, Lea and Flood, 2014). The same seed and order of calls give the same values.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}

  // Uniform in [0, 1).
  double NextUnit();

 private:
  std::uint64_t state_;
};

// Ranks an endpoint for a key's shard requests in a cell (rendezvous hashing). All coordinators compute the
// same rank without communication.
std::uint64_t AffinityRank(std::uint64_t key, std::uint64_t cell, const EndpointId& endpoint);

}  // namespace liftrudder::routing

#endif  // LIFTRUDDER_ROUTING_RANDOM_H_
