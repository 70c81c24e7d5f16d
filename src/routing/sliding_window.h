// The times of recent events, oldest first. Not thread-safe.
#ifndef LIFTRUDDER_ROUTING_SLIDING_WINDOW_H_
#define LIFTRUDDER_ROUTING_SLIDING_WINDOW_H_

#include <algorithm>
#include <cstddef>
#include <deque>

#include "routing/types.h"

namespace liftrudder::routing {

class SlidingWindow {
 public:
  // Times must not go backwards.
  void Add(Micros at_us) { times_us_.push_back(at_us); }

  // Drops the times before `from_us`, so that memory use stays bounded.
  void DropBefore(Micros from_us) {
    while (!times_us_.empty() && times_us_.front() < from_us) times_us_.pop_front();
  }

  // Number of events at `from_us` or later.
  std::size_t CountFrom(Micros from_us) const {
    return static_cast<std::size_t>(times_us_.end() -
                                    std::lower_bound(times_us_.begin(), times_us_.end(), from_us));
  }

  std::size_t Size() const { return times_us_.size(); }

 private:
  std::deque<Micros> times_us_;
};

}  // namespace liftrudder::routing

#endif  // LIFTRUDDER_ROUTING_SLIDING_WINDOW_H_
