#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <set>
#include <vector>

#include "routing/router_harness.h"

namespace liftrudder::routing {
namespace {

TEST(EndpointSelector, ChoosesTheFewestOwnRequestsInFlight) {
  RouterHarness harness;
  for (Id id = 1; id <= 4; ++id) harness.ReceiveQuery(id, kCompleteOnly, {1});
  std::set<EndpointId> used;
  for (const auto& [send, attempt] : harness.sent) used.insert(send.endpoint);
  EXPECT_EQ(used.size(), 4u);
}

TEST(EndpointSelector, ChoosesOnlyReplicasOfTheShard) {
  Settings settings = BaseSettings();
  settings.reach = 1;
  RouterHarness harness(settings);
  harness.ReceiveQuery(1, kCompleteOnly, {0.25, 0.25, 0.25, 0.25});
  for (Id shard_request = 100; shard_request < 104; ++shard_request) {
    EXPECT_EQ(harness.EndpointOf(shard_request).address, shard_request - 100);
  }
}

TEST(EndpointSelector, ChoosesNoDrainingOrRemovedEndpoint) {
  RouterHarness harness;
  harness.Handle(EndpointListUpdate{EndpointListKind::kDelta,
                                    2,
                                    {RouterHarness::EndpointInCell(0, Availability::kDraining),
                                     RouterHarness::EndpointInCell(1, Availability::kRemoved)}});
  for (Id id = 1; id <= 20; ++id) harness.ReceiveQuery(id, kCompleteOnly, {1});
  for (const auto& [send, attempt] : harness.sent) EXPECT_GE(send.endpoint.address, 2u);
}

// Requests that go to one endpoint in one round share a call.
TEST(EndpointSelector, CountsCallsRatherThanRequests) {
  Settings settings = BaseSettings();
  settings.max_requests_per_call = 4;
  settings.cells = settings.shards = settings.reach = 1;
  int widest = 0;
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    RouterHarness harness(settings, seed);
    EndpointListUpdate update{
        EndpointListKind::kFull, 2, {RouterHarness::EndpointInCell(0), RouterHarness::EndpointInCell(0)}};
    update.endpoints[1].id.address = 9;
    harness.Handle(update);
    // The first two requests go to different endpoints, each in its own call; the others join either call.
    std::vector<Event> events{QueryReceived{1, 1, 5, kCompleteOnly, 0, false, 0, 3 * kLatencyObjective, 0}};
    for (Id shard_request = 100; shard_request < 105; ++shard_request) {
      events.emplace_back(ShardRequestReceived{shard_request, 1, 0, 0.2, 0, 0});
    }
    harness.Handle(events);
    std::map<EndpointId, int> shard_requests;
    for (const auto& [send, attempt] : harness.sent) ++shard_requests[send.endpoint];
    ASSERT_EQ(shard_requests.size(), 2u);
    widest = std::max(widest, std::abs(shard_requests.begin()->second - shard_requests.rbegin()->second));
  }
  EXPECT_GT(widest, 1);
}

TEST(EndpointSelector, KeyAffinityBreaksTiesAlikeAtEveryCoordinator) {
  for (bool key_affinity : {true, false}) {
    Settings settings = BaseSettings();
    settings.key_affinity = key_affinity;
    std::set<EndpointId> by_key, of_one_key;
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
      for (std::uint64_t key : {seed, std::uint64_t{77}}) {
        RouterHarness harness(settings, seed);
        harness.Handle({QueryReceived{1, 1, 1, kCompleteOnly, 0, false, key, 3 * kLatencyObjective, 0},
                        ShardRequestReceived{100, 1, 0, 1, key, 0}});
        (key == 77 ? of_one_key : by_key).insert(harness.EndpointOf(100));
      }
    }
    EXPECT_GT(by_key.size(), 1u);
    EXPECT_EQ(of_one_key.size() == 1, key_affinity);
  }
}

}  // namespace
}  // namespace liftrudder::routing
