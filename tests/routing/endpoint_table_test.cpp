#include <gtest/gtest.h>

#include <set>

#include "routing/router_harness.h"

namespace liftrudder::routing {
namespace {

TEST(EndpointTable, AnEndpointListedAgainAfterRemovalHasNoHistory) {
  RouterHarness harness;
  harness.RunSequentialQueries(40);
  for (int errors = 0; errors < 2;) {
    Id id = harness.next_id++;
    harness.ReceiveQuery(id, kCompleteOnly, {1});
    bool bad = harness.EndpointOf(id * 100).address == 2;
    harness.Finish(id * 100, 0, bad ? AttemptOutcome::kError : AttemptOutcome::kOk);
    errors += bad;
    harness.FinishAll();
  }
  for (Availability how : {Availability::kRemoved, Availability::kReady}) {
    harness.Handle(EndpointListUpdate{EndpointListKind::kDelta, 2, {RouterHarness::EndpointInCell(2, how)}});
  }
  std::set<EndpointId> used;
  for (int i = 0; i < 4; ++i) {
    harness.ReceiveQuery(harness.next_id++, kCompleteOnly, {1});
    used.insert(harness.EndpointOf((harness.next_id - 1) * 100));
  }
  EXPECT_TRUE(used.contains(RouterHarness::EndpointInCell(2).id));
}

TEST(EndpointTable, AnnouncedRestartsDoNotCountAsLosses) {
  RouterHarness harness;
  harness.RunSequentialQueries(40);
  for (int cell : {0, 1}) {
    harness.Handle(EndpointListUpdate{
        EndpointListKind::kDelta, 2, {RouterHarness::EndpointInCell(cell, Availability::kDraining)}});
  }
  for (int cell : {0, 1}) {
    harness.Handle(
        EndpointListUpdate{EndpointListKind::kDelta,
                           3,
                           {RouterHarness::EndpointInCell(cell, Availability::kReady, harness.now)}});
  }
  harness.ReceiveQuery(1, kCompleteOnly, {0.2, 0.3, 0.5});
  EXPECT_EQ(harness.sent.size(), 3u);
}

}  // namespace
}  // namespace liftrudder::routing
