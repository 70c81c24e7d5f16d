#include "routing/latency_tracker.h"

#include <algorithm>
#include <cmath>

namespace liftrudder::routing {
namespace {

// A latency assumed before anything is observed, and the number of observations that it counts as. The first
// entry has more than half of all these observations, so it contains the median.
struct AssumedLatency {
  double objective_share;
  double observations;
};
constexpr std::array kAssumedLatencies = {AssumedLatency{1.0 / 8, 6}, AssumedLatency{1.0 / 4, 3},
                                          AssumedLatency{1.0 / 2, 2}};
// Time constant of the decay of observations, in shortest latency objectives.
constexpr double kDecayObjectives = 4;
constexpr double kBucketGrowth = 1.15;  // the kBuckets buckets range from 1 ms to about 72 s
constexpr double kFirstBucketUs = 1000.0;
constexpr double kHedgeQuantile = 0.95;
constexpr double kFleetGain = 0.03;     // weight of the latest observation in the fleet's estimate
constexpr double kEndpointGain = 0.15;  // the same for one endpoint, which has fewer observations

}  // namespace

LatencyTracker::LatencyTracker(double min_latency_objective_us)
    : min_latency_objective_us_(min_latency_objective_us),
      per_request_us_(AssumedMedianUs(min_latency_objective_us)) {
  AddAssumed(1);
}

void LatencyTracker::Decay(double elapsed_us) {
  double decay_factor = std::exp(-elapsed_us / (kDecayObjectives * min_latency_objective_us_));
  for (double& count : histogram_) count *= decay_factor;
  AddAssumed(1 - decay_factor);
  median_us_ = Quantile(0.5);
  p90_us_ = Quantile(0.9);
  hedge_delay_us_ = Quantile(kHedgeQuantile);
}

void LatencyTracker::Record(double latency_us) { histogram_[Bucket(latency_us)] += 1; }

void LatencyTracker::RecordPerRequest(double latency_per_request_us) {
  per_request_us_ += kFleetGain * (latency_per_request_us - per_request_us_);
}

double LatencyTracker::UpdatedEndpointEstimateUs(double estimate_us, double latency_per_request_us) const {
  double start_us = estimate_us == 0 ? per_request_us_ : estimate_us;
  return start_us + kEndpointGain * (latency_per_request_us - start_us);
}

double LatencyTracker::AssumedMedianUs(double min_latency_objective_us) {
  return kAssumedLatencies[0].objective_share * min_latency_objective_us;
}

std::size_t LatencyTracker::Bucket(double latency_us) {
  double bucket = std::log(std::max(latency_us, kFirstBucketUs) / kFirstBucketUs) / std::log(kBucketGrowth);
  return static_cast<std::size_t>(std::clamp(bucket, 0.0, kBuckets - 1.0));
}

double LatencyTracker::Quantile(double share) const {
  double total = 0;
  for (double count : histogram_) total += count;
  double sum = 0;
  for (int bucket = 0; bucket < kBuckets; ++bucket) {
    sum += histogram_[static_cast<std::size_t>(bucket)];
    if (sum >= share * total) return kFirstBucketUs * std::pow(kBucketGrowth, bucket + 0.5);
  }
  return kFirstBucketUs * std::pow(kBucketGrowth, kBuckets);
}

void LatencyTracker::AddAssumed(double factor) {
  for (const AssumedLatency& assumed : kAssumedLatencies) {
    histogram_[Bucket(assumed.objective_share * min_latency_objective_us_)] += factor * assumed.observations;
  }
}

}  // namespace liftrudder::routing
