// How long a coordinator waits before it calls the source of the endpoint list: at start-up, and after it has
// lost its watch. Computed from the settings alone, without clock, randomness or I/O; Backoff draws the
// actual waits below these bounds. Thread-safe.
#ifndef LIFTRUDDER_LIMITS_WATCH_TIMEOUTS_H_
#define LIFTRUDDER_LIMITS_WATCH_TIMEOUTS_H_

#include "routing/router.h"

namespace liftrudder::limits {

struct WatchTimeouts {
  routing::Micros initial_delay_us = 0;  // upper bound of the delay before the first call
  // How long to wait for a first list before clients are served with the cached one.
  routing::Micros first_list_timeout_us = 0;
  routing::Micros first_backoff_us = 0;  // upper bound of the wait after a first failure
  routing::Micros max_backoff_us = 0;    // upper bound of the wait after any failure
};

WatchTimeouts WatchTimeoutsOf(const routing::Settings& settings);

}  // namespace liftrudder::limits

#endif  // LIFTRUDDER_LIMITS_WATCH_TIMEOUTS_H_
