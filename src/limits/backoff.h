// When to try again after failures that a whole group meets at once: full jitter under a bound that doubles
// with each failure up to a cap. Decides only how long to wait; it never sleeps or asks. Any one thread.
#ifndef LIFTRUDDER_LIMITS_BACKOFF_H_
#define LIFTRUDDER_LIMITS_BACKOFF_H_

#include <cstdint>

namespace liftrudder::limits {

class Backoff {
 public:
  using Micros = std::int64_t;

  // `first` bounds the wait after the first failure, `most` any; the seed is the gatherer's own, or a group
  // that fails together comes back together.
  Backoff(Micros first, Micros most, std::uint64_t seed) : first_(first), most_(most), state_(seed) {}

  // Somewhere within the span, each time elsewhere.
  Micros Within(Micros span);
  // After a failure.
  Micros Next();
  // After a success: the next failure is a first one.
  void Reset() { failures_ = 0; }
  int failures() const { return failures_; }

 private:
  Micros first_, most_;
  std::uint64_t state_;
  int failures_ = 0;
};

}  // namespace liftrudder::limits

#endif  // LIFTRUDDER_LIMITS_BACKOFF_H_
