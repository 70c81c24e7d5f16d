#include "limits/watch_timeouts.h"

#include <algorithm>

namespace liftrudder::limits {
namespace {

using routing::Micros;

// Where the list must be polled, discovery is one service for the whole fleet, which rejects calls that have
// waited too long. If all coordinators called it at once, it would spend its time on rejections and answer
// none of them. The waits therefore grow with the fleet, by a fixed amount per coordinator, up to a fraction
// of the settings' poll deadline.
constexpr Micros kInitialDelayPerCoordinatorUs = 30'000;
constexpr Micros kFirstBackoffPerCoordinatorUs = 50'000;
constexpr Micros kMaxBackoffPerCoordinatorUs = 200'000;
constexpr double kInitialDelayFraction = 0.3;
constexpr double kFirstBackoffFraction = 1.0 / 8;
constexpr double kMaxBackoffFraction = 1.0 / 2;
constexpr Micros kDefaultPollDeadlineUs = 10'000'000;

// Where changes are pushed, the list comes from an agent on the coordinator's own machine, which serves no
// other coordinator and answers immediately. A change counts as notified as soon as the agent has it, so each
// wait uses up part of the drain grace period. There is therefore no wait at start-up, and later ones are
// bounded by these fractions of that period.
constexpr double kAgentFirstBackoffFraction = 1.0 / 40;
constexpr double kAgentMaxBackoffFraction = 1.0 / 4;
// When the process starts, endpoints of the cached list may have been draining for a long time. The cached
// list is therefore used only if the agent has not answered within this fraction of the grace period. Until
// the agent responds, changes do not count as notified either.
constexpr double kAgentFirstListFraction = 1.0 / 4;
constexpr Micros kDefaultDrainGraceUs = 1'000'000;

Micros FractionOf(double fraction, Micros period_us) {
  return static_cast<Micros>(fraction * static_cast<double>(period_us));
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
  auto wait = [&](Micros per_coordinator_us, double fraction) {
    return std::min(per_coordinator_us * settings.fleet_size, FractionOf(fraction, deadline_us));
  };
  WatchTimeouts timeouts;
  timeouts.initial_delay_us = wait(kInitialDelayPerCoordinatorUs, kInitialDelayFraction);
  timeouts.first_backoff_us = wait(kFirstBackoffPerCoordinatorUs, kFirstBackoffFraction);
  timeouts.max_backoff_us = wait(kMaxBackoffPerCoordinatorUs, kMaxBackoffFraction);
  return timeouts;
}

}  // namespace

WatchTimeouts WatchTimeoutsOf(const routing::Settings& settings) {
  return settings.subscription_required ? SharedServiceTimeouts(settings) : LocalAgentTimeouts(settings);
}

}  // namespace liftrudder::limits
