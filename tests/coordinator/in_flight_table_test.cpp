#include "coordinator/in_flight_table.h"

#include <catch2/catch.hpp>

using liftrudder::coordinator::Cause;
using liftrudder::coordinator::InFlightTable;
using liftrudder::coordinator::Progress;
using liftrudder::coordinator::QueryRequest;

TEST_CASE("an attempt ends once") {
  InFlightTable in_flight;
  QueryRequest request;
  request.shard_requests = {{0, 1, 0, 0}};
  in_flight.AddQuery(5, request, nullptr);
  CHECK(in_flight.AddAttempt(*in_flight.FindShardRequest(6), {{1, 1}, 10, 100, 100, true}) == 0);
  CHECK(in_flight.NextExpiry() == 100);
  auto finished = in_flight.FinishAttempt({{6, 0}, Progress::kAnswering, Cause::kServed, {}, "v"}, 30);
  REQUIRE(finished);
  CHECK(finished->spent_us == 20);
  CHECK(finished->shard_request_done);
  CHECK_FALSE(in_flight.FinishAttempt({{6, 0}, Progress::kFullyWritten, Cause::kExpired, {}, ""}, 40));
  CHECK(in_flight.TakeExpired(1000).empty());
  CHECK(in_flight.RemoveQuery(5).at(0).value == "v");
  CHECK(in_flight.FindShardRequest(6) == nullptr);
}

TEST_CASE("an attempt that must be sent before its deadline is returned once at its latest send time") {
  InFlightTable in_flight;
  QueryRequest request;
  request.shard_requests = {{0, 1, 0, 0}};
  in_flight.AddQuery(5, request, nullptr);
  in_flight.AddAttempt(*in_flight.FindShardRequest(6), {{1, 1}, 10, 100, 100, true});
  in_flight.AddAttempt(*in_flight.FindShardRequest(6), {{2, 1}, 10, 100, 40, true});
  in_flight.AddAttempt(*in_flight.FindShardRequest(6), {{3, 1}, 10, 100, 40, true});
  CHECK(in_flight.NextExpiry() == 40);
  in_flight.FinishAttempt({{6, 2}, Progress::kNotConnected, Cause::kConnectionLost, {}, ""}, 20);
  CHECK(in_flight.TakePastLatestSend(39).empty());
  auto keys = in_flight.TakePastLatestSend(40);
  REQUIRE(keys.size() == 1);
  CHECK(keys[0].attempt == 1);
  CHECK(in_flight.TakePastLatestSend(100).empty());
  CHECK(in_flight.NextExpiry() == 100);
}
