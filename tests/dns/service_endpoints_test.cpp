#include "dns/service_endpoints.h"

#include <catch2/catch.hpp>

#include "dns/zone_file.h"

using namespace liftrudder;

TEST_CASE("endpoints of a service are listed if they have an address and a cell") {
  dns::Zone zone = dns::ParseZone(
      "$ORIGIN Z.\n@ 60 IN SOA ns root 1 2 3 4 5\n_s SRV 0 1 9200 a ; first\n_s SRV 0 1 9201 b\n"
      "a A 127.0.0.1\n  TXT \"cell=3\" \"started_ms=7\"\nb A 127.0.0.2\n");
  auto endpoints = dns::ServiceEndpoints(zone, "_s.z.");
  REQUIRE(endpoints.size() == 1);  // b has no cell
  CHECK(endpoints["a.z."].addr == "127.0.0.1:9200");
  CHECK(endpoints["a.z."].endpoint.cell == 3);
  CHECK(endpoints["a.z."].endpoint.started_us == 7000);
}
