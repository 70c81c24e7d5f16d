#include <gtest/gtest.h>

#include <vector>

#include "routing/router_harness.h"

namespace liftrudder::routing {
namespace {

TEST(LoadEstimator, AFewRequestsInFlightAtEachEndpointDoNotCountAsOverload) {
  RouterHarness harness;
  harness.RunSequentialQueries(60);
  harness.ReceiveUnansweredQueries(3);
  harness.ReceiveQuery(1, kPartialAllowed, {0.1, 0.4, 0.25, 0.25});
  EXPECT_EQ(harness.AttemptCount(100), 1);
}

TEST(LoadEstimator, RemembersLoadUntilThisCoordinatorsNextQuery) {
  RouterHarness harness;
  for (Id id = 1; id <= 8; ++id) {
    harness.ReceiveQuery(id, kPartialAllowed, std::vector<double>(8, 0.125), 3 * kLatencyObjective);
    for (int i = 0; i < 280; ++i) harness.Advance(5 * kMs);
    harness.FinishAll();
    harness.now += 2 * kLatencyObjective;
    harness.Advance(5 * kMs);
  }
  int unsent = 0;
  for (Id id = 1; id <= 8; ++id) {
    for (Id shard_request = 0; shard_request < 8; ++shard_request) {
      unsent += harness.AttemptCount(id * 100 + shard_request) == 0;
    }
  }
  EXPECT_GT(unsent, 0);
}

// Rejections arrive within a millisecond, and would make the fleet look fast.
TEST(LoadEstimator, RequestsRejectedByFullEndpointsRaiseTheLoad) {
  for (AttemptOutcome code : {AttemptOutcome::kOverloaded, AttemptOutcome::kOk}) {
    RouterHarness harness;
    harness.RunSequentialQueries(10);
    for (Id id = 1; id <= 8; ++id) {
      harness.ReceiveQuery(id, kCompleteOnly, {1});
      for (int attempt = 0; attempt < harness.AttemptCount(id * 100); ++attempt) {
        harness.Finish(id * 100, attempt, code);
      }
    }
    harness.ReceiveQuery(10, kPartialAllowed, {0.1, 0.5, 0.15, 0.25});
    EXPECT_EQ(harness.AttemptCount(1000), code == AttemptOutcome::kOk ? 1 : 0);
  }
}

}  // namespace
}  // namespace liftrudder::routing
