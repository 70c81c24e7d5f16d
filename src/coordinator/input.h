// The inputs that reach the coordinator thread through its queue. Plain data.
#ifndef LIFTRUDDER_COORDINATOR_INPUT_H_
#define LIFTRUDDER_COORDINATOR_INPUT_H_

#include <memory>
#include <variant>

#include "coordinator/interfaces.h"

namespace liftrudder::coordinator {

// A query that has been admitted.
struct QueryArrival {
  Id id = 0;  // its shard requests have the ids that follow
  QueryRequest request;
  std::shared_ptr<ClientReply> reply;
};

// A front no longer waits for the answer to a query.
struct ClientDisconnect {
  Id id = 0;
  // Why the front no longer waits.
  decision_log::IntakeResult reason = decision_log::IntakeResult::kClientDisconnected;
};

// The process has received SIGTERM.
struct Shutdown {
  Micros answer_by_us = 0;  // until when a final answer is sure to reach its client
};

using Input =
    std::variant<QueryArrival, ClientDisconnect, AttemptResult, routing::EndpointListUpdate, Shutdown>;

}  // namespace liftrudder::coordinator

#endif  // LIFTRUDDER_COORDINATOR_INPUT_H_
