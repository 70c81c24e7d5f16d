// Exponential backoff with full jitter, for failures that affect a whole fleet at once: each wait is a random
// duration below a bound that doubles with every failure, up to a maximum. Computes waits only; does not
// sleep. Not thread-safe.
#ifndef LIFTRUDDER_LIMITS_BACKOFF_H_
#define LIFTRUDDER_LIMITS_BACKOFF_H_

#include <cstdint>

#include "limits/jitter.h"

namespace liftrudder::limits {

class Backoff {
 public:
  using Micros = Jitter::Micros;

  // The wait after the first failure is below `first_bound_us`, every wait below `max_bound_us`. Each
  // coordinator of a fleet needs a different seed, or coordinators that fail together also retry together.
  Backoff(Micros first_bound_us, Micros max_bound_us, std::uint64_t seed)
      : first_bound_us_(first_bound_us), max_bound_us_(max_bound_us), jitter_(seed) {}

  // Returns a random duration in [0, span_us), independent of the number of failures.
  Micros RandomBelow(Micros span_us) { return jitter_.RandomBelow(span_us); }
  // Counts a failure and returns how long to wait before the next attempt.
  Micros NextWait();
  // To be called after a success: the next failure counts as the first.
  void Reset() { failures_ = 0; }
  // The number of failures since the last success.
  int failures() const { return failures_; }

 private:
  Micros first_bound_us_;
  Micros max_bound_us_;
  Jitter jitter_;
  int failures_ = 0;
};

}  // namespace liftrudder::limits

#endif  // LIFTRUDDER_LIMITS_BACKOFF_H_
