#include "limits/shutdown_timeouts.h"

#include <algorithm>

namespace liftrudder::limits {
namespace {

using routing::Micros;

// The platform's rule for a planned restart: SIGKILL comes no sooner after SIGTERM than the longest client
// timeout, of which at most kMaxCountedTimeoutUs counts, plus kListenUs.
constexpr Micros kListenUs = 700'000;
constexpr Micros kMaxCountedTimeoutUs = 3'000'000;

}  // namespace

ShutdownTimeouts ShutdownTimeoutsOf(const routing::Settings& settings) {
  ShutdownTimeouts timeouts;
  for (const routing::QueryClassSettings& query_class : settings.classes) {
    timeouts.longest_client_timeout_us =
        std::max(timeouts.longest_client_timeout_us, query_class.client_timeout_us);
  }
  timeouts.listen_us = kListenUs;
  timeouts.kill_us = std::min(timeouts.longest_client_timeout_us, kMaxCountedTimeoutUs) + kListenUs;
  timeouts.answer_within_us = timeouts.kill_us - routing::kMaxWriteDelayUs;
  return timeouts;
}

}  // namespace liftrudder::limits
