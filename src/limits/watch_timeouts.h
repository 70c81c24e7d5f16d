// How long a gatherer waits before it asks for the holder list: at its start, and after its watch was lost.
// Decides from the settings alone, without clock, randomness or I/O; the waits are bounds under which Backoff
// draws. For any thread.
#ifndef LIFTRUDDER_LIMITS_WATCH_TIMEOUTS_H_
#define LIFTRUDDER_LIMITS_WATCH_TIMEOUTS_H_

#include "routing/router.h"

namespace liftrudder::limits {

struct WatchTimeouts {
  routing::Micros start_us = 0;  // before the first call of all
  routing::Micros serve_us = 0;  // for its answer, before clients are served from the list known before
  routing::Micros first_us = 0;  // after the first failure; doubled by each further one
  routing::Micros most_us = 0;   // up to this one
};

WatchTimeouts WatchTimeoutsOf(const routing::Settings& settings);

}  // namespace liftrudder::limits

#endif  // LIFTRUDDER_LIMITS_WATCH_TIMEOUTS_H_
