// Decides when the next decision round may begin, from how long the last one took. It has no clock, no thread
// and no lock of its own.
//
// A round costs the more, the more endpoints and shard requests there are, and a wide query's responses
// arrive all the time. On a small share of a core a round for every decision interval would use most of it,
// so rounds for responses and timers are spread out, up to a bound.
#ifndef LIFTRUDDER_COORDINATOR_ROUND_PACER_H_
#define LIFTRUDDER_COORDINATOR_ROUND_PACER_H_

#include <algorithm>

#include "routing/router.h"

namespace liftrudder::coordinator {

class RoundPacer {
 public:
  using Micros = routing::Micros;

  // Regular rounds may take this fraction of the time.
  static constexpr double kRoundTimeFraction = 0.1;
  // The gap between regular rounds is at most this fraction of the shortest latency objective: the most by
  // which a response may be delayed.
  static constexpr double kMaxGapFraction = 0.01;

  explicit RoundPacer(const routing::Settings& settings)
      : decision_interval_us_(settings.decision_interval_us), gap_us_(settings.decision_interval_us) {
    Micros shortest_us = settings.classes.empty() ? 0 : settings.classes[0].latency_objective_us;
    for (const routing::QueryClassSettings& query_class : settings.classes) {
      shortest_us = std::min(shortest_us, query_class.latency_objective_us);
    }
    auto most_us = static_cast<Micros>(kMaxGapFraction * static_cast<double>(shortest_us));
    max_gap_us_ = std::max(decision_interval_us_, most_us);
  }

  void OnRoundStarted(Micros now_us) { started_us_ = now_us; }
  void OnRoundFinished(Micros now_us) {
    auto gap_us = static_cast<Micros>(static_cast<double>(now_us - started_us_) / kRoundTimeFraction);
    gap_us_ = std::clamp(gap_us, decision_interval_us_, max_gap_us_);
  }

  // When a round may begin for an arrival or a change of endpoints, for which a client or a drain waits.
  Micros NextUrgentRound() const { return started_us_ + decision_interval_us_; }
  // When a round may begin for responses and timers, of which one round handles many.
  Micros NextRegularRound() const { return started_us_ + gap_us_; }
  // When the last round began; 0 before the first.
  Micros LastRoundStarted() const { return started_us_; }

 private:
  Micros decision_interval_us_;
  Micros max_gap_us_ = 0;
  Micros gap_us_;  // from the start of the last round to that of the next regular one
  Micros started_us_ = 0;
};

}  // namespace liftrudder::coordinator

#endif  // LIFTRUDDER_COORDINATOR_ROUND_PACER_H_
