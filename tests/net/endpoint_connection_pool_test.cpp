// EndpointConnectionPool: clients that disconnect and cancellations, before and after a request's first byte.
#define CATCH_CONFIG_MAIN
#include "net/endpoint_connection_pool.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "support/connection_pool_fixture.h"

using namespace liftrudder;
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
    CHECK(second.cause == Cause::kLeft);
    CHECK(coordinator::OutcomeOf(second.progress, second.cause) == coordinator::AttemptOutcome::kNotSent);
    fixture.pool.reset();
    std::string more;
    CHECK(net::ReadSome(endpoint, more, kTestTimeout) == net::Io::kEnd);
    CHECK(more.empty());
  }
  SECTION("when its round ends") {
    client->MarkDisconnected();
    fixture.Send(0, client);
    CHECK(fixture.Ended(0).cause == Cause::kLeft);
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
  CHECK(fixture.Ended(0).cause == Cause::kLeft);
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
