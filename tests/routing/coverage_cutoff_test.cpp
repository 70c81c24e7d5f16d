#include <gtest/gtest.h>

#include "routing/router_harness.h"

namespace liftrudder::routing {
namespace {

TEST(CoverageCutoff, AtLevelZeroOnlyRequestsOfZeroWeightAreNotSent) {
  RouterHarness harness;
  harness.ReceiveQuery(1, kPartialAllowed, {0.7, 0.25, 0.05, 0.0});
  EXPECT_EQ(harness.sent.size(), 3u);
  EXPECT_EQ(harness.AttemptCount(103), 0);
}

TEST(CoverageCutoff, DropsTheLightestUnderLoadAndKeepsTheMinimumCoverage) {
  RouterHarness harness;
  harness.RunSequentialQueries(30);
  harness.ReceiveUnansweredQueries(15);
  std::size_t before = harness.sent.size();
  harness.ReceiveQuery(1, kPartialAllowed, {0.1, 0.5, 0.15, 0.25});
  ASSERT_GT(harness.sent.size(), before);
  EXPECT_EQ(harness.AttemptCount(100), 0);
  EXPECT_EQ(harness.AttemptCount(101), 1);
  double unsent = (harness.AttemptCount(102) ? 0 : 0.15) + (harness.AttemptCount(103) ? 0 : 0.25) + 0.1;
  EXPECT_LE(unsent, 0.6);
}

TEST(CoverageCutoff, SendsAllOfAClassThatNeedsEveryRequest) {
  RouterHarness harness;
  harness.ReceiveQuery(1, kCompleteOnly, {0.9, 0.1, 0.0});
  EXPECT_EQ(harness.sent.size(), 3u);
}

}  // namespace
}  // namespace liftrudder::routing
