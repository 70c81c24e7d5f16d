// The connection pool over loopback: the test is each endpoint, and decides what happens when.
#include "net/endpoint_connection_pool.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <iterator>
#include <memory>
#include <string>
#include <vector>

#include "support/connection_pool_fixture.h"

using namespace liftrudder;
using coordinator::AttemptOutcome;
using coordinator::Cause;
using tests::ConnectionPoolFixture;
using tests::ServedResponse;

namespace {

constexpr net::Micros kTestTimeout = 20'000'000;

}  // namespace

TEST_CASE("a request whose client has disconnected is not sent") {
  net::ConnectionLimits limits;
  limits.max_connections = limits.streams_per_connection = 1;
  ConnectionPoolFixture fixture(1, limits);
  auto client = std::make_shared<coordinator::ClientPresence>();
  SECTION("pending for the only connection") {
    fixture.Send(0);
    net::Fd endpoint = fixture.Take(0);
    fixture.Send(0, client);
    client->MarkDisconnected();
    net::WriteAll(endpoint, ServedResponse(1), kTestTimeout);
    CHECK(fixture.Ended(0).cause == Cause::kServed);
    coordinator::AttemptResult second = fixture.Ended(1);
    CHECK(second.cause == Cause::kClientDisconnected);
    CHECK(coordinator::OutcomeOf(second.progress, second.cause) == coordinator::AttemptOutcome::kNotSent);
    fixture.pool.reset();
    std::string more;
    CHECK(net::ReadSome(endpoint, more, kTestTimeout) == net::Io::kEnd);
    CHECK(more.empty());
  }
  SECTION("when its round ends") {
    client->MarkDisconnected();
    fixture.Send(0, client);
    CHECK(fixture.Ended(0).cause == Cause::kClientDisconnected);
  }
}

TEST_CASE(
    "the requests of one round for one endpoint share a frame, without those whose client disconnected") {
  net::ConnectionLimits limits;
  limits.max_requests_per_call = 3;
  ConnectionPoolFixture fixture(1, limits);
  fixture.ends_round = false;
  auto client = std::make_shared<coordinator::ClientPresence>();
  fixture.Send(0);
  fixture.Send(0, client);
  fixture.Send(0);
  client->MarkDisconnected();
  fixture.pool->EndRound();
  net::Fd endpoint = fixture.Take(0);
  auto request_line = [](int shard_request) {
    return "q." + std::to_string(shard_request) + " " + std::to_string(shard_request) + " d=";
  };
  std::size_t size = static_cast<unsigned char>(fixture.got[0]);
  REQUIRE(fixture.got.size() == size + 4);  // one frame
  CHECK(fixture.got.find(request_line(1)) != std::string::npos);
  CHECK(fixture.got.find(request_line(2)) == std::string::npos);
  CHECK(fixture.got.find(request_line(3)) != std::string::npos);
  CHECK(fixture.Ended(0).cause == Cause::kClientDisconnected);
  net::WriteAll(endpoint, ServedResponse(3) + ServedResponse(1), kTestTimeout);
  CHECK(fixture.Ended(1).cause == Cause::kServed);
  CHECK(fixture.Ended(2).cause == Cause::kServed);
}

TEST_CASE("an attempt with a requested cancellation ends with its response or its connection") {
  ConnectionPoolFixture fixture(1, {});
  fixture.Send(0);
  net::Fd endpoint = fixture.Take(0);
  fixture.pool->RequestCancellation({1, 0});
  fixture.pool->RequestCancellation({1, 0});
  std::string cancellation;
  REQUIRE(net::ReadSome(endpoint, cancellation, kTestTimeout) == net::Io::kOk);
  CHECK(cancellation == std::string{4, 0, 0, 0} + "cq.1");  // once
  CHECK(fixture.Results() == 0);
  SECTION("answered") {
    net::WriteAll(endpoint, ServedResponse(1), kTestTimeout);
    CHECK(fixture.Ended(0).cause == Cause::kServed);
  }
  SECTION("reset") {
    endpoint = {};
    CHECK(fixture.Ended(0).cause == Cause::kConnectionLost);
  }
  SECTION("its query has ended") {
    fixture.pool->CancelAttempt({1, 0}, fixture.update->endpoints[0].id, Cause::kCancelled);
    CHECK(fixture.Ended(0).cause == Cause::kCancelled);
    fixture.pool.reset();
    cancellation.clear();
    CHECK(net::ReadSome(endpoint, cancellation, kTestTimeout) == net::Io::kEnd);
    CHECK(cancellation.empty());
  }
}

