// Polling of the endpoint list: decides when a failed call to the list service is repeated. Owned by one
// router; not thread-safe. Does not read the list.
#ifndef LIFTRUDDER_ROUTING_ENDPOINT_LIST_POLLER_H_
#define LIFTRUDDER_ROUTING_ENDPOINT_LIST_POLLER_H_

#include <cstdint>
#include <optional>

#include "routing/events.h"
#include "routing/random.h"
#include "routing/settings.h"
#include "routing/types.h"

namespace liftrudder::routing {

// Label of the timer after which the list is polled again.
constexpr std::uint64_t kPollTimerLabel = 1;

// What to do after an endpoint list event. At most one of the two is set.
struct PollDecision {
  bool subscribe_now = false;
  std::optional<Micros> poll_after_us;
};

class EndpointListPoller {
 public:
  // `settings` must outlive it.
  explicit EndpointListPoller(const Settings& settings) : settings_(settings) {}

  // Backs off exponentially with jitter after a failure, also of a subscription: an overloaded list service
  // rejects calls at once, and a large fleet that repeats them in the same round keeps it overloaded. Draws a
  // random value only when it sets a wait.
  PollDecision OnUpdate(EndpointListKind kind, Random& random);

 private:
  const Settings& settings_;
  int failures_ = 0;  // since the list service last answered
};

}  // namespace liftrudder::routing

#endif  // LIFTRUDDER_ROUTING_ENDPOINT_LIST_POLLER_H_
