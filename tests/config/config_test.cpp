#include "config/config.h"

#include <catch2/catch.hpp>
#include <tuple>

using namespace liftrudder;

TEST_CASE("the budget has a connection to each of 200 endpoints and leaves enough for clients") {
  // With few endpoints a quarter is reserved; memory bounds client connections, not endpoint connections.
  CHECK(config::ComputeBudget(1024, 192, 16).endpoint_connections == 244);
  CHECK(config::ComputeBudget(1024, 192, 16).client_connections == 732);
  CHECK(config::ComputeBudget(256, 32, 16).endpoint_connections == 52);
  for (auto [sockets, memory_mb, endpoints] : {std::tuple(608, 47, 172), {544, 62, 163}, {640, 62, 200}}) {
    config::Budget budget = config::ComputeBudget(sockets, memory_mb, endpoints);
    INFO(sockets << " descriptors, " << memory_mb << " MB, " << endpoints << " endpoints");
    CHECK(budget.endpoint_connections >= endpoints * 5 / 4);
    CHECK(budget.client_connections >= sockets / 4);
    CHECK(budget.client_requests >= sockets / 4);
    CHECK(budget.endpoint_connections + budget.client_connections <= sockets - 48);
  }
  // Too few descriptors for all: endpoints get five eighths of them, which is more than a quarter.
  config::Budget scarce = config::ComputeBudget(256, 32, 200);
  CHECK(scarce.endpoint_connections == 130);
  CHECK(scarce.client_connections == 78);
}
