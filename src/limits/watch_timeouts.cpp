#include "limits/watch_timeouts.h"

#include <algorithm>

namespace liftrudder::limits {
namespace {

using routing::Micros;

// Where the list must be polled, discovery is one service for the whole fleet, and rejects calls that have
// waited too long. Called by all coordinators at once it would spend its time on rejections and answer none.
// The waits therefore grow with the fleet, by a slice for each coordinator, up to a fraction of the time
// within which the settings want the list polled.
constexpr Micros kInitialDelaySliceUs = 30'000;
constexpr Micros kFirstBackoffSliceUs = 50'000;
constexpr Micros kMaxBackoffSliceUs = 200'000;
constexpr double kInitialDelayFraction = 0.3;
constexpr double kFirstBackoffFraction = 1.0 / 8;
constexpr double kMaxBackoffFraction = 1.0 / 2;
constexpr Micros kDefaultPollDeadlineUs = 10'000'000;

// Where changes are pushed, the list comes from an agent on the coordinator's own machine, which serves
// nobody else and answers at once, and whatever the agent has counts as notified. Each wait takes from the
// time in which an endpoint drains, so there is none at start-up, and later ones are these fractions of that
// time.
constexpr double kAgentFirstBackoffFraction = 1.0 / 40;
constexpr double kAgentMaxBackoffFraction = 1.0 / 4;
// Endpoints may have been draining for long when the process starts, so nothing is sent by the cached list
// unless the agent stays silent for this fraction: what a silent agent misses counts as notified only later.
constexpr double kAgentFirstListFraction = 1.0 / 4;
constexpr Micros kDefaultDrainGraceUs = 1'000'000;

Micros FractionOf(double fraction, Micros whole_us) {
  return static_cast<Micros>(fraction * static_cast<double>(whole_us));
}

WatchTimeouts LocalAgentTimeouts(const routing::Settings& settings) {
  Micros grace_us = settings.drain_grace_us > 0 ? settings.drain_grace_us : kDefaultDrainGraceUs;
  WatchTimeouts timeouts;
  timeouts.first_list_timeout_us = FractionOf(kAgentFirstListFraction, grace_us);
  timeouts.first_backoff_us = FractionOf(kAgentFirstBackoffFraction, grace_us);
  timeouts.max_backoff_us = FractionOf(kAgentMaxBackoffFraction, grace_us);
  return timeouts;
}

WatchTimeouts SharedServiceTimeouts(const routing::Settings& settings) {
  Micros deadline_us = settings.poll_deadline_us > 0 ? settings.poll_deadline_us : kDefaultPollDeadlineUs;
  auto wait = [&](Micros slice_us, double fraction) {
    return std::min(slice_us * settings.fleet_size, FractionOf(fraction, deadline_us));
  };
  WatchTimeouts timeouts;
  timeouts.initial_delay_us = wait(kInitialDelaySliceUs, kInitialDelayFraction);
  timeouts.first_backoff_us = wait(kFirstBackoffSliceUs, kFirstBackoffFraction);
  timeouts.max_backoff_us = wait(kMaxBackoffSliceUs, kMaxBackoffFraction);
  return timeouts;
}

}  // namespace

WatchTimeouts WatchTimeoutsOf(const routing::Settings& settings) {
  return settings.subscription_required ? SharedServiceTimeouts(settings) : LocalAgentTimeouts(settings);
}

}  // namespace liftrudder::limits
