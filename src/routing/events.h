// What the router is told: endpoint lists, queries, outcomes, timers. Plain data.
#ifndef LIFTRUDDER_ROUTING_EVENTS_H_
#define LIFTRUDDER_ROUTING_EVENTS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "routing/types.h"

namespace liftrudder::routing {

enum class EndpointListKind { kDelta, kFull, kCached, kFailed };
struct EndpointListUpdate {
  EndpointListKind kind = EndpointListKind::kFull;
  std::uint64_t version = 0;
  std::vector<Endpoint> endpoints;
};

// A query; its parts follow in the same span of events. Parts of a second step come later, alone.
struct QueryReceived {
  Id id = 0;
  std::int64_t number = 0;  // its parts carry the same
  int shard_requests = 0;
  int class_index = 0;
  int tenant = 0;
  bool is_retry = false;  // the client marks it as a further try
  std::uint64_t key = 0;
  Micros timeout_remaining_us = 0;
  Micros work_us = 0;  // 0: not told
};

struct ShardRequestReceived {
  Id id = 0;
  std::int64_t number = 0;  // of its query
  int shard = 0;
  double weight = 0;
  std::uint64_t key = 0;
  Micros work_us = 0;  // 0: not told
};

enum class AttemptOutcome {
  kOk,
  kError,
  kOverloaded,
  kTimeout,
  kConnectFailed,
  kReset,
  kCancelled,
  kNotSent
};

struct AttemptFinished {
  Id shard_request = 0;
  int attempt = 0;
  EndpointId endpoint;
  AttemptOutcome code = AttemptOutcome::kOk;
  Micros spent_us = 0;
  bool part_done = false;
  std::vector<double> load;  // as the settings of the site name them; empty: none
};

struct HealthCheckFinished {
  EndpointId endpoint;
  AttemptOutcome code = AttemptOutcome::kOk;
  Micros spent_us = 0;
  std::vector<double> load;
};

struct ClientDisconnected {
  Id id = 0;
};
struct TimerFired {
  std::uint64_t label = 0;
};
struct GossipMessage {
  std::uint32_t from = 0;
  std::string text;
};

using Event = std::variant<EndpointListUpdate, QueryReceived, ShardRequestReceived, AttemptFinished,
                           HealthCheckFinished, ClientDisconnected, TimerFired, GossipMessage>;

}  // namespace liftrudder::routing

#endif  // LIFTRUDDER_ROUTING_EVENTS_H_
