#include "coordinator/round_pacer.h"

#include <algorithm>
#include <catch2/catch.hpp>

using liftrudder::coordinator::RoundPacer;
using liftrudder::routing::Micros;

// A fifth of a core, on which a round of 50 us takes 250. Responses come all the time, now and then a query.
TEST_CASE("rounds for answers take a tenth of the time, and a query waits for a decision interval at most") {
  liftrudder::routing::QueryClassSettings search;
  search.latency_objective_us = 500'000;
  liftrudder::routing::Settings settings;
  settings.classes = {search};
  settings.decision_interval_us = 1'000;
  RoundPacer pacer(settings);
  constexpr Micros kRoundUs = 250;
  constexpr Micros kEndUs = 1'000'000;
  Micros now = 0;
  Micros in_rounds = 0;
  Micros longest_gap = 0;
  while (now < kEndUs) {
    now = pacer.NextRegularRound();
    longest_gap = std::max(longest_gap, now - pacer.LastRoundStarted());
    CHECK(pacer.NextUrgentRound() - pacer.LastRoundStarted() == settings.decision_interval_us);
    pacer.OnRoundStarted(now);
    now += kRoundUs;
    pacer.OnRoundFinished(now);
    in_rounds += kRoundUs;
  }
  CHECK(in_rounds <= kEndUs / 9);
  CHECK(longest_gap == 2'500);
  // After a round with many sends, answers wait for the objective's fraction, not for ten times as long.
  pacer.OnRoundStarted(now);
  pacer.OnRoundFinished(now + 20'000);
  CHECK(pacer.NextRegularRound() - pacer.LastRoundStarted() == 5'000);
}
