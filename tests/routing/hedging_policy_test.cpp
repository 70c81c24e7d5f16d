#include <gtest/gtest.h>

#include <vector>

#include "routing/router_harness.h"

namespace liftrudder::routing {
namespace {

TEST(HedgingPolicy, HedgesARequestThatTakesFarLongerThanOthers) {
  RouterHarness harness;
  harness.RunSequentialQueries(60);
  harness.ReceiveQuery(1, kCompleteOnly, {1});
  for (int i = 0; i < 150 && harness.AttemptCount(100) < 2; ++i) harness.Advance(5 * kMs);
  ASSERT_EQ(harness.AttemptCount(100), 2);
  EXPECT_NE(harness.EndpointOf(100, 0), harness.EndpointOf(100, 1));
}

// The endpoint accepted the request and lost it.
TEST(HedgingPolicy, HedgesARequestWhoseEndpointAnsweredLaterOnes) {
  RouterHarness harness;
  harness.RunSequentialQueries(60, 250 * kMs);  // load at which only requests at suspect endpoints are hedged
  harness.ReceiveQuery(1, kCompleteOnly, {1}, 3 * kLatencyObjective);
  EndpointId lossy = harness.EndpointOf(100);
  // Later requests to the same endpoint are answered; the first is not.
  for (int i = 0; i < 9 && harness.AttemptCount(100) < 2; ++i) {
    for (int k = 0; k < 2; ++k) {
      harness.ReceiveQuery(harness.next_id++, kCompleteOnly, {0.25, 0.25, 0.25, 0.25});
    }
    harness.now += 250 * kMs;
    auto keys = harness.in_flight;
    for (const auto& [key, value] : keys) {
      if (key.shard_request != 100) harness.Finish(key.shard_request, key.attempt);
    }
    harness.Advance(5 * kMs);
  }
  ASSERT_EQ(harness.AttemptCount(100), 2);
  EXPECT_NE(harness.EndpointOf(100, 1), lossy);
}

TEST(HedgingPolicy, HedgesTheStragglerOfACompleteOnlyQueryLongBeforeTheHedgeDelay) {
  for (int cls : {kCompleteOnly, kPartialAllowed}) {
    RouterHarness harness;
    for (int i = 0; i < 12; ++i) {
      harness.RunSequentialQueries(4);
      harness.RunSequentialQueries(1, 900 * kMs);
    }
    harness.ReceiveQuery(1, cls, {0.2, 0.2, 0.2, 0.2, 0.2});
    harness.now += 100 * kMs;
    for (Id shard_request = 101; shard_request <= 104; ++shard_request) harness.Finish(shard_request, 0);
    for (int i = 0; i < 50; ++i) harness.Advance(5 * kMs);
    EXPECT_EQ(harness.AttemptCount(100), cls == kCompleteOnly ? 2 : 1);
  }
}

TEST(HedgingPolicy, WithoutHedgingCancelsAtASuspectEndpointAndThenRetries) {
  Settings settings = BaseSettings();
  settings.hedging_allowed = false;
  RouterHarness harness(settings);
  harness.RunSequentialQueries(60);
  harness.ReceiveQuery(1, kCompleteOnly, {1}, 3 * kLatencyObjective);
  EndpointId unresponsive = harness.EndpointOf(100);
  std::vector<Cancel> cancels;
  for (int i = 0; i < 400 && cancels.empty(); ++i) {
    harness.Advance(5 * kMs);
    cancels = harness.LastActions<Cancel>();
  }
  ASSERT_FALSE(cancels.empty());
  EXPECT_EQ(cancels[0].shard_request, 100u);
  EXPECT_EQ(harness.AttemptCount(100), 1);
  harness.Advance(5 * kMs);
  EXPECT_TRUE(harness.LastActions<Cancel>().empty());
  EXPECT_EQ(harness.AttemptCount(100), 1);
  harness.Finish(100, 0, AttemptOutcome::kCancelled);
  ASSERT_EQ(harness.AttemptCount(100), 2);
  EXPECT_NE(harness.EndpointOf(100, 1), unresponsive);
}

// Runs rounds of queries in which one shard request is slow, and returns how many of these were hedged.
// `hedge_wins`: the hedge is answered before the first attempt.
int CountHedges(bool hedge_wins) {
  Settings settings = BaseSettings();
  settings.cells = settings.reach = settings.shards = 20;
  RouterHarness harness(settings);
  harness.RunSequentialQueries(60);
  int hedges = 0;
  for (int round = 0; round < 30; ++round) {
    Id slow = harness.next_id * 100;
    for (int i = 0; i < 10; ++i) {
      harness.ReceiveQuery(harness.next_id++, kCompleteOnly, {0.25, 0.25, 0.25, 0.25});
    }
    harness.now += 100 * kMs;
    auto in_flight = harness.in_flight;
    for (const auto& [key, value] : in_flight) {
      if (key.shard_request != slow) harness.Finish(key.shard_request, key.attempt);
    }
    for (int i = 0; i < 30 && harness.AttemptCount(slow) < 2; ++i) harness.Advance(5 * kMs);
    bool hedged = harness.AttemptCount(slow) > 1;
    hedges += hedged ? 1 : 0;
    harness.Finish(slow, hedged && hedge_wins ? 1 : 0);
    if (hedged) harness.Finish(slow, hedge_wins ? 0 : 1, AttemptOutcome::kCancelled);
  }
  return hedges;
}

// When first attempts are answered first, slow requests are waiting in queues, and hedges only lengthen the
// queues.
TEST(HedgingPolicy, SendsFewHedgesWhenFirstAttemptsAreAnsweredFirst) {
  EXPECT_GE(CountHedges(true), 25);
  EXPECT_LE(CountHedges(false), 10);
}

}  // namespace
}  // namespace liftrudder::routing