// A thread for each endpoint and each connection runs into the system's limit on threads in a large fleet,
// after which no attempt ends.
TEST_CASE("connections to many endpoints take one thread in all, and each attempt ends once") {
  constexpr int kEndpoints = 60;
  auto threads = [] { return std::distance(std::filesystem::directory_iterator("/proc/self/task"), {}); };
  net::Thread([] {}).Join();  // a sanitizer starts one of its own beside the first
  auto before = threads();
  ConnectionPoolFixture all(kEndpoints, {});
  for (int i = 0; i < kEndpoints; ++i) all.Send(i);
  std::vector<net::Fd> connections;
  connections.reserve(kEndpoints);
  for (int i = 0; i < kEndpoints; ++i) connections.push_back(all.Take(i));
  CHECK(threads() - before <= 1);
  connections.pop_back();  // the last endpoint's connection ends after its frame came
  coordinator::AttemptResult first = all.Ended(0);
  CHECK(coordinator::OutcomeOf(first.progress, first.cause) == AttemptOutcome::kReset);
  all.pool.reset();
  CHECK(all.Results() == kEndpoints);
}

TEST_CASE("an attempt that finds all connections busy waits for one, and is no failure of its endpoint") {
  constexpr int kEndpoints = 6;
  constexpr int kMaxConnections = 4;
  net::ConnectionLimits limits;
  limits.max_connections = kMaxConnections;
  ConnectionPoolFixture all(kEndpoints, limits);
  for (int i = 0; i < kEndpoints; ++i) all.Send(i);
  std::vector<net::Fd> connections;
  connections.reserve(kEndpoints);
  for (int i = 0; i < kMaxConnections; ++i) connections.push_back(all.Take(i));
  CHECK(all.Results() == 0);
  // One response has come: its connection makes room for the next in turn.
  net::WriteAll(connections[2], ServedResponse(3), 1'000'000);
  CHECK(all.Ended(0).cause == Cause::kServed);
  connections.push_back(all.Take(kMaxConnections));
  net::WriteAll(connections[0], ServedResponse(1), 1'000'000);
  CHECK(all.Ended(1).cause == Cause::kServed);
  connections.push_back(all.Take(kMaxConnections + 1));
  CHECK(all.Results() == 2);
}

TEST_CASE("second connections to some endpoints leave room for a first one to each") {
  constexpr int kEndpoints = 8;
  constexpr int kMaxConnections = 10;
  net::ConnectionLimits limits;
  limits.max_connections = kMaxConnections;
  ConnectionPoolFixture all(kEndpoints, limits);
  std::vector<net::Fd> connections;
  connections.reserve(kEndpoints);
  for (int i = 0; i < kEndpoints; ++i) all.Send(i);
  for (int i = 0; i < kEndpoints; ++i) connections.push_back(all.Take(i));
  net::WriteAll(connections[7], ServedResponse(8), 1'000'000);
  all.Ended(0);
  // A second shard request for each of the others shares its connection.
  for (int i = 0; i < kEndpoints - 1; ++i) all.Send(i);
  all.Send(kEndpoints - 1);
  std::string got;
  REQUIRE(net::ReadSome(connections[7], got, 10'000'000) == net::Io::kOk);
  CHECK(all.counters.connects.Value() == kEndpoints);
  CHECK(all.Results() == 1);
}
