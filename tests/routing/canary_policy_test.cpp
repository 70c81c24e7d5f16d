#include <gtest/gtest.h>

#include <vector>

#include "routing/router_harness.h"

namespace liftrudder::routing {
namespace {

// Endpoints restarted unannounced, so a poison query may be in circulation.
TEST(CanaryPolicy, SendsOneRequestFirstAfterLosses) {
  RouterHarness harness;
  harness.RunSequentialQueries(40);
  harness.Handle(
      EndpointListUpdate{EndpointListKind::kDelta,
                         2,
                         {RouterHarness::EndpointInCell(0, Availability::kReady, harness.now - 9000 * kMs),
                          RouterHarness::EndpointInCell(1, Availability::kReady, harness.now - 9000 * kMs)}});
  harness.ReceiveQuery(1, kCompleteOnly, {0.2, 0.3, 0.5});
  ASSERT_EQ(harness.sent.size(), 1u);
  EXPECT_EQ(harness.AttemptCount(102), 1);  // the heaviest
  harness.now += 50 * kMs;
  harness.Finish(102, 0);
  EXPECT_EQ(harness.sent.size(), 3u);
  harness.ReceiveQuery(2, kPartialAllowed, {0.4, 0.3, 0.3});
  harness.now += 50 * kMs;
  harness.Finish(200, 0, AttemptOutcome::kReset);
  EXPECT_EQ(harness.LastActions<Reject>().size(), 1u);
  EXPECT_EQ(harness.AttemptCount(201) + harness.AttemptCount(202), 0);
}

// The first query that crashes endpoints cannot be foreseen.
TEST(CanaryPolicy, SendsAWideQueryOneByOneUntilARequestIsAnswered) {
  Settings settings = BaseSettings();
  settings.cells = settings.shards = 10;
  RouterHarness harness(settings);
  harness.RunSequentialQueries(60);
  harness.ReceiveQuery(1, kPartialAllowed, std::vector<double>(10, 0.1));
  EXPECT_EQ(harness.sent.size(), 1u);
  for (int i = 0; i < 12; ++i) harness.Advance(5 * kMs);
  EXPECT_GE(harness.sent.size(), 2u);
  EXPECT_LE(harness.sent.size(), 4u);
  harness.Finish(harness.sent[0].send.shard_request, 0);
  EXPECT_EQ(harness.sent.size(), 10u);
}

TEST(CanaryPolicy, SendsAWideQueryWithAShortTimeoutAtOnce) {
  Settings settings = BaseSettings();
  settings.cells = settings.shards = 10;
  RouterHarness harness(settings);
  harness.RunSequentialQueries(60);
  harness.ReceiveQuery(1, kPartialAllowed, std::vector<double>(10, 0.1), 250 * kMs);
  EXPECT_EQ(harness.sent.size(), 10u);
}

}  // namespace
}  // namespace liftrudder::routing
