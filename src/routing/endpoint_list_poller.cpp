#include "routing/endpoint_list_poller.h"

#include <algorithm>
#include <cmath>

namespace liftrudder::routing {
namespace {

// Upper bounds of the first wait and of any wait, as shares of Settings::poll_deadline_us.
constexpr double kFirstWaitShare = 1.0 / 8;
constexpr double kMaxWaitShare = 1.0 / 2;
// A wait is its backoff times (kJitterFloor + random) / (kJitterFloor + 1), so between 1/3 and 1 of it.
constexpr double kJitterFloor = 0.5;

}  // namespace

PollDecision EndpointListPoller::OnUpdate(EndpointListKind kind, Random& random) {
  bool subscribes = settings_.subscription_required;
  // A cached list does not come from the list service, which is still to be called.
  if (kind == EndpointListKind::kCached) return {.subscribe_now = subscribes, .poll_after_us = std::nullopt};
  if (kind != EndpointListKind::kFailed) {
    failures_ = 0;
    return {};
  }
  if (!subscribes) return {};
  auto deadline_us = static_cast<double>(settings_.poll_deadline_us);
  double backoff_us =
      std::min(deadline_us * kMaxWaitShare, kFirstWaitShare * deadline_us * std::exp2(failures_));
  ++failures_;
  double wait_us = backoff_us * (kJitterFloor + random.NextUnit()) / (kJitterFloor + 1);
  return {.subscribe_now = false, .poll_after_us = static_cast<Micros>(wait_us) + 1};
}

}  // namespace liftrudder::routing
