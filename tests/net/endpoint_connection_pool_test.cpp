// The connection pool over loopback: the test acts as every endpoint and controls the order of events.
#include "net/endpoint_connection_pool.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <iterator>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "support/connection_pool_fixture.h"

using namespace liftrudder;
using coordinator::AttemptOutcome;
using coordinator::Cause;
using tests::ConnectionPoolFixture;
using tests::ServedResponse;

namespace {

constexpr net::Micros kTestTimeoutUs = 20'000'000;

}  // namespace

TEST_CASE("a request whose client has disconnected is not sent") {
  net::ConnectionLimits limits;
  limits.max_connections = limits.streams_per_connection = 1;
  ConnectionPoolFixture fixture(1, limits);
  auto client = std::make_shared<coordinator::ClientPresence>();
  SECTION("pending for the only connection") {
    fixture.Send(0);
    net::Fd endpoint = fixture.AcceptAndRead(0);
    fixture.Send(0, client);
    client->MarkDisconnected();
    net::WriteAll(endpoint, ServedResponse(1), kTestTimeoutUs);
    CHECK(fixture.WaitForResult(0).cause == Cause::kServed);
    coordinator::AttemptResult second = fixture.WaitForResult(1);
    CHECK(second.cause == Cause::kClientDisconnected);
    CHECK(coordinator::OutcomeOf(second.progress, second.cause) == coordinator::AttemptOutcome::kNotSent);
    fixture.pool.reset();
    std::string more;
    CHECK(net::ReadSome(endpoint, more, kTestTimeoutUs) == net::IoStatus::kEnd);
    CHECK(more.empty());
  }
  SECTION("when its round ends") {
    client->MarkDisconnected();
    fixture.Send(0, client);
    CHECK(fixture.WaitForResult(0).cause == Cause::kClientDisconnected);
  }
}

