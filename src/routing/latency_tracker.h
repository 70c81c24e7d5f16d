// Recent latencies of shard requests over the whole fleet: a decaying histogram and its quantiles. Makes no
// decisions. Owned by one router; not thread-safe.
#ifndef LIFTRUDDER_ROUTING_LATENCY_TRACKER_H_
#define LIFTRUDDER_ROUTING_LATENCY_TRACKER_H_

#include <array>
#include <cstddef>

#include "routing/types.h"

namespace liftrudder::routing {

class LatencyTracker {
 public:
  // Starts with assumed latencies, as shares of the shortest latency objective: without them a restarted
  // coordinator would hedge every request and treat every endpoint as unresponsive.
  explicit LatencyTracker(double min_latency_objective_us);

  // Decays all observations by `elapsed_us` towards the assumed ones and recomputes the quantiles.
  void Decay(double elapsed_us);

  // Records the latency of a successful answer of an endpoint that is not ejected.
  void Record(double latency_us);

  // Records the same latency divided by the number of requests in flight at the endpoint. To be called for
  // warm endpoints only.
  void RecordPerRequest(double latency_per_request_us);

  // Returns an endpoint's own estimate (0: none yet) updated by one observation.
  double UpdatedEndpointEstimateUs(double estimate_us, double latency_per_request_us) const;

  // Quantiles as of the last Decay.
  double MedianUs() const { return median_us_; }
  double P90Us() const { return p90_us_; }
  double HedgeDelayUs() const { return hedge_delay_us_; }  // a request in flight longer than this is late

  // Latency per request in flight at an endpoint, over all endpoints.
  double PerRequestUs() const { return per_request_us_; }

  // Assumed median latency before anything was observed.
  static double AssumedMedianUs(double min_latency_objective_us);

 private:
  static constexpr int kBuckets = 80;

  static std::size_t Bucket(double latency_us);
  double Quantile(double share) const;
  void AddAssumed(double factor);

  double min_latency_objective_us_;
  std::array<double, kBuckets> histogram_ = {};  // decayed counts
  double median_us_ = 0;
  double p90_us_ = 0;
  double hedge_delay_us_ = 0;
  double per_request_us_ = 0;
};

}  // namespace liftrudder::routing

#endif  // LIFTRUDDER_ROUTING_LATENCY_TRACKER_H_
