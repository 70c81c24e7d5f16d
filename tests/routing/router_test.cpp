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

}  // namespace
}  // namespace liftrudder::routing
