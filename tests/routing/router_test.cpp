#include <gtest/gtest.h>

#include "routing/router_harness.h"

namespace liftrudder::routing {
namespace {

TEST(Router, GivesTheSameActionsForTheSameEvents) {
  RouterHarness a, b;
  for (RouterHarness* harness : {&a, &b}) {
    harness->RunSequentialQueries(20);
    harness->ReceiveUnansweredQueries(5);
  }
  ASSERT_EQ(a.sent.size(), b.sent.size());
  for (std::size_t i = 0; i < a.sent.size(); ++i) EXPECT_EQ(a.sent[i].send.endpoint, b.sent[i].send.endpoint);
}

TEST(Router, SendsNothingWithoutEndpoints) {
  RouterHarness harness;
  harness.Handle(EndpointListUpdate{EndpointListKind::kFull, 2, {}});
  harness.ReceiveQuery(1, kCompleteOnly, {1});
  harness.Advance(2 * kLatencyObjective);
  EXPECT_TRUE(harness.sent.empty());
}

TEST(Router, IgnoresEventsForUnknownOrEndedIds) {
  RouterHarness harness;
  harness.Handle({ClientDisconnected{77}, AttemptFinished{9, 0, {1, 1}, AttemptOutcome::kOk, 5, true, {}},
                  ShardRequestReceived{5, 99, 0, 1, 0, 0}});
  harness.ReceiveQuery(1, kCompleteOnly, {1});
  harness.Handle(ClientDisconnected{1});
  harness.FinishAll();
  EXPECT_TRUE(harness.LastActions<Answer>().empty());
}

constexpr Micros kShutdownUs = 500 * kMs;  // the time for answers in a shutdown

// Lets time pass in rounds until the query ends; returns whether that is before `end_us`.
bool EndsBefore(RouterHarness& harness, Micros end_us) {
  while (harness.now < end_us) {
    if (!harness.LastActions<Reject>().empty() || !harness.LastActions<Fail>().empty() ||
        !harness.LastActions<Answer>().empty()) {
      return true;
    }
    harness.Advance(5 * kMs);
  }
  return false;
}

// Guards against a query that has no answer when a planned restart kills the process.
TEST(Router, AnswersAQueryInFlightBeforeTheShutdownEnds) {
  RouterHarness harness;
  harness.ReceiveQuery(1, kCompleteOnly, {1}, 10 * kLatencyObjective);
  harness.Handle(ShutdownStarted{kShutdownUs});
  EXPECT_TRUE(EndsBefore(harness, harness.now + kShutdownUs));
  ASSERT_EQ(harness.LastActions<Reject>().size(), 1u);
  EXPECT_EQ(harness.LastActions<Reject>()[0].reason.cause, CompletionCause::kShutdown);
}

TEST(Router, AnswersAQueryThatArrivesDuringTheShutdownBeforeItEnds) {
  RouterHarness harness;
  harness.Handle(ShutdownStarted{kShutdownUs});
  Micros end_us = harness.now + kShutdownUs;
  harness.Advance(kShutdownUs / 2);
  harness.ReceiveQuery(1, kCompleteOnly, {1}, 10 * kLatencyObjective);
  ASSERT_EQ(harness.sent.size(), 1u);
  EXPECT_LT(harness.sent[0].send.timeout_us, kShutdownUs / 2);
  EXPECT_TRUE(EndsBefore(harness, end_us));
}

TEST(Router, AnswersPartiallyWhenTheShutdownEnds) {
  RouterHarness harness;
  harness.ReceiveQuery(1, kPartialAllowed, {0.5, 0.5}, 10 * kLatencyObjective);
  harness.Handle(ShutdownStarted{kShutdownUs});
  harness.now += 50 * kMs;
  harness.Finish(100, 0);
  EXPECT_TRUE(EndsBefore(harness, harness.now + kShutdownUs - 50 * kMs));
  EXPECT_EQ(harness.LastActions<Answer>().size(), 1u);
}

TEST(Router, DoesNotProlongAQueryInAShutdown) {
  RouterHarness harness;
  harness.ReceiveQuery(1, kCompleteOnly, {1}, kShutdownUs / 2);
  harness.Handle(ShutdownStarted{kShutdownUs});
  EXPECT_TRUE(EndsBefore(harness, harness.now + kShutdownUs / 2));
  ASSERT_EQ(harness.LastActions<Reject>().size(), 1u);
  EXPECT_EQ(harness.LastActions<Reject>()[0].reason.cause, CompletionCause::kExpired);
}

// Guards against a rejection, which invites a repeat, of a query that may have run: that the process ends
// does not shorten the time for which the client repeats it.
TEST(Router, FailsAQueryInAShutdownIfItMayHaveRunAndMustNotBeRepeated) {
  Settings settings = BaseSettings();
  for (QueryClassSettings& cls : settings.classes) {
    cls.effect = Effect::kIdempotencyKey;
    cls.deduplication_window_us = 5 * kLatencyObjective;
  }
  RouterHarness harness(settings);
  harness.ReceiveQuery(1, kCompleteOnly, {1}, 10 * kLatencyObjective);
  harness.Handle(ShutdownStarted{kShutdownUs});
  EXPECT_TRUE(EndsBefore(harness, harness.now + kShutdownUs));
  EXPECT_EQ(harness.LastActions<Fail>().size(), 1u);
}

TEST(Router, RejectsAQueryAtOnceAndSendsNothingWhenTheShutdownLeavesNoTime) {
  Settings settings = BaseSettings();
  for (QueryClassSettings& cls : settings.classes) cls.effect = Effect::kNonIdempotent;
  RouterHarness harness(settings);
  harness.Handle(ShutdownStarted{kShutdownUs});
  harness.Advance(kShutdownUs - 10 * kMs);
  harness.ReceiveQuery(1, kCompleteOnly, {1}, 10 * kLatencyObjective);
  EXPECT_EQ(harness.AttemptCount(100), 0);
  ASSERT_EQ(harness.LastActions<Reject>().size(), 1u);
  EXPECT_GT(harness.LastActions<Reject>()[0].retry_after_us, 0);
}

// A retry with less time than the query before it counts as late; what the shutdown takes does not.
TEST(Router, DoesNotTakeARetryForLateBecauseOfAShutdown) {
  Settings settings = BaseSettings();
  settings.classes[0].late_value_fraction = 0;
  RouterHarness harness(settings);
  harness.ReceiveQuery(1, kCompleteOnly, {1}, 2 * kLatencyObjective);
  harness.Handle(ShutdownStarted{kShutdownUs});
  harness.ReceiveQuery(2, kCompleteOnly, {1}, 2 * kLatencyObjective, 0, true);
  EXPECT_EQ(harness.AttemptCount(200), 1);
}

}  // namespace
}  // namespace liftrudder::routing
