// LingeringCloser: closing connections whose client has not closed its side yet.
#define CATCH_CONFIG_MAIN
#include "net/lingering_closer.h"

#include <catch2/catch.hpp>

using namespace liftrudder;

namespace {

constexpr net::Micros kTestTimeoutUs = 20'000'000;

}  // namespace

TEST_CASE("WaitEmpty waits until the client has closed its side") {
  net::Fd listener = net::Listen("127.0.0.1:0");
  net::Fd client = net::Connect(net::LocalAddress(listener), kTestTimeoutUs);
  net::LingeringCloser lingering_closer(2);
  CHECK(lingering_closer.WaitEmpty(0));
  lingering_closer.Take(net::Accept(listener, kTestTimeoutUs));
  CHECK_FALSE(lingering_closer.WaitEmpty(0));
  client = net::Fd();
  CHECK(lingering_closer.WaitEmpty(kTestTimeoutUs));
}
