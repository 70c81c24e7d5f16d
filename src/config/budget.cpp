#include "config/budget.h"

#include <algorithm>

namespace liftrudder::config {
namespace {

// Standard streams, the listener, discovery's old and new watch, clients that are just being accepted, closed
// or rejected.
constexpr int kReservedDescriptors = 48;
// A client connection's thread touches some 20 KiB of its stack; a head and a body of the largest size are 80
// KiB more.
constexpr int kClientConnectionsPerMb = 10;
// The rest of the memory is for the coordinator, its queue and the allocator.
constexpr int kClientMemoryNumerator = 2;
constexpr int kClientMemoryDenominator = 3;
// Below these nothing could be served at all.
constexpr int kMinDescriptors = 16;
constexpr int kMinClientConnections = 16;
constexpr int kMinClientRequests = 4;
// A query for every shard is at each endpoint at once. With fewer connections than endpoints, shard requests
// wait for a connection, and connections are closed and opened all the time. A quarter more is for endpoints
// that replace others and for hedges.
constexpr int kSpareEndpointDivisor = 4;
// Clients keep three eighths of the descriptors all the same: a coordinator of a large fleet has few clients.
constexpr int kMaxEndpointEighths = 5;
// Requests may take a third of the descriptors; idle connections come on top.
constexpr int kRequestDivisor = 3;

}  // namespace

Budget ShareOut(int descriptors, int memory_mb, int endpoints) {
  const int usable = std::max(kMinDescriptors, descriptors - kReservedDescriptors);
  const int threads = std::max(kMinClientConnections, memory_mb * kClientConnectionsPerMb *
                                                          kClientMemoryNumerator / kClientMemoryDenominator);
  const int quarter = std::min(usable, threads) / 4;
  const int one_for_each = endpoints + endpoints / kSpareEndpointDivisor;
  Budget budget;
  budget.endpoints = endpoints;
  // Connections to endpoints have no thread, so the memory bounds the clients' alone.
  budget.endpoint_connections = std::max(quarter, std::min(one_for_each, usable * kMaxEndpointEighths / 8));
  budget.client_connections = std::min(threads - quarter, usable - budget.endpoint_connections);
  budget.client_requests =
      std::min(budget.client_connections, std::max(kMinClientRequests, descriptors / kRequestDivisor));
  return budget;
}

}  // namespace liftrudder::config
