#include "coordinator/round_pacer.h"

#include <algorithm>
#include <catch2/catch.hpp>

using liftrudder::coordinator::RoundPacer;
using liftrudder::routing::Micros;

// Simulates a fifth of a core, on which a round of 50 us of CPU time takes 250 us. Responses arrive
// continuously, queries now and then.
TEST_CASE("rounds for responses take a tenth of the time, and a query waits at most one decision interval") {
  liftrudder::routing::QueryClassSettings search;
  search.latency_objective_us = 500'000;
  liftrudder::routing::Settings settings;
  settings.classes = {search};
  settings.decision_interval_us = 1'000;
  RoundPacer pacer(settings);
  constexpr Micros kRoundUs = 250;
  constexpr Micros kEndUs = 1'000'000;
  Micros now_us = 0;
  Micros in_rounds_us = 0;
  Micros longest_gap_us = 0;
  while (now_us < kEndUs) {
    now_us = pacer.NextRegularRound();
    longest_gap_us = std::max(longest_gap_us, now_us - pacer.LastRoundStarted());
    CHECK(pacer.NextUrgentRound() - pacer.LastRoundStarted() == settings.decision_interval_us);
    pacer.OnRoundStarted(now_us);
    now_us += kRoundUs;
    pacer.OnRoundFinished(now_us);
    in_rounds_us += kRoundUs;
  }
  CHECK(in_rounds_us <= kEndUs / 9);
  CHECK(longest_gap_us == 2'500);
  // After a long round, responses wait for a fraction of the latency objective, not for ten round times.
  pacer.OnRoundStarted(now_us);
  pacer.OnRoundFinished(now_us + 20'000);
  CHECK(pacer.NextRegularRound() - pacer.LastRoundStarted() == 5'000);
}
