#include "config/config.h"

#include <catch2/catch.hpp>
#include <tuple>

using namespace liftrudder;

TEST_CASE("the limits allow a connection to each of two hundred endpoints, and clients keep theirs") {
  // With few endpoints a quarter is reserved; memory bounds the clients' threads, not connections to
  // endpoints.
  CHECK(config::ShareOut(1024, 192, 16).endpoint_connections == 244);
  CHECK(config::ShareOut(1024, 192, 16).client_connections == 732);
  CHECK(config::ShareOut(256, 32, 16).endpoint_connections == 52);
  for (auto [sockets, memory_mb, endpoints] : {std::tuple(608, 47, 172), {544, 62, 163}, {640, 62, 200}}) {
    config::Budget budget = config::ShareOut(sockets, memory_mb, endpoints);
    INFO(sockets << " descriptors, " << memory_mb << " MB, " << endpoints << " endpoints");
    CHECK(budget.endpoint_connections >= endpoints * 5 / 4);
    CHECK(budget.client_connections >= sockets / 4);
    CHECK(budget.client_requests >= sockets / 4);
    CHECK(budget.endpoint_connections + budget.client_connections <= sockets - 48);
  }
  // Too few for all: endpoints get what clients can spare, not what a quarter would be.
  config::Budget few = config::ShareOut(256, 32, 200);
  CHECK(few.endpoint_connections == 130);
  CHECK(few.client_connections == 78);
}
