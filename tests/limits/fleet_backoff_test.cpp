// Simulates the backoffs of whole fleets in virtual time: guards against waits that are harmless for one
// coordinator but overload a service when a hundred coordinators use them.
#define CATCH_CONFIG_MAIN
#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <compare>
#include <functional>
#include <queue>
#include <vector>

#include "limits/backoff.h"
#include "limits/watch_timeouts.h"

using liftrudder::limits::Backoff;
using liftrudder::limits::WatchTimeouts;
using liftrudder::limits::WatchTimeoutsOf;
using liftrudder::routing::Settings;
using Micros = Backoff::Micros;

TEST_CASE("a wait stays below a bound that doubles up to a maximum, and a success resets the bound") {
  rc::check([] {
    Micros first_us = *rc::gen::inRange<Micros>(1, 1'000'000);
    Micros max_us = first_us * *rc::gen::inRange<Micros>(1, 100);
    Backoff backoff(first_us, max_us, *rc::gen::arbitrary<std::uint64_t>());
    Micros bound_us = first_us;
    for (int i = 0; i < 20; ++i) {
      Micros wait_us = backoff.NextWait();
      RC_ASSERT(wait_us >= 0 && wait_us < std::min(bound_us, max_us));
      bound_us = std::min(bound_us * 2, max_us);
    }
    RC_ASSERT(backoff.failures() == 20);
    backoff.Reset();
    RC_ASSERT(backoff.NextWait() < first_us);
    RC_ASSERT(backoff.RandomBelow(0) == 0);
  });
}

namespace {

// An endpoint list service of fixed capacity that a fleet calls. Calls are queued, and rejected when they
// have waited too long; a rejection takes less of the service's time than an answer.
struct ListService {
  static constexpr int kFleetSize = 100;
  static constexpr Micros kAnswerUs = 25'000;
  static constexpr Micros kRejectionUs = 10'000;
  static constexpr Micros kMaxQueueingUs = 2'000'000;
  static constexpr Micros kEndUs = 60'000'000;

  struct Call {
    Micros at_us = 0;
    int coordinator = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): the check takes the defaulted operator for a comparison with 0.
    auto operator<=>(const Call&) const = default;
  };

  // Returns when the last coordinator of a fleet started at time 0 was answered; -1: not within a minute.
  // `initial_delay` and `backoff`: how long a coordinator waits before its first call and after a failure.
  static Micros AllAnsweredAt(const std::function<Micros(int)>& initial_delay,
                              const std::function<Micros(int)>& backoff) {
    std::priority_queue<Call, std::vector<Call>, std::greater<>> calls;
    for (int i = 0; i < kFleetSize; ++i) calls.push({initial_delay(i), i});
    Micros free_at_us = 0;
    int answered = 0;
    while (!calls.empty() && calls.top().at_us < kEndUs) {
      Call call = calls.top();
      calls.pop();
      Micros service_start_us = std::max(free_at_us, call.at_us);
      bool rejected = service_start_us - call.at_us > kMaxQueueingUs;
      if (rejected) {
        // The caller learns of the rejection immediately; its cost delays the calls that follow.
        free_at_us += kRejectionUs;
        calls.push({call.at_us + backoff(call.coordinator), call.coordinator});
        continue;
      }
      free_at_us = service_start_us + kAnswerUs;
      ++answered;
      if (answered == kFleetSize) return free_at_us;
    }
    return -1;
  }
};

}  // namespace

TEST_CASE(
    "a service that constant waits of 0.1 s would overload answers every coordinator of a fleet "
    "that starts at once") {
  auto fixed = [](int) -> Micros { return 100'000; };
  CHECK(ListService::AllAnsweredAt([](int) -> Micros { return 0; }, fixed) == -1);
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::vector<Backoff> backoffs;
    backoffs.reserve(ListService::kFleetSize);
    for (int i = 0; i < ListService::kFleetSize; ++i) {
      backoffs.emplace_back(1'250'000, 5'000'000, seed * 1000 + static_cast<std::uint64_t>(i));
    }
    auto backoff_of = [&](int i) -> Backoff& { return backoffs[static_cast<std::size_t>(i)]; };
    Micros at_us = ListService::AllAnsweredAt([&](int i) { return backoff_of(i).RandomBelow(3'000'000); },
                                              [&](int i) { return backoff_of(i).NextWait(); });
    INFO("seed " << seed);
    CHECK(at_us > 0);
    CHECK(at_us < 10'000'000);
  }
}

namespace {

Settings FleetSettings(int size, bool subscription_required) {
  Settings settings;
  settings.fleet_size = size;
  settings.subscription_required = subscription_required;
  settings.poll_deadline_us = 10'000'000;
  settings.drain_grace_us = 1'000'000;
  return settings;
}

}  // namespace

// Guards against long waits after a restart during a release: a change counts as notified as soon as the
// agent has it, even while the coordinator does not call it, and no request may be sent 1 s after that.
TEST_CASE("a local agent is called within a quarter of the grace period, whatever the size of the fleet") {
  for (int size : {1, 100, 300, 3000}) {
    Settings settings = FleetSettings(size, false);
    WatchTimeouts timeouts = WatchTimeoutsOf(settings);
    Micros longest_us = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
      Backoff backoff(timeouts.first_backoff_us, timeouts.max_backoff_us, seed);
      longest_us = std::max(longest_us, backoff.RandomBelow(timeouts.initial_delay_us));
      for (int failures = 0; failures < 12; ++failures) longest_us = std::max(longest_us, backoff.NextWait());
    }
    INFO("fleet of " << size << ", longest wait " << longest_us << " us");
    CHECK(longest_us > 0);
    CHECK(longest_us <= settings.drain_grace_us / 4);
  }
}

TEST_CASE("a fleet of 300 spreads its calls to a shared list service at least as widely as one of 100") {
  WatchTimeouts hundred = WatchTimeoutsOf(FleetSettings(100, true));
  WatchTimeouts three_hundred = WatchTimeoutsOf(FleetSettings(300, true));
  CHECK(hundred.initial_delay_us == 3'000'000);
  CHECK(hundred.first_backoff_us == 1'250'000);
  CHECK(hundred.max_backoff_us == 5'000'000);
  CHECK(three_hundred.initial_delay_us >= hundred.initial_delay_us);
  CHECK(WatchTimeoutsOf(FleetSettings(1, true)).initial_delay_us == 30'000);
}
