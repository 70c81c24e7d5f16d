// The connection pool over loopback: the test is each endpoint, and decides what happens when.
#include "net/endpoint_connection_pool.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <iterator>
#include <string>
#include <vector>

#include "support/connection_pool_fixture.h"

using namespace liftrudder;
using coordinator::AttemptOutcome;
using coordinator::Cause;
using tests::AnsweredQuery;
using tests::LinksUnderTest;

// A thread for each endpoint and each connection runs into the system's limit on threads in a large fleet,
// after which no attempt ends.
TEST_CASE("connections to many endpoints take one thread in all, and each attempt ends once") {
  constexpr int kEndpoints = 60;
  auto threads = [] { return std::distance(std::filesystem::directory_iterator("/proc/self/task"), {}); };
  net::Thread([] {}).Join();  // a sanitizer starts one of its own beside the first
  auto before = threads();
  LinksUnderTest all(kEndpoints, {});
  for (int i = 0; i < kEndpoints; ++i) all.Send(i);
  std::vector<net::Fd> connections;
  connections.reserve(kEndpoints);
  for (int i = 0; i < kEndpoints; ++i) connections.push_back(all.Take(i));
  CHECK(threads() - before <= 1);
  connections.pop_back();  // the last endpoint's connection ends after its frame came
  coordinator::AttemptResult first = all.Ended(0);
  CHECK(coordinator::OutcomeOf(first.progress, first.cause) == AttemptOutcome::kReset);
  all.links.reset();
  CHECK(all.Results() == kEndpoints);
}

TEST_CASE("an attempt that finds all connections busy waits for one, and is no failure of its endpoint") {
  constexpr int kEndpoints = 6;
  constexpr int kMaxConnections = 4;
  net::ConnectionLimits limits;
  limits.max_connections = kMaxConnections;
  LinksUnderTest all(kEndpoints, limits);
  for (int i = 0; i < kEndpoints; ++i) all.Send(i);
  std::vector<net::Fd> connections;
  connections.reserve(kEndpoints);
  for (int i = 0; i < kMaxConnections; ++i) connections.push_back(all.Take(i));
  CHECK(all.Results() == 0);
  // One response has come: its connection makes room for the next in turn.
  net::WriteAll(connections[2], AnsweredQuery(3), 1'000'000);
  CHECK(all.Ended(0).cause == Cause::kServed);
  connections.push_back(all.Take(kMaxConnections));
  net::WriteAll(connections[0], AnsweredQuery(1), 1'000'000);
  CHECK(all.Ended(1).cause == Cause::kServed);
  connections.push_back(all.Take(kMaxConnections + 1));
  CHECK(all.Results() == 2);
}

TEST_CASE("second connections to some endpoints leave room for a first one to each") {
  constexpr int kEndpoints = 8;
  constexpr int kMaxConnections = 10;
  net::ConnectionLimits limits;
  limits.max_connections = kMaxConnections;
  LinksUnderTest all(kEndpoints, limits);
  std::vector<net::Fd> connections;
  connections.reserve(kEndpoints);
  for (int i = 0; i < kEndpoints; ++i) all.Send(i);
  for (int i = 0; i < kEndpoints; ++i) connections.push_back(all.Take(i));
  net::WriteAll(connections[7], AnsweredQuery(8), 1'000'000);
  all.Ended(0);
  // A second shard request for each of the others shares its connection.
  for (int i = 0; i < kEndpoints - 1; ++i) all.Send(i);
  all.Send(kEndpoints - 1);
  std::string got;
  REQUIRE(net::ReadSome(connections[7], got, 10'000'000) == net::Io::kOk);
  CHECK(all.counters.connects.Value() == kEndpoints);
  CHECK(all.Results() == 1);
}
