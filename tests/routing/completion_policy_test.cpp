#include <gtest/gtest.h>

#include "routing/router_harness.h"

namespace liftrudder::routing {
namespace {

TEST(CompletionPolicy, EndsOnceBeforeTheDeadlineAndSendsNothingAfter) {
  RouterHarness harness;
  harness.ReceiveQuery(1, kCompleteOnly, {1}, kLatencyObjective);
  int ends = 0;
  for (Micros t = 0; t < 2 * kLatencyObjective; t += 5 * kMs) {
    std::size_t sends = harness.sent.size();
    harness.Advance(5 * kMs);
    auto count = harness.LastActions<Reject>().size() + harness.LastActions<Fail>().size() +
                 harness.LastActions<Answer>().size();
    if (ends > 0) {
      EXPECT_EQ(harness.sent.size(), sends);
    }
    if (count > 0) {
      EXPECT_LT(harness.now, 100000 * kMs + kLatencyObjective);
    }
    ends += static_cast<int>(count);
  }
  EXPECT_EQ(ends, 1);
}

TEST(CompletionPolicy, AnswersPartiallyOnlyFromTheMinimumCoverageOn) {
  RouterHarness harness;
  harness.ReceiveQuery(1, kPartialAllowed, {0.5, 0.3, 0.2});
  harness.now += 50 * kMs;
  harness.Finish(101, 0);
  harness.now = 100000 * kMs + kLatencyObjective;
  harness.Advance(0);
  EXPECT_TRUE(harness.LastActions<Answer>().empty());  // 0.3 is below the minimum coverage of 0.4
  harness.Finish(100, 0);
  ASSERT_EQ(harness.LastActions<Answer>().size(), 1u);
  EXPECT_FALSE(harness.LastActions<Answer>()[0].complete);
}

TEST(CompletionPolicy, IsCompleteOnlyWhenBothPhasesAre) {
  RouterHarness harness;
  harness.ReceiveQuery(1, kTwoPhases, {0.6, 0.4}, 3 * kLatencyObjective);
  harness.now += 50 * kMs;
  harness.FinishAll();
  ASSERT_EQ(harness.LastActions<Answer>().size(), 1u);
  EXPECT_TRUE(harness.LastActions<Answer>()[0].complete);
  harness.Handle({ShardRequestReceived{201, 1, 0, 0.5, 0, 0}, ShardRequestReceived{202, 1, 1, 0.5, 0, 0}});
  harness.now += 50 * kMs;
  harness.Finish(201, 0);
  EXPECT_TRUE(harness.LastActions<Answer>().empty());
  harness.Finish(202, 0);
  ASSERT_EQ(harness.LastActions<Answer>().size(), 1u);
  EXPECT_TRUE(harness.LastActions<Answer>()[0].complete);
}

TEST(CompletionPolicy, AnswersPartiallyWithTimeLeftForDelivery) {
  Settings settings = BaseSettings();
  settings.decision_interval_us = 1 * kMs;  // the margin of three rounds alone would be 3 ms
  RouterHarness harness(settings);
  harness.RunSequentialQueries(60);
  Micros received_at_us = harness.now;
  harness.ReceiveQuery(1, kPartialAllowed, {0.5, 0.5}, 2 * kLatencyObjective);
  harness.now += 100 * kMs;
  harness.Finish(100, 0);
  while (harness.LastActions<Answer>().empty() && harness.now < received_at_us + kLatencyObjective) {
    harness.Advance(1 * kMs);
  }
  ASSERT_EQ(harness.LastActions<Answer>().size(), 1u);
  EXPECT_LE(harness.now, received_at_us + kLatencyObjective * 98 / 100);
  EXPECT_GE(harness.now,
            received_at_us + kLatencyObjective * 95 / 100);  // a request answered before that still counts
}

// A class whose queries have no value after the objective, so that they are abandoned there.
Settings KeyedSettings(Micros deduplication_window_us) {
  Settings settings = BaseSettings();
  for (QueryClassSettings& cls : settings.classes) {
    cls.effect = Effect::kIdempotencyKey;
    cls.late_value_fraction = 0;
    cls.deduplication_window_us = deduplication_window_us;
  }
  return settings;
}

// Guards against a rejection that invites a repeat after the deduplication window, which runs a second time.
TEST(CompletionPolicy, FailsAQueryThatMayHaveRunIfItsClientCouldRepeatItAfterTheWindow) {
  RouterHarness harness(KeyedSettings(kLatencyObjective + 500 * kMs));
  harness.ReceiveQuery(1, kCompleteOnly, {1});
  harness.Advance(kLatencyObjective);
  EXPECT_EQ(harness.LastActions<Fail>().size(), 1u);
  EXPECT_TRUE(harness.LastActions<Reject>().empty());
}

TEST(CompletionPolicy, RejectsAQueryThatMayHaveRunIfTheWindowOutlastsItsClient) {
  RouterHarness harness(KeyedSettings(4 * kLatencyObjective));
  harness.ReceiveQuery(1, kCompleteOnly, {1});
  harness.Advance(kLatencyObjective);
  EXPECT_EQ(harness.LastActions<Reject>().size(), 1u);
}

// The time for which a client waits is the class's or, if that is longer, the one that it stated.
TEST(CompletionPolicy, CountsTheTimeThatTheClientStatedWhenItIsLonger) {
  RouterHarness harness(KeyedSettings(4 * kLatencyObjective));
  harness.ReceiveQuery(1, kCompleteOnly, {1}, 6 * kLatencyObjective);
  harness.Advance(kLatencyObjective);
  EXPECT_EQ(harness.LastActions<Fail>().size(), 1u);
}

TEST(CompletionPolicy, RejectsAKeyedQueryWhoseAttemptsProvablyNeverRan) {
  RouterHarness harness(KeyedSettings(kLatencyObjective / 2));
  harness.ReceiveQuery(1, kCompleteOnly, {1});
  for (int attempt = 0; attempt < 4; ++attempt) harness.Finish(100, attempt, AttemptOutcome::kOverloaded);
  EXPECT_EQ(harness.LastActions<Reject>().size(), 1u);
}

// The first phase has run, although no attempt of the fetch phase has.
TEST(CompletionPolicy, FailsAKeyedQueryInItsFetchPhaseIfItsClientCouldRepeatItAfterTheWindow) {
  RouterHarness harness(KeyedSettings(kLatencyObjective));
  harness.ReceiveQuery(1, kTwoPhases, {0.6, 0.4}, 3 * kLatencyObjective);
  harness.now += 50 * kMs;
  harness.FinishAll();
  harness.Handle({ShardRequestReceived{201, 1, 0, 0.5, 0, 0}, ShardRequestReceived{202, 1, 1, 0.5, 0, 0}});
  for (int attempt = 0; attempt < 4; ++attempt) {
    harness.Finish(201, attempt, AttemptOutcome::kOverloaded);
    harness.Finish(202, attempt, AttemptOutcome::kOverloaded);
  }
  EXPECT_EQ(harness.LastActions<Fail>().size(), 1u);
  EXPECT_TRUE(harness.LastActions<Reject>().empty());
}

}  // namespace
}  // namespace liftrudder::routing
