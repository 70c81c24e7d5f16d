#include "config/budget.h"

#include <algorithm>

namespace liftrudder::config {
namespace {

// Standard streams, the listener, discovery's old and new watch, and clients that are being accepted, closed
// or rejected.
constexpr int kReservedDescriptors = 48;
// A client connection with a request in progress has a worker thread, which touches some 20 KiB of its stack;
// a head and a body of the largest size take another 80 KiB.
constexpr int kClientConnectionsPerMb = 10;
// The remaining memory is for the coordinator, its queue and the allocator.
constexpr int kClientMemoryNumerator = 2;
constexpr int kClientMemoryDenominator = 3;
// Minima below which nothing could be served.
constexpr int kMinDescriptors = 16;
constexpr int kMinClientConnections = 16;
constexpr int kMinClientRequests = 4;
// A query for all shards has requests at every endpoint at once. With fewer connections than endpoints, shard
// requests wait for a connection, and connections are closed and reopened constantly. A quarter more is for
// endpoints that replace others and for hedges.
constexpr int kSpareEndpointDivisor = 4;
// Endpoint connections get at most this many eighths of the descriptors. The other three suffice for clients,
// since a coordinator of a large fleet has few of them.
constexpr int kMaxEndpointEighths = 5;
// At most a third of the descriptors are for client connections with a request in progress; idle connections
// may use more.
constexpr int kRequestDivisor = 3;

}  // namespace

Budget ComputeBudget(int descriptors, int memory_mb, int endpoints) {
  const int usable = std::max(kMinDescriptors, descriptors - kReservedDescriptors);
  const int max_by_memory =
      std::max(kMinClientConnections,
               memory_mb * kClientConnectionsPerMb * kClientMemoryNumerator / kClientMemoryDenominator);
  const int endpoint_minimum = std::min(usable, max_by_memory) / 4;
  const int one_per_endpoint = endpoints + endpoints / kSpareEndpointDivisor;
  Budget budget;
  budget.endpoints = endpoints;
  // Endpoint connections have no threads, so the memory bounds only client connections.
  budget.endpoint_connections =
      std::max(endpoint_minimum, std::min(one_per_endpoint, usable * kMaxEndpointEighths / 8));
  budget.client_connections =
      std::min(max_by_memory - endpoint_minimum, usable - budget.endpoint_connections);
  budget.client_requests =
      std::min(budget.client_connections, std::max(kMinClientRequests, descriptors / kRequestDivisor));
  return budget;
}

}  // namespace liftrudder::config
