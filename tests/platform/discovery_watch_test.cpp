// DiscoveryWatch against a fake discovery on a loopback socket.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
#include <string>

#include "config/config.h"
#include "coordinator/coordinator.h"
#include "coordinator/endpoint_registry.h"
#include "metrics/metrics.h"
#include "net/socket.h"
#include "platform/discovery.h"

using namespace liftrudder;

namespace {

constexpr net::Micros kTestTimeoutUs = 20'000'000;

}  // namespace

TEST_CASE("a watch whose bytes never complete a list is replaced by a new one") {
  net::Fd listener = net::Listen("127.0.0.1:0");
  config::Config config;
  config.discovery_address = net::LocalAddress(listener);
  config.settings.cells = 1;
  net::SteadyClock clock;
  coordinator::EndpointRegistry endpoint_registry;
  metrics::Counters counters;
  coordinator::Coordinator coordinator(config.settings, 1, clock, endpoint_registry, counters);
  platform::DiscoveryWatch watch(config, endpoint_registry, coordinator, clock);
  auto accept_watch = [&] {
    net::Fd fd = net::Accept(listener, kTestTimeoutUs);
    std::string request;
    REQUIRE(net::ReadSome(fd, request, kTestTimeoutUs) == net::IoStatus::kOk);
    return fd;
  };
  net::Fd first = accept_watch();
  net::WriteAll(first, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{\"\r\n", kTestTimeoutUs);
  std::string received;
  net::IoStatus read_status = net::IoStatus::kTimeout;
  net::Micros until_us = clock.Now() + kTestTimeoutUs;
  while (read_status == net::IoStatus::kTimeout && clock.Now() < until_us) {
    net::WriteAll(first, "1\r\nv\r\n", kTestTimeoutUs);
    read_status = net::ReadSome(first, received, 20'000);
  }
  CHECK(read_status != net::IoStatus::kTimeout);
  accept_watch();
}
