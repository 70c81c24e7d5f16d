#include "dns/update.h"

#include <catch2/catch.hpp>
#include <string>

#include "dns/service_endpoints.h"
#include "dns/zone_file.h"

using namespace liftrudder;

TEST_CASE("an update is applied as a whole or not at all") {
  dns::Zone zone = dns::ParseZone(
      "$ORIGIN Z.\n@ 60 IN SOA ns root 1 2 3 4 5\n_s SRV 0 1 9200 a ; first\n_s SRV 0 1 9201 b\n"
      "a A 127.0.0.1\n  TXT \"cell=3\" \"started_ms=7\"\nb A 127.0.0.2\n");
  REQUIRE(dns::ServiceEndpoints(zone, "_s.z.").size() == 1);
  std::string header("\0\1\x28\0\0\1\0\0\0\2\0\0\1z\0\0\6\0\1", 19);
  // Deletes all records of a.z.; the name ends in a pointer to the zone's name.
  std::string remove_a("\1a\xc0\x0c\0\xff\0\xff\0\0\0\0\0\0", 14);
  std::string outside("\1q\0\0\xff\0\xff\0\0\0\0\0\0", 13);
  auto rcode = [&zone](const std::string& message) { return dns::ApplyUpdate(message, zone).at(3); };
  CHECK(rcode(header + remove_a + outside) == 10);
  CHECK(dns::ServiceEndpoints(zone, "_s.z.").size() == 1);
  CHECK(rcode(header + remove_a) == 1);
  CHECK(rcode(header + std::string("\xc0\x13\0", 3)) == 1);  // a name whose pointer points at itself
  CHECK(rcode(header + remove_a + remove_a) == 0);
  CHECK(dns::ServiceEndpoints(zone, "_s.z.").empty());
}
