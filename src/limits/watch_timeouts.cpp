#include "limits/watch_timeouts.h"

#include <algorithm>

namespace liftrudder::limits {
namespace {

using routing::Micros;

// Where calls load discovery it is one service for the whole group, and turns away what has waited too long.
// Asked again by all at once it drowns in the asking and tells nobody anything. So the waits grow with the
// group: for each gatherer of it a slice of time after the first failure and a larger one at most, both
// bounded by shares of the time within which the settings want it asked, and a slice before the first call.
constexpr Micros kStartSlice = 30'000;
constexpr Micros kFirstSlice = 50'000;
constexpr Micros kMostSlice = 200'000;
constexpr double kStartShare = 0.3;
constexpr double kFirstShare = 1.0 / 8;
constexpr double kMostShare = 1.0 / 2;
constexpr Micros kAskWithin = 10'000'000;  // where the settings say nothing

// Where changes come by themselves the list is with an agent on the gatherer's own machine, which serves
// nobody else and answers at once, and what it has counts as told. Each wait before it is asked is time in
// which a drain runs: none at the start, later these shares of the time after which sends must have stopped.
constexpr double kAgentFirstShare = 1.0 / 40;
constexpr double kAgentMostShare = 1.0 / 4;
// What the agent has counts as told from the first moment of a new process, and holders that leave may have
// been named to it long before: nothing is sent by the older list, unless the agent says nothing for so long:
// what a silent one misses counts as told seconds later only.
constexpr double kAgentServeShare = 1.0 / 4;
constexpr Micros kStopSending = 1'000'000;  // where the settings say nothing

Micros Share(double share, Micros of) { return static_cast<Micros>(share * static_cast<double>(of)); }

}  // namespace

WatchTimeouts WatchTimeoutsOf(const routing::Settings& settings) {
  if (!settings.subscription_required) {
    Micros stop = settings.drain_grace_us > 0 ? settings.drain_grace_us : kStopSending;
    return {0, Share(kAgentServeShare, stop), Share(kAgentFirstShare, stop), Share(kAgentMostShare, stop)};
  }
  Micros within = settings.poll_deadline_us > 0 ? settings.poll_deadline_us : kAskWithin;
  auto span = [&](Micros slice, double share) {
    return std::min(slice * settings.fleet_size, Share(share, within));
  };
  return {span(kStartSlice, kStartShare), 0, span(kFirstSlice, kFirstShare), span(kMostSlice, kMostShare)};
}

}  // namespace liftrudder::limits
