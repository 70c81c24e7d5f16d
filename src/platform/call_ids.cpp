#include "platform/call_ids.h"

namespace liftrudder::platform {

bool CallIds::Reserve(const std::string& id, Micros now_us) {
  std::lock_guard lock(mutex_);
  while (!retained_by_end_.empty() && retained_by_end_.begin()->first <= now_us) {
    retained_.erase(retained_by_end_.begin()->second);
    retained_by_end_.erase(retained_by_end_.begin());
  }
  return !retained_.contains(id) && open_.insert(id).second;
}

void CallIds::Release(const std::string& id) {
  std::lock_guard lock(mutex_);
  open_.erase(id);
}

void CallIds::Retain(const std::string& id, Micros until_us) {
  std::lock_guard lock(mutex_);
  open_.erase(id);
  if (retained_.size() >= kMaxRetained) {
    retained_.erase(retained_by_end_.begin()->second);
    retained_by_end_.erase(retained_by_end_.begin());
  }
  retained_[id] = until_us;
  retained_by_end_.insert({until_us, id});
}

}  // namespace liftrudder::platform
