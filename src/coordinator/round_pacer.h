// Decides when the next decision round may begin, based on how long the last one took. The caller passes the
// times. Not thread-safe.
//
// The cost of a round grows with the number of endpoints and shard requests, and the responses to a wide
// query arrive continuously. Where only a fraction of a core is available, a round in every decision interval
// would use most of it, so rounds for responses and timers are spaced out, up to a maximum gap.
#ifndef LIFTRUDDER_COORDINATOR_ROUND_PACER_H_
#define LIFTRUDDER_COORDINATOR_ROUND_PACER_H_

#include <algorithm>

#include "routing/router.h"

namespace liftrudder::coordinator {

class RoundPacer {
 public:
  using Micros = routing::Micros;

  // The fraction of the time that regular rounds may take.
  static constexpr double kRoundTimeFraction = 0.1;
  // The maximum gap between regular rounds, as a fraction of the shortest latency objective. It bounds the
  // delay of a response; a longer decision interval takes precedence.
  static constexpr double kMaxGapFraction = 0.01;

  explicit RoundPacer(const routing::Settings& settings)
      : decision_interval_us_(settings.decision_interval_us), gap_us_(settings.decision_interval_us) {
    Micros shortest_objective_us = settings.classes.empty() ? 0 : settings.classes[0].latency_objective_us;
    for (const routing::QueryClassSettings& query_class : settings.classes) {
      shortest_objective_us = std::min(shortest_objective_us, query_class.latency_objective_us);
    }
    auto gap_bound_us = static_cast<Micros>(kMaxGapFraction * static_cast<double>(shortest_objective_us));
    max_gap_us_ = std::max(decision_interval_us_, gap_bound_us);
  }

  void OnRoundStarted(Micros now_us) { started_us_ = now_us; }
  void OnRoundFinished(Micros now_us) {
    auto gap_us = static_cast<Micros>(static_cast<double>(now_us - started_us_) / kRoundTimeFraction);
    gap_us_ = std::clamp(gap_us, decision_interval_us_, max_gap_us_);
  }

  // When a round may begin for urgent input, such as a new query (a client waits) or an endpoint list update
  // (a drain waits).
  Micros NextUrgentRound() const { return started_us_ + decision_interval_us_; }
  // When a round may begin for responses and timers, many of which one round can handle.
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
