#include "limits/backoff.h"

#include <algorithm>

namespace liftrudder::limits {

Backoff::Micros Backoff::NextWait() {
  Micros bound_us = first_bound_us_;
  for (int i = 0; i < failures_ && bound_us < max_bound_us_; ++i) bound_us *= 2;
  ++failures_;
  return jitter_.RandomBelow(std::min(bound_us, max_bound_us_));
}

}  // namespace liftrudder::limits
