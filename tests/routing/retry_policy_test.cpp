#include <gtest/gtest.h>

#include "routing/router_harness.h"

namespace liftrudder::routing {
namespace {

TEST(RetryPolicy, RepeatsNonIdempotentRequestsOnlyWhenProvedNotRun) {
  Settings settings = BaseSettings();
  settings.classes[0].effect = Effect::kNonIdempotent;
  RouterHarness harness(settings);
  harness.ReceiveQuery(1, kCompleteOnly, {1});
  harness.Finish(100, 0, AttemptOutcome::kOverloaded);
  EXPECT_EQ(harness.AttemptCount(100), 2);
  harness.now += 20 * kMs;
  harness.Finish(100, 1, AttemptOutcome::kError);
  EXPECT_EQ(harness.AttemptCount(100), 2);
  EXPECT_EQ(harness.LastActions<Fail>().size(), 1u);
  EXPECT_TRUE(harness.LastActions<Reject>().empty());
}

TEST(RetryPolicy, RepeatsRequestsWithAKeyOnlyInsideTheDeduplicationWindow) {
  Settings settings = BaseSettings();
  settings.classes[0].effect = Effect::kIdempotencyKey;
  settings.classes[0].deduplication_window_us = 300 * kMs;
  RouterHarness inside(settings), outside(settings);
  inside.ReceiveQuery(1, kCompleteOnly, {1});
  inside.now += 100 * kMs;
  inside.Finish(100, 0, AttemptOutcome::kError);
  EXPECT_EQ(inside.AttemptCount(100), 2);
  settings.hedging_allowed = false;
  outside.ReceiveQuery(1, kCompleteOnly, {1});
  outside.now += 290 * kMs;
  outside.Finish(100, 0, AttemptOutcome::kError);
  EXPECT_EQ(outside.AttemptCount(100), 1);
}

// Guards against a repeat that is decided within the deduplication window and written after it.
TEST(RetryPolicy, StatesTheLatestTimeToSendARepeat) {
  constexpr Micros kWindow = 1000 * kMs, kMaxHold = 150 * kMs;
  Settings settings = BaseSettings();
  settings.hedging_allowed = false;
  settings.classes[0].effect = Effect::kIdempotencyKey;
  settings.classes[0].deduplication_window_us = kWindow;
  RouterHarness harness(settings);
  Micros first_sent_us = harness.now;
  harness.ReceiveQuery(1, kCompleteOnly, {1});
  EXPECT_FALSE(harness.sent[0].send.send_within_us);
  harness.now += 100 * kMs;
  harness.Finish(100, 0, AttemptOutcome::kOverloaded);
  EXPECT_FALSE(harness.sent[1].send.send_within_us);  // the first provably never ran
  Micros second_sent_us = harness.now;
  harness.now += 300 * kMs;
  harness.Finish(100, 1, AttemptOutcome::kError);
  ASSERT_TRUE(harness.sent[2].send.send_within_us);
  EXPECT_EQ(harness.now + *harness.sent[2].send.send_within_us, second_sent_us + kWindow - kMaxHold);
  EXPECT_LT(first_sent_us, second_sent_us);
}

TEST(RetryPolicy, FailsAQueryAtOnceWhoseRepeatWasNotSentInItsWindow) {
  Settings settings = BaseSettings();
  settings.hedging_allowed = false;
  settings.classes[0].effect = Effect::kIdempotencyKey;
  settings.classes[0].deduplication_window_us = 500 * kMs;
  RouterHarness harness(settings);
  harness.ReceiveQuery(1, kCompleteOnly, {1});
  harness.now += 100 * kMs;
  harness.Finish(100, 0, AttemptOutcome::kError);
  harness.now += 250 * kMs;
  harness.Finish(100, 1, AttemptOutcome::kNotSent);
  EXPECT_EQ(harness.AttemptCount(100), 2);
  EXPECT_EQ(harness.LastActions<Fail>().size(), 1u);
}

TEST(RetryPolicy, KeepsWithinTheRetryBudget) {
  Settings settings = BaseSettings();
  settings.has_retry_budget = true;
  settings.retry_budget_floor = 2;
  settings.retry_budget_ratio = 0;
  settings.retry_budget_window_us = 1000 * kMs;
  RouterHarness harness(settings);
  for (Id id = 1; id <= 6; ++id) harness.ReceiveQuery(id, kCompleteOnly, {1});
  auto keys = harness.in_flight;
  for (const auto& [key, value] : keys) {
    harness.Finish(key.shard_request, key.attempt, AttemptOutcome::kOverloaded);
  }
  EXPECT_EQ(harness.sent.size(), 8u);
}

// The request may have crashed the endpoint and would crash the next one.
TEST(RetryPolicy, DoesNotRepeatARequestThatWasInFlightAtALostEndpoint) {
  RouterHarness harness;
  harness.ReceiveQuery(1, kCompleteOnly, {1});
  harness.now += 20 * kMs;
  harness.Finish(100, 0, AttemptOutcome::kReset);
  for (int i = 0; i < 100; ++i) harness.Advance(5 * kMs);
  EXPECT_EQ(harness.AttemptCount(100), 1);
}

TEST(RetryPolicy, RepeatsALostRequestOnceItsQueryIsKnownSafe) {
  RouterHarness harness;
  harness.ReceiveQuery(1, kCompleteOnly, {0.5, 0.5});
  harness.now += 20 * kMs;
  harness.Finish(101, 0);
  harness.Finish(100, 0, AttemptOutcome::kReset);
  harness.Advance(5 * kMs);
  EXPECT_EQ(harness.AttemptCount(100), 2);
}

}  // namespace
}  // namespace liftrudder::routing
