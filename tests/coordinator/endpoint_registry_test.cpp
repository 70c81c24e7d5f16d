#include "coordinator/endpoint_registry.h"

#include <catch2/catch.hpp>

using liftrudder::coordinator::EndpointEntry;
using liftrudder::coordinator::EndpointRegistry;
using liftrudder::routing::Availability;
using liftrudder::routing::EndpointListKind;

TEST_CASE("the registry applies versions in order and remembers when draining was notified") {
  EndpointRegistry registry;
  EndpointEntry a{"a", "127.0.0.1:1", {}};
  EndpointEntry b{"b", "127.0.0.1:2", {}};
  auto cached = registry.Apply({4, EndpointListKind::kCached, {a, b}}, 10);
  REQUIRE(cached);
  auto id = cached->endpoints[0].id;
  a.endpoint.availability = Availability::kDraining;
  CHECK_FALSE(registry.Apply({4, EndpointListKind::kDelta, {a}}, 20));
  REQUIRE(registry.Apply({5, EndpointListKind::kDelta, {a}}, 30));
  // No grace period is added: it is unknown how long before the notification the draining began.
  auto drain_notified_us = registry.Find(id).drain_notified_us;
  CHECK(drain_notified_us == 30);
  a.endpoint.availability = Availability::kRemoved;
  REQUIRE(registry.Apply({6, EndpointListKind::kDelta, {a}}, 500'000));
  CHECK(registry.Find(id).drain_notified_us == drain_notified_us);  // the first notification counts
  a.addr = "127.0.0.1:9";
  a.endpoint.availability = Availability::kReady;
  CHECK(registry.Apply({7, EndpointListKind::kFull, {a}}, 600'000)->endpoints[0].id == id);
  CHECK(registry.Find(id).addr == "127.0.0.1:9");
  // b is missing from the full list, so it is removed.
  CHECK(registry.Find(cached->endpoints[1].id).drain_notified_us > 0);
}

TEST_CASE("a cached list does not end the wait for the first list; any other list or MarkUpToDate does") {
  EndpointRegistry registry;
  EndpointEntry a{"a", "127.0.0.1:1", {}};
  registry.Apply({4, EndpointListKind::kCached, {a}}, 10);
  CHECK_FALSE(registry.WaitUntilUpToDate(0));
  registry.Apply({5, EndpointListKind::kDelta, {a}}, 20);
  CHECK(registry.WaitUntilUpToDate(20'000'000));
  EndpointRegistry polled;
  polled.MarkUpToDate();
  CHECK(polled.WaitUntilUpToDate(20'000'000));
}

TEST_CASE("an endpoint removed long ago is forgotten and gets a new id when it is listed again") {
  EndpointRegistry registry;
  EndpointEntry a{"a", "127.0.0.1:1", {}};
  EndpointEntry removed = a;
  removed.endpoint.availability = Availability::kRemoved;
  auto id = registry.Apply({1, EndpointListKind::kFull, {a}}, 10)->endpoints[0].id;
  registry.Apply({2, EndpointListKind::kDelta, {removed}}, 20);
  CHECK(registry.Find(id).id == "a");
  registry.Apply({3, EndpointListKind::kDelta, {}}, 60'000'000);
  CHECK(registry.Find(id).id.empty());
  CHECK_FALSE(registry.Apply({2, EndpointListKind::kDelta, {a}}, 60'000'001));
  CHECK(registry.Apply({4, EndpointListKind::kDelta, {a}}, 60'000'002)->endpoints[0].id != id);
}

// Guards against work for an endpoint that has gone, sent to the new process at its address.
TEST_CASE("an endpoint is replaced by one that started later at the same address") {
  EndpointRegistry registry;
  EndpointEntry a{"a", "127.0.0.1:1", {}};
  EndpointEntry b{"b", "127.0.0.1:2", {}};
  auto first = registry.Apply({1, EndpointListKind::kFull, {a, b}}, 10);
  EndpointEntry n{"n", "127.0.0.1:1", {}};
  n.endpoint.started_us = 5;
  auto update = registry.Apply({2, EndpointListKind::kDelta, {n}}, 20);
  REQUIRE(update);
  REQUIRE(update->endpoints.size() == 2);
  CHECK(update->endpoints[1].id == first->endpoints[0].id);
  CHECK(update->endpoints[1].availability == Availability::kRemoved);
  CHECK(registry.Find(first->endpoints[0].id).drain_notified_us == 20);
  CHECK(registry.Find(first->endpoints[1].id).drain_notified_us == 0);
  CHECK(registry.Find(update->endpoints[0].id).drain_notified_us == 0);
  CHECK(registry.ListedEndpoints() == 2);
  // A full list that names both keeps the replacement; an address of its own brings the endpoint back.
  update = registry.Apply({3, EndpointListKind::kFull, {a, b, n}}, 30);
  CHECK(update->endpoints.size() == 3);
  CHECK(update->endpoints[0].availability == Availability::kRemoved);
  CHECK(registry.Find(first->endpoints[0].id).drain_notified_us > 0);
  a.addr = "127.0.0.1:3";
  update = registry.Apply({4, EndpointListKind::kDelta, {a}}, 40);
  CHECK(update->endpoints[0].availability == Availability::kReady);
  CHECK(registry.Find(first->endpoints[0].id).drain_notified_us == 0);
}

TEST_CASE("endpoints with the same start time may share an address") {
  EndpointRegistry registry;
  EndpointEntry a{"a", "127.0.0.1:1", {}};
  EndpointEntry b{"b", "127.0.0.1:1", {}};
  auto update = registry.Apply({1, EndpointListKind::kFull, {a, b}}, 10);
  CHECK(update->endpoints[0].availability == Availability::kReady);
  CHECK(update->endpoints[1].availability == Availability::kReady);
}
