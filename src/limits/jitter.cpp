#include "limits/jitter.h"

namespace liftrudder::limits {

// SplitMix64 (Steele, Lea, Flood: Fast Splittable Pseudorandom Number Generators, 2014). The state advances
// with every call, whatever the span.
Jitter::Micros Jitter::RandomBelow(Micros span_us) {
  state_ += 0x9e3779b97f4a7c15ULL;
  std::uint64_t bits = state_;
  bits = (bits ^ (bits >> 30)) * 0xbf58476d1ce4e5b9ULL;
  bits = (bits ^ (bits >> 27)) * 0x94d049bb133111ebULL;
  bits ^= bits >> 31;
  return span_us <= 0 ? 0 : static_cast<Micros>(bits % static_cast<std::uint64_t>(span_us));
}

}  // namespace liftrudder::limits
