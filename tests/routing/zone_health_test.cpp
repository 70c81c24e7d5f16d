#include <gtest/gtest.h>

#include "routing/router_harness.h"

namespace liftrudder::routing {
namespace {

Settings TwoZones() {
  Settings settings = BaseSettings();
  settings.cells = settings.reach = settings.shards = 8;
  settings.hedging_allowed = false;
  return settings;
}

// Endpoints of even cells are in zone 0, the others in zone 1.
void PutInTwoZones(RouterHarness& harness) {
  EndpointListUpdate update{EndpointListKind::kFull, 2, {}};
  for (int cell = 0; cell < 8; ++cell) {
    update.endpoints.push_back(RouterHarness::EndpointInCell(cell));
    update.endpoints.back().zone = cell % 2;
  }
  harness.Handle(update);
}

int SentToZone1(const RouterHarness& harness) {
  int count = 0;
  for (const auto& [send, attempt] : harness.sent) count += send.endpoint.address % 2;
  return count;
}

TEST(ZoneHealth, EjectsAZoneAsAWholeExceptForProbes) {
  RouterHarness harness(TwoZones());
  PutInTwoZones(harness);
  harness.RunSequentialQueries(40);
  for (Id id = 1; id <= 40; ++id) harness.ReceiveQuery(id, kCompleteOnly, {1}, 3 * kLatencyObjective);
  harness.now += 100 * kMs;
  auto keys = harness.in_flight;
  for (const auto& [key, value] : keys) {
    if (value.endpoint.address % 2 == 0) harness.Finish(key.shard_request, key.attempt);
  }
  // Requests at each endpoint of zone 1 are overdue, but none for long enough to eject it by itself.
  for (int i = 0; i < 40; ++i) harness.Advance(5 * kMs);
  harness.sent.clear();
  for (Id id = 120; id < 160; ++id) harness.ReceiveQuery(id, kPartialAllowed, {1}, 3 * kLatencyObjective);
  EXPECT_GT(harness.sent.size(), 24u);
  EXPECT_EQ(SentToZone1(harness), 0);
  // The ejected zone gets probe requests.
  harness.now += 100 * kMs;
  keys = harness.in_flight;
  for (const auto& [key, value] : keys) {
    if (value.endpoint.address % 2 == 0) harness.Finish(key.shard_request, key.attempt);
  }
  harness.now += kLatencyObjective;
  harness.sent.clear();
  for (Id id = 240; id < 244; ++id) harness.ReceiveQuery(id, kPartialAllowed, {1}, 3 * kLatencyObjective);
  int probes = 0;
  for (const auto& [send, attempt] : harness.sent) probes += attempt == 0 && send.endpoint.address % 2;
  EXPECT_GE(probes, 1);
}

TEST(ZoneHealth, EjectsNoZoneWhenAllAreLate) {
  RouterHarness harness(TwoZones());
  PutInTwoZones(harness);
  harness.RunSequentialQueries(40);
  for (Id id = 1; id <= 12; ++id) harness.ReceiveQuery(id, kPartialAllowed, {1}, 3 * kLatencyObjective);
  for (int i = 0; i < 60; ++i) harness.Advance(5 * kMs);
  harness.sent.clear();
  for (Id id = 20; id < 28; ++id) harness.ReceiveQuery(id, kPartialAllowed, {1}, 3 * kLatencyObjective);
  EXPECT_GT(SentToZone1(harness), 0);
}

}  // namespace
}  // namespace liftrudder::routing
