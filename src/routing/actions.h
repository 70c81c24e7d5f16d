// What the router decides, each action with its reason. Plain data.
#ifndef LIFTRUDDER_ROUTING_ACTIONS_H_
#define LIFTRUDDER_ROUTING_ACTIONS_H_

#include <cstdint>
#include <variant>

#include "routing/reasons.h"
#include "routing/types.h"

namespace liftrudder::routing {

struct Send {
  Id shard_request = 0;
  EndpointId endpoint;
  Micros timeout_us = 0;
  DispatchReason reason = {};
};
struct Answer {
  Id query = 0;
  bool complete = false;
  CompletionReason reason = {};
};
struct Reject {
  Id query = 0;
  Micros retry_after_us = 0;
  CompletionReason reason = {};
};
struct Fail {
  Id query = 0;
  CompletionReason reason = {};
};
struct Cancel {
  Id shard_request = 0;
  int attempt = 0;
  CancelReason reason = CancelReason::kAnswered;
};
struct Close {  // the idle connections to a replica
  EndpointId endpoint;
  CloseReason reason = CloseReason::kDeadConnection;
};
struct SetTimer {
  Micros span_us = 0;
  std::uint64_t label = 0;
};
struct Subscribe {};

using Action = std::variant<Send, Answer, Reject, Fail, Cancel, Close, SetTimer, Subscribe>;

}  // namespace liftrudder::routing

#endif  // LIFTRUDDER_ROUTING_ACTIONS_H_
