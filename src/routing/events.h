// What the router is notified of: endpoint lists, queries, outcomes, timers. Plain data; decides nothing.
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
  kFull,    // all entries; what is missing was removed
  kCached,  // all entries as retained from before, not fresh from the list service
  kFailed,  // the list service did not answer, or a subscription broke; no entries
};

struct EndpointListUpdate {
  EndpointListKind kind = EndpointListKind::kFull;
  std::uint64_t version = 0;
  std::vector<Endpoint> endpoints;
};

// A query. Its shard requests follow among the same events; those of its fetch phase come later, alone.
struct QueryReceived {
  Id id = 0;
  std::int64_t number = 0;  // its shard requests carry the same
  int shard_requests = 0;   // how many follow
  int class_index = 0;      // into Settings::classes
  int tenant = 0;           // into Settings::tenants
  bool is_retry = false;    // the client marked it as one
  std::uint64_t key = 0;    // 0: none
  Micros timeout_remaining_us = 0;
  Micros work_us = 0;  // the client's estimate; 0: unknown
};

struct ShardRequestReceived {
  Id id = 0;
  std::int64_t number = 0;  // of its query
  int shard = 0;
  double weight = 0;      // coverage that its answer adds, within 0 and 1
  std::uint64_t key = 0;  // for key affinity; 0: none
  Micros work_us = 0;     // the client's estimate; 0: unknown
};

enum class AttemptOutcome {
  kOk,
  kError,
  kOverloaded,  // the endpoint rejected it before it ran
  kTimeout,     // by this side's clock
  kConnectFailed,
  kReset,  // the connection was lost under it
  kCancelled,
  kNotSent,  // cancelled before its first byte
};

// The outcome of one Send.
struct AttemptFinished {
  Id shard_request = 0;
  int attempt = 0;  // 0 is the first
  EndpointId endpoint;
  AttemptOutcome code = AttemptOutcome::kOk;
  Micros spent_us = 0;              // since its Send
  bool shard_request_done = false;  // it gets no more outcomes
  std::vector<double> load;         // load report of the endpoint; empty: none
};

// On the simulator's wire; the router ignores it.
struct HealthCheckFinished {
  EndpointId endpoint;
  AttemptOutcome code = AttemptOutcome::kOk;
  Micros spent_us = 0;
  std::vector<double> load;
};

// No answer to the query can be delivered any more.
struct ClientDisconnected {
  Id id = 0;
};

// A SetTimer has run out.
struct TimerFired {
  std::uint64_t label = 0;
};

// On the simulator's wire; the router ignores it.
struct GossipMessage {
  std::uint32_t from = 0;
  std::string text;
};

using Event = std::variant<EndpointListUpdate, QueryReceived, ShardRequestReceived, AttemptFinished,
                           HealthCheckFinished, ClientDisconnected, TimerFired, GossipMessage>;

}  // namespace liftrudder::routing

#endif  // LIFTRUDDER_ROUTING_EVENTS_H_
