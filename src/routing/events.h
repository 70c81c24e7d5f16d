// The events that the router handles: endpoint lists, queries, outcomes and timers. Plain data without logic.
#ifndef LIFTRUDDER_ROUTING_EVENTS_H_
#define LIFTRUDDER_ROUTING_EVENTS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "routing/types.h"

namespace liftrudder::routing {

enum class EndpointListKind {
  kDelta,   // entries that changed
  kFull,    // all entries; an endpoint that is missing was removed
  kCached,  // all entries of a list known in advance, not from the list service
  kFailed,  // no entries: the list service did not answer, or a subscription broke
};

struct EndpointListUpdate {
  EndpointListKind kind = EndpointListKind::kFull;
  std::uint64_t version = 0;
  std::vector<Endpoint> endpoints;
};

// A query arrived. Its shard requests follow in the same round; those of its fetch phase arrive in a later
// round without another QueryReceived.
struct QueryReceived {
  Id id = 0;
  std::int64_t query_number = 0;  // its shard requests carry the same number
  int shard_requests = 0;         // how many shard requests follow
  int class_index = 0;            // into Settings::classes
  int tenant = 0;                 // into Settings::tenants
  bool is_retry = false;          // the client marked it as a retry
  std::uint64_t key = 0;          // 0: none
  Micros timeout_remaining_us = 0;
  Micros work_us = 0;  // the client's estimate; 0: unknown
};

struct ShardRequestReceived {
  Id id = 0;
  std::int64_t query_number = 0;  // of its query
  int shard = 0;
  double weight = 0;      // coverage that its answer adds, between 0 and 1
  std::uint64_t key = 0;  // for key affinity; 0: none
  Micros work_us = 0;     // the client's estimate; 0: unknown
};

enum class AttemptOutcome {
  kOk,
  kError,
  kOverloaded,  // the endpoint rejected it before it ran
  kTimeout,     // by the coordinator's clock
  kConnectFailed,
  kReset,  // the connection was lost while it was in flight
  kCancelled,
  kNotSent,  // ended before its first byte was sent, other than by a connection failure
};

// The outcome of one Send.
struct AttemptFinished {
  Id shard_request = 0;
  int attempt = 0;  // 0 is the first
  EndpointId endpoint;
  AttemptOutcome outcome = AttemptOutcome::kOk;
  Micros spent_us = 0;              // since its Send
  bool shard_request_done = false;  // the shard request gets no more outcomes
  std::vector<double> load;         // load report of the endpoint; empty: none
};

// Part of the simulator's protocol; the router ignores it.
struct HealthCheckFinished {
  EndpointId endpoint;
  AttemptOutcome outcome = AttemptOutcome::kOk;
  Micros spent_us = 0;
  std::vector<double> load;
};

// The query's client disconnected, so no answer can be delivered.
struct ClientDisconnected {
  Id id = 0;
};

// The process will end: every query, in flight or received later, is to have its answer within this time, or
// within its client's timeout if that ends earlier. Sent at most once.
struct ShutdownStarted {
  Micros answer_within_us = 0;
};

// The timer of a SetTimer expired.
struct TimerFired {
  std::uint64_t label = 0;
};

// Part of the simulator's protocol; the router ignores it.
struct GossipMessage {
  std::uint32_t from = 0;
  std::string text;
};

using Event =
    std::variant<EndpointListUpdate, QueryReceived, ShardRequestReceived, AttemptFinished,
                 HealthCheckFinished, ClientDisconnected, TimerFired, GossipMessage, ShutdownStarted>;

}  // namespace liftrudder::routing

#endif  // LIFTRUDDER_ROUTING_EVENTS_H_
