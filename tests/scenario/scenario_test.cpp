// Runs the scenario named by the environment variable SCENARIO; CTest runs each scenario as a separate test.
#define CATCH_CONFIG_MAIN
#include "scenario/scenario.h"

#include <catch2/catch.hpp>
#include <cstdlib>

#include "config/config.h"

TEST_CASE("scenario") {
  const char* path = std::getenv("SCENARIO");
  REQUIRE(path != nullptr);
  REQUIRE_NOTHROW(liftrudder::tests::Play(LIFTRUDDER_PROGRAM, liftrudder::config::ReadFile(path)));
}
