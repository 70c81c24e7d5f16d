// The actions that the router returns, with their reasons. Plain data; the caller performs them in order.
#ifndef LIFTRUDDER_ROUTING_ACTIONS_H_
#define LIFTRUDDER_ROUTING_ACTIONS_H_

#include <cstdint>
#include <optional>
#include <variant>

#include "routing/reasons.h"
#include "routing/types.h"

namespace liftrudder::routing {

// Send one attempt of a shard request. Attempts of a request are numbered from 0 in the order of their Sends.
struct Send {
  Id shard_request = 0;
  EndpointId endpoint;
  Micros timeout_us = 0;  // from now
  DispatchReason reason = {};
  // From now: the attempt's first byte must be written within this time, or it must not be sent. None: until
  // the timeout.
  std::optional<Micros> send_within_us = {};
};

// Answer a query, or its first phase, with the shard requests answered so far.
struct Answer {
  Id query = 0;
  bool complete = false;  // false: a partial result
  CompletionReason reason = {};
};

// End a query that its client may safely repeat.
struct Reject {
  Id query = 0;
  Micros retry_after_us = 0;  // 0: not stated
  CompletionReason reason = {};
};

// End a query that may have had an effect, or that cannot succeed.
struct Fail {
  Id query = 0;
  CompletionReason reason = {};
};

struct Cancel {
  Id shard_request = 0;
  int attempt = 0;
  CancelReason reason = CancelReason::kAnswered;
};

// Close the idle connections to an endpoint.
struct Close {
  EndpointId endpoint;
  CloseReason reason = CloseReason::kDeadConnection;
};

struct SetTimer {
  Micros span_us = 0;       // from now
  std::uint64_t label = 0;  // passed back in TimerFired
};

// Ask the list service for the endpoint list and its changes.
struct Subscribe {};

using Action = std::variant<Send, Answer, Reject, Fail, Cancel, Close, SetTimer, Subscribe>;

}  // namespace liftrudder::routing

#endif  // LIFTRUDDER_ROUTING_ACTIONS_H_
