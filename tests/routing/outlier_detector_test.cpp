#include <gtest/gtest.h>

#include "routing/router_harness.h"

namespace liftrudder::routing {
namespace {

TEST(OutlierDetector, SendsOnlyProbesToAnUnresponsiveEndpoint) {
  RouterHarness harness;
  harness.RunSequentialQueries(60);
  harness.ReceiveQuery(1, kCompleteOnly, {1});
  EndpointId unresponsive = harness.EndpointOf(100);
  auto stuck = harness.in_flight;
  for (int i = 0; i < 120; ++i) harness.Advance(5 * kMs);
  int to_unresponsive = 0;
  for (int i = 0; i < 200; ++i) {
    harness.ReceiveQuery(harness.next_id++, kCompleteOnly, {1});
    to_unresponsive += harness.sent.back().send.endpoint == unresponsive;
    harness.now += 10 * kMs;
    auto keys = harness.in_flight;
    for (const auto& [key, value] : keys) {
      if (value.endpoint != unresponsive) harness.Finish(key.shard_request, key.attempt);
    }
  }
  EXPECT_GE(to_unresponsive, 1);
  EXPECT_LE(to_unresponsive, 10);  // a fair share is 50
}

// An endpoint that fails fast has nothing in flight, so it would attract every request.
TEST(OutlierDetector, EjectsAnEndpointThatFailsFast) {
  RouterHarness harness;
  harness.RunSequentialQueries(40);
  int to_faulty = 0;
  for (int i = 0; i < 60; ++i) {
    harness.ReceiveQuery(harness.next_id++, kCompleteOnly, {1});
    harness.now += kMs;
    auto keys = harness.in_flight;
    for (const auto& [key, value] : keys) {
      bool bad = value.endpoint.address == 2;
      to_faulty += bad;
      harness.Finish(key.shard_request, key.attempt, bad ? AttemptOutcome::kError : AttemptOutcome::kOk);
    }
  }
  EXPECT_LE(to_faulty, 6);
}

TEST(OutlierDetector, OneAnswerAmongErrorsDoesNotReadmit) {
  RouterHarness harness;
  harness.RunSequentialQueries(40);
  int to_faulty = 0;
  for (int i = 0; i < 200; ++i) {
    harness.ReceiveQuery(harness.next_id++, kCompleteOnly, {1});
    harness.now += 50 * kMs;
    auto keys = harness.in_flight;
    for (const auto& [key, value] : keys) {
      bool bad = value.endpoint.address == 2;
      to_faulty += bad;
      harness.Finish(key.shard_request, key.attempt,
                     bad && to_faulty % 4 != 0 ? AttemptOutcome::kError : AttemptOutcome::kOk);
    }
  }
  EXPECT_LE(to_faulty, 14);
}

TEST(OutlierDetector, SpacesProbesByTheTrafficOfHealthyEndpoints) {
  Settings settings = BaseSettings();
  settings.cancellation_allowed = false;
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    RouterHarness harness(settings, seed);
    harness.RunSequentialQueries(60);
    harness.ReceiveQuery(1, kCompleteOnly, {1}, 3 * kLatencyObjective);
    EndpointId unresponsive = harness.EndpointOf(100);
    for (int i = 0; i < 150; ++i) harness.Advance(5 * kMs);
    for (Id id = 2; id <= 3; ++id) {
      harness.now += 600 * kMs;  // long enough by time alone
      harness.ReceiveQuery(id, kCompleteOnly, {1});
      EXPECT_NE(harness.EndpointOf(id * 100), unresponsive);
    }
  }
}

// A timeout comes from the coordinator's own clock and says nothing about the endpoint.
TEST(OutlierDetector, ATimeoutDoesNotCountAsAReply) {
  Settings settings = BaseSettings();
  settings.cells = settings.reach = settings.shards = 2;
  settings.hedging_allowed = settings.cancellation_allowed = false;
  RouterHarness harness(settings);
  harness.RunSequentialQueries(60);
  for (Id id = 1; id <= 6; ++id) harness.ReceiveQuery(id, kCompleteOnly, {1}, 3 * kLatencyObjective);
  harness.now += 100 * kMs;
  auto keys = harness.in_flight;
  bool timed_out = false;
  for (const auto& [key, value] : keys) {
    bool unresponsive = value.endpoint.address == 0;
    if (unresponsive && timed_out) continue;
    harness.Finish(key.shard_request, key.attempt,
                   unresponsive ? AttemptOutcome::kTimeout : AttemptOutcome::kOk);
    timed_out = timed_out || unresponsive;
  }
  for (int i = 0; i < 140; ++i) harness.Advance(5 * kMs);
  harness.sent.clear();
  for (Id id = 10; id <= 12; ++id) harness.ReceiveQuery(id, kCompleteOnly, {1}, 3 * kLatencyObjective);
  int to_unresponsive = 0;
  for (const auto& [send, attempt] : harness.sent) to_unresponsive += send.endpoint.address == 0;
  EXPECT_LE(to_unresponsive, 1);
}

}  // namespace
}  // namespace liftrudder::routing
