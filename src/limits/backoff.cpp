#include "limits/backoff.h"

#include <algorithm>

namespace liftrudder::limits {

Backoff::Micros Backoff::Within(Micros span) {
  std::uint64_t z = state_ += 0x9e3779b97f4a7c15ULL;  // splitmix64
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  z ^= z >> 31;
  return span <= 0 ? 0 : static_cast<Micros>(z % static_cast<std::uint64_t>(span));
}

Backoff::Micros Backoff::Next() {
  Micros threshold = first_;
  for (int i = 0; i < failures_ && threshold < most_; ++i) threshold *= 2;
  ++failures_;
  return Within(std::min(threshold, most_));
}

}  // namespace liftrudder::limits
