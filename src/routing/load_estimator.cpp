#include "routing/load_estimator.h"

#include <algorithm>
#include <cmath>

#include "routing/latency_tracker.h"

namespace liftrudder::routing {
namespace {

constexpr double kSlowestOverMedian = 3;  // a query's slowest shard request takes about this many medians
// Time constant of the decay, in shortest latency objectives; the gap between queries replaces it where that
// is longer.
constexpr double kDecayObjectives = 0.5;
// Answers at the assumed latency, added to the measured ones so that the first measured answers do not decide
// alone.
constexpr double kAssumedAnswers = 3;
constexpr double kLatencySlope = 0.5;  // share of the latency per request that one more request adds
constexpr double kGapGain = 0.3;       // weight of the latest gap between queries
constexpr double kCutoffStartLoad = 0.8;
constexpr double kCutoffFullLoad = 1.4;
constexpr double kSheddingFullLoad = 2.0;  // all queries of the class with the least value density are shed

double Ramp(double value, double from, double to) {
  return std::clamp((value - from) / (to - from), 0.0, 1.0);
}

}  // namespace

FleetLoad MeasureFleet(const EndpointTable& endpoints, const ZoneHealth& zones, const SlowStart& slow_start,
                       Micros now) {
  FleetLoad fleet;
  for (bool include_ejected : {false, true}) {
    for (const auto& [id, state] : endpoints.All()) {
      if (!state.usable || (zones.IsAvoided(state) && !include_ejected)) continue;
      fleet.requests_in_flight += static_cast<double>(state.in_flight.size());
      fleet.capacity += slow_start.CapacityFraction(state.endpoint, now);
    }
    if (fleet.capacity > 0) break;
  }
  return fleet;
}

void LoadEstimator::RecordQuery(Micros now, Micros max_gap_us) {
  if (last_query_us_ > 0) {
    auto gap_us = static_cast<double>(std::min(now - last_query_us_, max_gap_us));
    query_gap_us_ += kGapGain * (gap_us - query_gap_us_);
  }
  last_query_us_ = now;
}

void LoadEstimator::RecordOutcome(AttemptOutcome outcome, bool endpoint_ejected) {
  bool rejected = outcome == AttemptOutcome::kOverloaded;
  // A full endpoint rejects at once, but the requests that it holds take longer than the objective.
  if (rejected) time_in_flight_us_ += min_latency_objective_us_;
  bool answered = outcome == AttemptOutcome::kOk && !endpoint_ejected;
  if (answered || rejected) answers_this_round_ += 1;
}

void LoadEstimator::Update(const FleetLoad& fleet, double elapsed_us, double latency_per_request_us) {
  double decay_us = std::max(kDecayObjectives * min_latency_objective_us_, query_gap_us_);
  double decay_factor = std::exp(-elapsed_us / decay_us);
  time_in_flight_us_ = decay_factor * time_in_flight_us_ + fleet.requests_in_flight * elapsed_us;
  answers_ = decay_factor * answers_ + answers_this_round_;
  answers_this_round_ = 0;
  double in_flight = fleet.capacity > 0 ? fleet.requests_in_flight / fleet.capacity : 0;
  double slope_us = kLatencySlope * latency_per_request_us;
  mean_in_flight_ = decay_factor * mean_in_flight_ + (1 - decay_factor) * in_flight;
  double assumed_us = kAssumedAnswers * LatencyTracker::AssumedMedianUs(min_latency_objective_us_);
  // Requests that were just sent are not in the decayed sums yet, so the slope accounts for them.
  double latency_us = (time_in_flight_us_ + assumed_us) / (answers_ + kAssumedAnswers) +
                      slope_us * (in_flight - mean_in_flight_);
  load_ = std::max(latency_us, slope_us * (1 + in_flight)) * kSlowestOverMedian / min_latency_objective_us_;
  cutoff_level_ = Ramp(load_, kCutoffStartLoad, kCutoffFullLoad);
  shedding_probability_ = Ramp(load_, kSheddingStartLoad, kSheddingFullLoad);
}

}  // namespace liftrudder::routing