// Guards against a repeat that waits for a connection and is written after its deduplication window.
TEST_CASE("an attempt that waits for a connection is not sent after its latest send time") {
  net::ConnectionLimits limits;
  limits.max_connections = limits.streams_per_connection = 1;
  ConnectionPoolFixture fixture(1, limits);
  fixture.Send(0);
  net::Fd endpoint = fixture.AcceptAndRead(0);
  fixture.send_within_us = 50'000;
  fixture.Send(0);
  net::Micros latest_send_us = fixture.clock.Now() + 50'000;
  while (fixture.clock.Now() <= latest_send_us) net::Readable(endpoint.Get(), 1'000);
  net::WriteAll(endpoint, ServedResponse(1), kTestTimeoutUs);
  fixture.WaitForResult(1);
  coordinator::AttemptResult first = fixture.results[0];
  coordinator::AttemptResult repeat = fixture.results[1];
  if (repeat.key.shard_request == 1) std::swap(first, repeat);
  CHECK(first.cause == Cause::kServed);
  CHECK(repeat.cause == Cause::kRepeatTooLate);
  CHECK(coordinator::OutcomeOf(repeat.progress, repeat.cause) == AttemptOutcome::kNotSent);
  fixture.pool.reset();
  std::string more;
  CHECK(net::ReadSome(endpoint, more, kTestTimeoutUs) == net::IoStatus::kEnd);
  CHECK(more.empty());
}

TEST_CASE("an attempt is ended at its latest send time only if nothing of it has been written") {
  net::ConnectionLimits limits;
  limits.max_connections = limits.streams_per_connection = 1;
  ConnectionPoolFixture fixture(1, limits);
  fixture.Send(0);
  net::Fd endpoint = fixture.AcceptAndRead(0);
  fixture.Send(0);
  fixture.pool->EndIfUnsent({1, 0});
  fixture.pool->EndIfUnsent({2, 0});
  CHECK(fixture.WaitForResult(0).cause == Cause::kRepeatTooLate);
  net::WriteAll(endpoint, ServedResponse(1), kTestTimeoutUs);
  CHECK(fixture.WaitForResult(1).cause == Cause::kServed);
}

// Guards against a repeat whose last byte reaches its endpoint after the deduplication window.
TEST_CASE("a repeat that is partly written at its latest send time does not reach its end") {
  ConnectionPoolFixture fixture(2, {});
  fixture.statement.assign(tests::kMoreThanSocketBuffersHold, ' ');
  fixture.Send(0);
  net::Fd unlimited = fixture.AcceptAndRead(0);
  fixture.send_within_us = 100'000;
  fixture.Send(1);
  net::Fd limited = fixture.AcceptAndRead(1);
  coordinator::AttemptResult repeat = fixture.WaitForResult(0);
  CHECK(repeat.key.shard_request == 2);  // the other one may be written for longer
  CHECK(coordinator::OutcomeOf(repeat.progress, repeat.cause) == AttemptOutcome::kConnectFailed);
}

// Guards against a request that is sent for a client whose disconnection is not marked yet.
TEST_CASE("the client's connection is looked at before the first byte of a request") {
  class LeftUnnoticed : public coordinator::ClientPresence {
   public:
    bool CheckDisconnected() const override { return true; }
  };
  ConnectionPoolFixture fixture(1, {});
  fixture.Send(0, std::make_shared<LeftUnnoticed>());
  CHECK(fixture.WaitForResult(0).cause == Cause::kClientDisconnected);
}

TEST_CASE(
    "the requests of one round for one endpoint share a frame, without those whose client disconnected") {
  net::ConnectionLimits limits;
  limits.max_requests_per_call = 3;
  ConnectionPoolFixture fixture(1, limits);
  fixture.end_round_after_send = false;
  auto client = std::make_shared<coordinator::ClientPresence>();
  fixture.Send(0);
  fixture.Send(0, client);
  fixture.Send(0);
  client->MarkDisconnected();
  fixture.pool->EndRound();
  net::Fd endpoint = fixture.AcceptAndRead(0);
  auto request_line = [](int shard_request) {
    return "q." + std::to_string(shard_request) + " " + std::to_string(shard_request) + " d=";
  };
  std::size_t size = static_cast<unsigned char>(fixture.received[0]);
  REQUIRE(fixture.received.size() == size + 4);  // a single frame
  CHECK(fixture.received.find(request_line(1)) != std::string::npos);
  CHECK(fixture.received.find(request_line(2)) == std::string::npos);
  CHECK(fixture.received.find(request_line(3)) != std::string::npos);
  CHECK(fixture.WaitForResult(0).cause == Cause::kClientDisconnected);
  net::WriteAll(endpoint, ServedResponse(3) + ServedResponse(1), kTestTimeoutUs);
  CHECK(fixture.WaitForResult(1).cause == Cause::kServed);
  CHECK(fixture.WaitForResult(2).cause == Cause::kServed);
}

TEST_CASE("an attempt with a requested cancellation ends with its response or its connection") {
  ConnectionPoolFixture fixture(1, {});
  fixture.Send(0);
  net::Fd endpoint = fixture.AcceptAndRead(0);
  fixture.pool->RequestCancellation({1, 0});
  fixture.pool->RequestCancellation({1, 0});
  std::string cancellation;
  REQUIRE(net::ReadSome(endpoint, cancellation, kTestTimeoutUs) == net::IoStatus::kOk);
  CHECK(cancellation == std::string{4, 0, 0, 0} + "cq.1");  // sent only once
  CHECK(fixture.ResultCount() == 0);
  SECTION("answered") {
    net::WriteAll(endpoint, ServedResponse(1), kTestTimeoutUs);
    CHECK(fixture.WaitForResult(0).cause == Cause::kServed);
  }
  SECTION("reset") {
    endpoint = {};
    CHECK(fixture.WaitForResult(0).cause == Cause::kConnectionLost);
  }
  SECTION("its query has ended") {
    fixture.pool->CancelAttempt({1, 0}, fixture.update->endpoints[0].id, Cause::kCancelled);
    CHECK(fixture.WaitForResult(0).cause == Cause::kCancelled);
    fixture.pool.reset();
    cancellation.clear();
    CHECK(net::ReadSome(endpoint, cancellation, kTestTimeoutUs) == net::IoStatus::kEnd);
    CHECK(cancellation.empty());
  }
}

// One thread per endpoint and connection would reach the system's limit on threads in a large fleet, after
// which no attempt would end.
TEST_CASE("connections to many endpoints take one thread in all, and each attempt ends once") {
  constexpr int kEndpoints = 60;
  auto threads = [] { return std::distance(std::filesystem::directory_iterator("/proc/self/task"), {}); };
  net::Thread([] {}).Join();  // a sanitizer starts a thread of its own together with the first one
  auto before = threads();
  ConnectionPoolFixture pool_fixture(kEndpoints, {});
  for (int i = 0; i < kEndpoints; ++i) pool_fixture.Send(i);
  std::vector<net::Fd> connections;
  connections.reserve(kEndpoints);
  for (int i = 0; i < kEndpoints; ++i) connections.push_back(pool_fixture.AcceptAndRead(i));
  CHECK(threads() - before <= 1);
  connections.pop_back();  // closes the last endpoint's connection after its frame has arrived
  coordinator::AttemptResult first = pool_fixture.WaitForResult(0);
  CHECK(coordinator::OutcomeOf(first.progress, first.cause) == AttemptOutcome::kReset);
  pool_fixture.pool.reset();
  CHECK(pool_fixture.ResultCount() == kEndpoints);
}

TEST_CASE("an attempt waits while all connections are busy and does not count as a failure of its endpoint") {
  constexpr int kEndpoints = 6;
  constexpr int kMaxConnections = 4;
  net::ConnectionLimits limits;
  limits.max_connections = kMaxConnections;
  ConnectionPoolFixture pool_fixture(kEndpoints, limits);
  for (int i = 0; i < kEndpoints; ++i) pool_fixture.Send(i);
  std::vector<net::Fd> connections;
  connections.reserve(kEndpoints);
  for (int i = 0; i < kMaxConnections; ++i) connections.push_back(pool_fixture.AcceptAndRead(i));
  CHECK(pool_fixture.ResultCount() == 0);
  // After one response, its connection is closed to make room for the endpoint that has waited longest.
  net::WriteAll(connections[2], ServedResponse(3), 1'000'000);
  CHECK(pool_fixture.WaitForResult(0).cause == Cause::kServed);
  connections.push_back(pool_fixture.AcceptAndRead(kMaxConnections));
  net::WriteAll(connections[0], ServedResponse(1), 1'000'000);
  CHECK(pool_fixture.WaitForResult(1).cause == Cause::kServed);
  connections.push_back(pool_fixture.AcceptAndRead(kMaxConnections + 1));
  CHECK(pool_fixture.ResultCount() == 2);
}

TEST_CASE("second connections to some endpoints leave room for a first one to each") {
  constexpr int kEndpoints = 8;
  constexpr int kMaxConnections = 10;
  net::ConnectionLimits limits;
  limits.max_connections = kMaxConnections;
  ConnectionPoolFixture pool_fixture(kEndpoints, limits);
  std::vector<net::Fd> connections;
  connections.reserve(kEndpoints);
  for (int i = 0; i < kEndpoints; ++i) pool_fixture.Send(i);
  for (int i = 0; i < kEndpoints; ++i) connections.push_back(pool_fixture.AcceptAndRead(i));
  net::WriteAll(connections[7], ServedResponse(8), 1'000'000);
  pool_fixture.WaitForResult(0);
  // A second shard request for each of the others shares its connection.
  for (int i = 0; i < kEndpoints - 1; ++i) pool_fixture.Send(i);
  pool_fixture.Send(kEndpoints - 1);
  std::string received;
  REQUIRE(net::ReadSome(connections[7], received, 10'000'000) == net::IoStatus::kOk);
  CHECK(pool_fixture.counters.connections_opened.Value() == kEndpoints);
  CHECK(pool_fixture.ResultCount() == 1);
}

// Guards against serving a response that was sent before its request had been written to the end.
TEST_CASE("a response to a shard request that is partly written is not served") {
  ConnectionPoolFixture fixture(1, {});
  fixture.statement.assign(tests::kMoreThanSocketBuffersHold, ' ');
  fixture.Send(0);
  net::Fd endpoint = fixture.AcceptAndRead(0);
  net::WriteAll(endpoint, ServedResponse(1), kTestTimeoutUs);
  coordinator::AttemptResult result = fixture.WaitForResult(0);
  CHECK(result.value.empty());
  CHECK(coordinator::OutcomeOf(result.progress, result.cause) == AttemptOutcome::kConnectFailed);
}

// Guards against decoding the response to a new request as the rest of a frame that nobody asked for.
TEST_CASE("a connection on which an unrequested frame has begun takes no request") {
  ConnectionPoolFixture fixture(1, {});
  std::size_t begun_bytes = GENERATE(1u, 4u, 5u, 20u);
  std::string copy = ServedResponse(1);
  fixture.Send(0);
  net::Fd first = fixture.AcceptAndRead(0);
  net::WriteAll(first, ServedResponse(1) + copy.substr(0, begun_bytes), kTestTimeoutUs);
  CHECK(fixture.WaitForResult(0).cause == Cause::kServed);
  fixture.Send(0);
  net::Fd second = fixture.AcceptAndRead(0);
  net::WriteAll(first, copy.substr(begun_bytes), kTestTimeoutUs);
  std::string end;
  CHECK(net::ReadSome(first, end, kTestTimeoutUs) == net::IoStatus::kEnd);
  net::WriteAll(second, ServedResponse(2), kTestTimeoutUs);
  CHECK(fixture.WaitForResult(1).cause == Cause::kServed);
}

// Guards against taking a second copy of a rejection for the response to the retry, which runs and would be
// sent again.
TEST_CASE("a retry does not use the connection on which its shard request was rejected") {
  net::ConnectionLimits limits;
  limits.max_connections = 1;
  ConnectionPoolFixture fixture(1, limits);
  fixture.Send(0);
  net::Fd first = fixture.AcceptAndRead(0);
  SECTION("in time") {
    net::WriteAll(first, tests::Response(1, "skipped"), kTestTimeoutUs);
    CHECK(fixture.WaitForResult(0).cause != Cause::kServed);
  }
  SECTION("after the attempt had timed out") {
    fixture.pool->CancelAttempt({1, 0}, fixture.update->endpoints[0].id, Cause::kExpired);
    fixture.Send(0);
    net::WriteAll(first, tests::Response(1, "skipped") + ServedResponse(2), kTestTimeoutUs);
    CHECK(fixture.WaitForResult(1).cause == Cause::kServed);
  }
  fixture.StartAttempt(0, {1, 1});
  net::Fd second = fixture.AcceptAndRead(0);
  std::size_t ended = fixture.ResultCount();
  net::WriteAll(second, ServedResponse(1), kTestTimeoutUs);
  CHECK(fixture.WaitForResult(ended).cause == Cause::kServed);
}

// Guards against a second copy of an error by which a retry that runs would count as never run.
TEST_CASE("a second copy of an error ends the retry as one that may have run") {
  net::ConnectionLimits limits;
  limits.max_connections = 1;
  ConnectionPoolFixture fixture(1, limits);
  fixture.Send(0);
  net::Fd endpoint = fixture.AcceptAndRead(0);
  net::WriteAll(endpoint, tests::Response(1, "broke"), kTestTimeoutUs);
  CHECK(fixture.WaitForResult(0).cause == Cause::kEndpointError);
  fixture.StartAttempt(0, {1, 1});
  std::string retry;
  REQUIRE(net::ReadSome(endpoint, retry, kTestTimeoutUs) == net::IoStatus::kOk);
  net::WriteAll(endpoint, tests::Response(1, "broke"), kTestTimeoutUs);
  coordinator::AttemptResult result = fixture.WaitForResult(1);
  CHECK(coordinator::OutcomeOf(result.progress, result.cause) == AttemptOutcome::kError);
}
