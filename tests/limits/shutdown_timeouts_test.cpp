#include "limits/shutdown_timeouts.h"

#include <catch2/catch.hpp>
#include <vector>

using liftrudder::limits::ShutdownTimeouts;
using liftrudder::limits::ShutdownTimeoutsOf;
using liftrudder::routing::Micros;
using liftrudder::routing::Settings;

namespace {

Settings WithClientTimeouts(const std::vector<Micros>& timeouts_us) {
  Settings settings;
  for (Micros timeout_us : timeouts_us) settings.classes.emplace_back().client_timeout_us = timeout_us;
  return settings;
}

}  // namespace

TEST_CASE("the process may be killed after the longest client timeout and 0.7 s") {
  ShutdownTimeouts timeouts = ShutdownTimeoutsOf(WithClientTimeouts({500'000, 2'000'000, 1'000'000}));
  CHECK(timeouts.longest_client_timeout_us == 2'000'000);
  CHECK(timeouts.kill_us == 2'700'000);
  CHECK(timeouts.answer_within_us == 2'550'000);
}

TEST_CASE("of a client timeout above 3 s, 3 s count") {
  CHECK(ShutdownTimeoutsOf(WithClientTimeouts({3'000'000})).kill_us == 3'700'000);
  CHECK(ShutdownTimeoutsOf(WithClientTimeouts({4'000'000, 10'000'000})).kill_us == 3'700'000);
}
