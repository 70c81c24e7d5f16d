// How much time a coordinator has for a graceful shutdown, from SIGTERM on. Computed from the settings alone,
// without clock or I/O. Thread-safe.
#ifndef LIFTRUDDER_LIMITS_SHUTDOWN_TIMEOUTS_H_
#define LIFTRUDDER_LIMITS_SHUTDOWN_TIMEOUTS_H_

#include "routing/router.h"

namespace liftrudder::limits {

// All spans begin when the process receives SIGTERM.
struct ShutdownTimeouts {
  routing::Micros longest_client_timeout_us = 0;  // of any class
  // How long new clients are still accepted, since load balancers notice late.
  routing::Micros listen_us = 0;
  // When the process may be killed at the earliest. What is unanswered then is lost.
  routing::Micros kill_us = 0;
  // Until when a final answer is sure to be written before the process is killed.
  routing::Micros answer_within_us = 0;
};

ShutdownTimeouts ShutdownTimeoutsOf(const routing::Settings& settings);

}  // namespace liftrudder::limits

#endif  // LIFTRUDDER_LIMITS_SHUTDOWN_TIMEOUTS_H_
