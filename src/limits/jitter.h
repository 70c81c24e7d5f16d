// Random delays that keep a fleet's coordinators, or the clients of one, from acting at the same moment. The
// same seed gives the same sequence. Not thread-safe.
#ifndef LIFTRUDDER_LIMITS_JITTER_H_
#define LIFTRUDDER_LIMITS_JITTER_H_

#include <cstdint>

namespace liftrudder::limits {

class Jitter {
 public:
  using Micros = std::int64_t;

  explicit Jitter(std::uint64_t seed) : state_(seed) {}

  // A duration in [0, span_us), each one equally likely; 0 when the span is not positive.
  Micros Within(Micros span_us);

 private:
  std::uint64_t state_;
};

}  // namespace liftrudder::limits

#endif  // LIFTRUDDER_LIMITS_JITTER_H_
