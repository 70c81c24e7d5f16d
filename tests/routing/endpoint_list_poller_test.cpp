#include <gtest/gtest.h>

#include "routing/router_harness.h"

namespace liftrudder::routing {
namespace {

TEST(EndpointListPoller, BacksOffAfterFailuresWithinTheDeadline) {
  Settings settings = BaseSettings();
  settings.subscription_required = true;
  settings.poll_deadline_us = 10 * kLatencyObjective;
  RouterHarness harness(settings);
  EXPECT_EQ(harness.LastActions<Subscribe>().size(), 1u);
  Micros first_wait_us = 0;
  for (int failure = 0; failure < 6; ++failure) {
    harness.Handle(EndpointListUpdate{EndpointListKind::kFailed, 0, {}});
    EXPECT_TRUE(harness.LastActions<Subscribe>().empty());
    auto timers = harness.LastActions<SetTimer>();
    ASSERT_EQ(timers.size(), 1u);
    EXPECT_GT(timers[0].span_us, failure == 2 ? first_wait_us : 0);
    EXPECT_LT(timers[0].span_us, settings.poll_deadline_us);
    if (failure == 0) first_wait_us = timers[0].span_us;
    harness.now += timers[0].span_us;
    harness.Handle(TimerFired{timers[0].label});
    EXPECT_EQ(harness.LastActions<Subscribe>().size(), 1u);
  }
}

}  // namespace
}  // namespace liftrudder::routing
