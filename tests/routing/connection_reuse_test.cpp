#include <gtest/gtest.h>

#include "routing/router_harness.h"

namespace liftrudder::routing {
namespace {

TEST(ConnectionReuse, CancelsARequestWithoutReplyOnAnIdleConnectionAndClosesIdleOnesFromThenOn) {
  RouterHarness harness;
  harness.RunSequentialQueries(60);
  harness.now += 2000 * kMs;
  harness.ReceiveQuery(1, kCompleteOnly, {1}, 3 * kLatencyObjective);
  EXPECT_TRUE(harness.LastActions<Close>().empty());
  bool cancelled = false;
  for (int i = 0; i < 300 && !cancelled; ++i) {
    harness.Advance(5 * kMs);
    for (const Cancel& cancel : harness.LastActions<Cancel>()) cancelled = cancelled || cancel.attempt == 0;
  }
  EXPECT_TRUE(cancelled);
  harness.Finish(100, 0, AttemptOutcome::kCancelled);
  harness.FinishAll();
  harness.now += 1500 * kMs;
  harness.ReceiveQuery(2, kCompleteOnly, {1});
  EXPECT_EQ(harness.LastActions<Close>().size(), 1u);
}

TEST(ConnectionReuse, KeepsConnectionsKnownToSurviveLongerDespiteAnUnresponsiveEndpoint) {
  RouterHarness harness;
  harness.RunSequentialQueries(60);
  harness.now += 2000 * kMs;
  harness.ReceiveQuery(1, kCompleteOnly, {0.25, 0.25, 0.25, 0.25}, 3 * kLatencyObjective);
  harness.now += 100 * kMs;
  for (Id shard_request : {100, 102, 103}) {
    harness.Finish(shard_request, 0);  // idle for 2 s and working; the fourth endpoint does not reply
  }
  for (int i = 0; i < 300; ++i) {
    harness.Advance(5 * kMs);
    for (const Cancel& cancel : harness.LastActions<Cancel>()) {
      EXPECT_NE(cancel.reason, CancelReason::kDeadConnection);
    }
  }
  EXPECT_GT(harness.AttemptCount(101), 1);  // hedged, like any late request
  harness.FinishAll();
  harness.now += 1500 * kMs;
  harness.ReceiveQuery(2, kCompleteOnly, {0.25, 0.25, 0.25, 0.25});
  EXPECT_TRUE(harness.LastActions<Close>().empty());
}

}  // namespace
}  // namespace liftrudder::routing
