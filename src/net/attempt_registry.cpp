#include "net/attempt_registry.h"

#include <utility>

namespace liftrudder::net {

void AttemptRegistry::Add(coordinator::AttemptRequest request, coordinator::Micros now_us) {
  Attempt& attempt = attempts_[request.key];
  attempt.request = std::move(request);
  attempt.queued_us = now_us;
}

Attempt* AttemptRegistry::Find(const coordinator::AttemptKey& key) {
  auto found = attempts_.find(key);
  return found == attempts_.end() ? nullptr : &found->second;
}

void AttemptRegistry::Finish(const coordinator::AttemptKey& key, coordinator::Cause cause,
                             EndpointResponse response) {
  auto found = attempts_.find(key);
  if (found == attempts_.end()) return;
  coordinator::AttemptResult result{key, found->second.progress, cause, std::move(response.load),
                                    std::move(response.value)};
  attempts_.erase(found);
  sink_(std::move(result));
}

void AttemptRegistry::FinishAll(coordinator::Cause cause) {
  while (!attempts_.empty()) Finish(attempts_.begin()->first, cause);
}

}  // namespace liftrudder::net
