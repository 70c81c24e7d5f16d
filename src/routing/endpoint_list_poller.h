// Polling of the endpoint list: when a failed call to the list service is repeated. Owned by one router; not
// thread-safe. It reads no list.
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

// What to do after an endpoint list event: at most one of both.
struct PollDecision {
  bool subscribe_now = false;
  std::optional<Micros> poll_after_us;
};

class EndpointListPoller {
 public:
  // `settings` must outlive it.
  explicit EndpointListPoller(const Settings& settings) : settings_(settings) {}

  // Backs off exponentially with jitter after a failure: a list service that is full turns calls away at
  // once, and a large fleet that calls again in the same round keeps it full. Also covers a broken
  // subscription. The random value is drawn only where a wait is decided.
  PollDecision OnUpdate(EndpointListKind kind, Random& random);

 private:
  const Settings& settings_;
  int failures_ = 0;  // since the list service last answered
};

}  // namespace liftrudder::routing

#endif  // LIFTRUDDER_ROUTING_ENDPOINT_LIST_POLLER_H_
