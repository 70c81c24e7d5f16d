// Random delays that keep the coordinators of a fleet, or the clients of one coordinator, from acting at the
// same time. The same seed gives the same sequence. Not thread-safe.
#ifndef LIFTRUDDER_LIMITS_JITTER_H_
#define LIFTRUDDER_LIMITS_JITTER_H_

#include <cstdint>

namespace liftrudder::limits {

class Jitter {
 public:
  using Micros = std::int64_t;

  explicit Jitter(std::uint64_t seed) : state_(seed) {}

  // Returns a uniformly random duration in [0, span_us); 0 when the span is not positive.
  Micros RandomBelow(Micros span_us);

 private:
  std::uint64_t state_;
};

}  // namespace liftrudder::limits

#endif  // LIFTRUDDER_LIMITS_JITTER_H_
