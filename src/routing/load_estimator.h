// The load estimate: the latency that the slowest shard request of a query sent now would have, divided by
// the shortest latency objective. 1 means that it would be answered just in time. Also sets how much of each
// query is cut off and how many queries are shed at that load. Owned by one router; not thread-safe.
#ifndef LIFTRUDDER_ROUTING_LOAD_ESTIMATOR_H_
#define LIFTRUDDER_ROUTING_LOAD_ESTIMATOR_H_

#include "routing/endpoint_table.h"
#include "routing/events.h"
#include "routing/types.h"
#include "routing/zone_health.h"

namespace liftrudder::routing {

// The load at which shedding begins. Two thirds of the weight that may be dropped are then cut off already.
constexpr double kSheddingStartLoad = 1.2;

// Requests in flight and capacity of the endpoints that get traffic. The unit of capacity is a warm endpoint.
struct FleetLoad {
  double requests_in_flight = 0;
  double capacity = 0;
};

// Measures the usable endpoints that are not ejected, or all usable ones if these have no capacity.
FleetLoad MeasureFleet(const EndpointTable& endpoints, const ZoneHealth& zones, const SlowStart& slow_start,
                       Micros now);

class LoadEstimator {
 public:
  explicit LoadEstimator(double min_latency_objective_us)
      : min_latency_objective_us_(min_latency_objective_us) {}

  // Records the arrival of a query. A longer gap since the last one counts as `max_gap_us`.
  void RecordQuery(Micros now, Micros max_gap_us);

  // Records the end of an attempt. `endpoint_ejected`: whether its endpoint was ejected at that time.
  void RecordOutcome(AttemptOutcome outcome, bool endpoint_ejected);

  // Recomputes the estimate; called once a round. By Little's law, the time in flight of all shard requests
  // divided by the number answered is their latency. It rises while queues build and falls as soon as they
  // drain. Measured latency lags behind, which would make the cutoff oscillate between 0 and 1.
  void Update(const FleetLoad& fleet, double elapsed_us, double latency_per_request_us);

  double Load() const { return load_; }
  double CutoffLevel() const { return cutoff_level_; }  // 0: nothing is cut off; 1: all that may be cut off
  // For the class with the least value density.
  double SheddingProbability() const { return shedding_probability_; }

 private:
  double min_latency_objective_us_;
  double time_in_flight_us_ = 0;  // decayed sum
  double answers_ = 0;            // decayed count, including rejections
  double answers_this_round_ = 0;
  double mean_in_flight_ = 0;  // decayed mean of requests in flight per unit of capacity
  double query_gap_us_ = 0;    // average time between this coordinator's queries
  Micros last_query_us_ = 0;
  double load_ = 0;
  double cutoff_level_ = 0;
  double shedding_probability_ = 0;
};

}  // namespace liftrudder::routing

#endif  // LIFTRUDDER_ROUTING_LOAD_ESTIMATOR_H_
