#include "dns/zone_file.h"

#include <catch2/catch.hpp>

using namespace liftrudder;

TEST_CASE("an invalid zone file is rejected with the line and the value at fault") {
  CHECK_THROWS_AS(dns::ParseZone("a A 127.0.0.1\n"), dns::ZoneError);
  CHECK_THROWS_AS(dns::ParseZone("$ORIGIN z.\n@ SOA ns root ( 1 2 3 4 5\n"), dns::ZoneError);
  try {
    dns::ParseZone("$ORIGIN z.\n@ SOA ns root 1 2 3 4 5\na A 127.0.0.300\n");
    FAIL("an address out of range was accepted");
  } catch (const dns::ZoneError& error) {
    CHECK(error.code() == dns::ZoneErrorCode::kBadAddress);
    CHECK(error.line() == 3);
    CHECK(error.value() == "127.0.0.300");
  }
}
