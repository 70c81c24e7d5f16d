#include "dns/update.h"

#include <catch2/catch.hpp>
#include <string>

using namespace liftrudder;

TEST_CASE("a zone names holders, and an update is taken whole or not at all") {
  dns::Zone zone = dns::ParseZone(
      "$ORIGIN Z.\n@ 60 IN SOA ns root 1 2 3 4 5\n_s SRV 0 1 9200 a ; first\n_s SRV 0 1 9201 b\n"
      "a A 127.0.0.1\n  TXT \"cell=3\" \"started_ms=7\"\nb A 127.0.0.2\n");
  auto endpoints = dns::Holders(zone, "_s.z.");
  REQUIRE(endpoints.size() == 1);  // b has no cell
  CHECK(endpoints["a.z."].addr == "127.0.0.1:9200");
  CHECK(endpoints["a.z."].endpoint.cell == 3);
  CHECK(endpoints["a.z."].endpoint.started_us == 7000);
  CHECK_THROWS(dns::ParseZone("a A 127.0.0.1\n"));
  CHECK_THROWS(dns::ParseZone("$ORIGIN z.\n@ SOA ns root ( 1 2 3 4 5\n"));
  std::string head("\0\1\x28\0\0\1\0\0\0\2\0\0\1z\0\0\6\0\1", 19);
  std::string gone("\1a\xc0\x0c\0\xff\0\xff\0\0\0\0\0\0", 14);  // all of a.z., its zone's name compressed
  std::string outside("\1q\0\0\xff\0\xff\0\0\0\0\0\0", 13);
  auto rcode = [&zone](const std::string& message) { return dns::ApplyUpdate(message, zone).at(3); };
  CHECK(rcode(head + gone + outside) == 10);
  CHECK(dns::Holders(zone, "_s.z.").size() == 1);
  CHECK(rcode(head + gone) == 1);
  CHECK(rcode(head + std::string("\xc0\x13\0", 3)) == 1);  // a name that points at itself
  CHECK(rcode(head + gone + gone) == 0);
  CHECK(dns::Holders(zone, "_s.z.").empty());
}
