#include <gtest/gtest.h>

#include "routing/router_harness.h"

namespace liftrudder::routing {
namespace {

// A query that is not marked as a retry counts as new, however short its timeout is.
TEST(Admission, ServesAQueryWithAShortTimeout) {
  Settings settings = BaseSettings();
  settings.classes[0].late_value_fraction = 0;
  RouterHarness harness(settings);
  harness.ReceiveQuery(1, kCompleteOnly, {1}, 2 * kLatencyObjective);
  harness.ReceiveQuery(2, kCompleteOnly, {1}, 300 * kMs);
  EXPECT_EQ(harness.AttemptCount(200), 1);
  EXPECT_TRUE(harness.LastActions<Reject>().empty());
}

TEST(Admission, RejectsARetryPastItsObjectiveWhereLateAnswersHaveNoValue) {
  Settings settings = BaseSettings();
  settings.classes[0].late_value_fraction = 0;
  RouterHarness harness(settings);
  harness.ReceiveQuery(1, kCompleteOnly, {1}, 2 * kLatencyObjective);
  harness.ReceiveQuery(2, kCompleteOnly, {1}, 500 * kMs, 0, true);
  EXPECT_EQ(harness.AttemptCount(200), 0);
  EXPECT_EQ(harness.LastActions<Reject>().size(), 1u);
}

TEST(Admission, SheddingBeginsWithTheBacklogAndEndsWithIt) {
  RouterHarness harness;
  harness.RunSequentialQueries(40);
  harness.ReceiveUnansweredQueries(60);
  harness.ReceiveQuery(1, kCompleteOnly, {0.5, 0.5});
  ASSERT_EQ(harness.LastActions<Reject>().size(), 1u);
  EXPECT_GT(harness.LastActions<Reject>()[0].retry_after_us, 0);
  harness.now += 50 * kMs;
  harness.FinishAll();
  harness.ReceiveQuery(2, kCompleteOnly, {0.5, 0.5});
  EXPECT_EQ(harness.AttemptCount(200), 1);
}

// The fleet has little load, but the only replica of a shard is overloaded.
TEST(Admission, ShedsOnlyQueriesThatNeedAnOverloadedShard) {
  Settings settings = BaseSettings();
  settings.reach = 1;
  RouterHarness harness(settings);
  harness.RunSequentialQueries(40);
  for (int i = 0; i < 30; ++i) {
    harness.ReceiveQuery(harness.next_id++, kCompleteOnly, {1}, 3 * kLatencyObjective);  // shard 0 only
  }
  std::size_t sent = harness.sent.size();
  EXPECT_LT(sent, 30u);
  harness.ReceiveQuery(1, kPartialAllowed, {0.1, 0.5, 0.4});
  EXPECT_EQ(harness.AttemptCount(100), 0);  // cannot be answered in time
  EXPECT_EQ(harness.AttemptCount(101), 1);
  EXPECT_EQ(harness.AttemptCount(102), 1);
}

}  // namespace
}  // namespace liftrudder::routing
