#include "coordinator/round_scheduler.h"

#include <catch2/catch.hpp>
#include <limits>
#include <variant>

using namespace liftrudder;
using coordinator::AttemptResult;
using coordinator::ClientDisconnect;
using coordinator::Micros;
using coordinator::RoundScheduler;

namespace {

constexpr Micros kNoTimer = std::numeric_limits<Micros>::max();

struct FixedClock : coordinator::Clock {
  Micros Now() const override { return now_us; }
  Micros now_us = 10'000'000;
};

bool NoFrontEvents() { return false; }

}  // namespace

TEST_CASE("a round takes all queued inputs, in order") {
  FixedClock clock;
  RoundScheduler scheduler(routing::Settings{}, clock);
  scheduler.Post(AttemptResult{});
  scheduler.Post(ClientDisconnect{7});
  RoundScheduler::Batch batch = scheduler.WaitForBatch(kNoTimer, NoFrontEvents);
  REQUIRE(batch.inputs.size() == 2);
  CHECK(std::holds_alternative<AttemptResult>(batch.inputs[0]));
  CHECK(std::get<ClientDisconnect>(batch.inputs[1]).id == 7);
  CHECK(batch.refresh_number == 0);
}

TEST_CASE("a due timer begins a round without input, and so do queued events from fronts") {
  FixedClock clock;
  RoundScheduler scheduler(routing::Settings{}, clock);
  CHECK(scheduler.WaitForBatch(clock.now_us, NoFrontEvents).inputs.empty());
  scheduler.FinishRound(0);
  clock.now_us += 100'000;
  CHECK(scheduler.WaitForBatch(kNoTimer, [] { return true; }).inputs.empty());
}

TEST_CASE("a stop ends the wait for a round") {
  FixedClock clock;
  RoundScheduler scheduler(routing::Settings{}, clock);
  CHECK_FALSE(scheduler.Stopping());
  scheduler.Stop();
  CHECK(scheduler.WaitForBatch(kNoTimer, NoFrontEvents).inputs.empty());
  CHECK(scheduler.Stopping());
}
