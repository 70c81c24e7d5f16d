#include <gtest/gtest.h>

#include "routing/router_harness.h"

namespace liftrudder::routing {
namespace {

TEST(SlowStart, AStartedEndpointGetsNoMoreThanItsSlowStartShare) {
  RouterHarness harness;
  harness.RunSequentialQueries(40, 20 * kMs);
  harness.Handle(EndpointListUpdate{
      EndpointListKind::kDelta, 2, {RouterHarness::EndpointInCell(0, Availability::kReady, harness.now)}});
  int to_starting = 0, to_others = 0;
  for (int i = 0; i < 60; ++i) {
    harness.ReceiveQuery(harness.next_id++, kCompleteOnly, {1});
    (harness.sent.back().send.endpoint.address == 0 ? to_starting : to_others)++;
    harness.now += 20 * kMs;
    harness.FinishAll();
  }
  EXPECT_GE(to_starting, 1);
  EXPECT_LE(to_starting, 0.5 * to_others / 3);
}

TEST(SlowStart, LimitsHoldWhenAllEndpointsStartTogether) {
  RouterHarness harness;
  EndpointListUpdate update{EndpointListKind::kDelta, 2, {}};
  for (int cell = 0; cell < 4; ++cell) {
    update.endpoints.push_back(RouterHarness::EndpointInCell(cell, Availability::kReady, harness.now));
  }
  harness.Handle(update);
  for (int i = 0; i < 50; ++i) harness.ReceiveQuery(harness.next_id++, kCompleteOnly, {1});
  EXPECT_LE(harness.sent.size(), 4u);
}

// Each coordinator decides alone, but their first requests add up.
TEST(SlowStart, LimitsHoldForALargeFleetTogether) {
  Settings settings = BaseSettings();
  settings.fleet_size = 30;
  int to_starting = 0;
  for (int instance = 0; instance < settings.fleet_size; ++instance) {
    RouterHarness harness(settings, static_cast<std::uint64_t>(instance + 1));
    harness.RunSequentialQueries(20);
    harness.Handle(EndpointListUpdate{
        EndpointListKind::kDelta, 2, {RouterHarness::EndpointInCell(0, Availability::kReady, harness.now)}});
    for (int i = 0; i < 4; ++i) harness.ReceiveQuery(harness.next_id++, kCompleteOnly, {1});
    for (const auto& [send, attempt] : harness.sent) to_starting += send.endpoint.address == 0;
  }
  EXPECT_GE(to_starting, 1);
  EXPECT_LE(to_starting, 18);  // if each coordinator sent at least one, there would be 30
}

}  // namespace
}  // namespace liftrudder::routing
