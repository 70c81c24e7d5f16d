#include <gtest/gtest.h>

#include "routing/router_harness.h"

namespace liftrudder::routing {
namespace {

TEST(LatencyTracker, AssumedLatenciesKeepAFreshRouterFromHedgingAtOnce) {
  RouterHarness harness;
  harness.ReceiveQuery(1, kCompleteOnly, {0.25, 0.25, 0.25, 0.25});
  for (int i = 0; i < 50; ++i) harness.Advance(5 * kMs);
  EXPECT_EQ(harness.sent.size(), 4u);
}

}  // namespace
}  // namespace liftrudder::routing
