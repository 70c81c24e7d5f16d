// The load estimate: the latency that the slowest shard request of a query sent now would have, over the
// shortest latency objective. 1 means that it would arrive just in time. Also how much of each query is cut
// off and how many queries are shed at that load. Owned by one router; not thread-safe.
#ifndef LIFTRUDDER_ROUTING_LOAD_ESTIMATOR_H_
#define LIFTRUDDER_ROUTING_LOAD_ESTIMATOR_H_

#include "routing/endpoint_table.h"
#include "routing/events.h"
#include "routing/types.h"
#include "routing/zone_health.h"

namespace liftrudder::routing {

// The load at which queries begin to be shed: to drop light shard requests did not suffice.
constexpr double kSheddingStartLoad = 1.2;

// Requests in flight and capacity, in endpoints, of those that get traffic.
struct FleetLoad {
  double requests_in_flight = 0;
  double capacity = 0;
};

// Counts the usable endpoints that are not ejected; all usable ones where these have no capacity.
FleetLoad MeasureFleet(const EndpointTable& endpoints, const ZoneHealth& zones, const SlowStart& slow_start,
                       Micros now);

class LoadEstimator {
 public:
  explicit LoadEstimator(double min_latency_objective_us)
      : min_latency_objective_us_(min_latency_objective_us) {}

  // A query arrived; a gap longer than `max_gap_us` is recorded as `max_gap_us`.
  void RecordQuery(Micros now, Micros max_gap_us);

  // An attempt ended. `endpoint_ejected`: at that time.
  void RecordOutcome(AttemptOutcome outcome, bool endpoint_ejected);

  // Computes the estimate anew, once a round. Little's law: time in flight of all shard requests over those
  // answered is their latency. It rises while queues build and falls as soon as they drain. Measured
  // latency lags behind, which would make the cutoff oscillate between 0 and 1.
  void Update(const FleetLoad& fleet, double elapsed_us, double latency_per_request_us);

  double Load() const { return load_; }
  double CutoffLevel() const { return cutoff_level_; }  // 0: nothing is cut off; 1: all that may be
  double SheddingProbability() const {
    return shedding_probability_;
  }  // for the class of least value density

 private:
  double min_latency_objective_us_;
  double time_in_flight_us_ = 0;  // decayed sum
  double answers_ = 0;            // decayed count
  double answers_this_round_ = 0;
  double mean_in_flight_ = 0;  // requests in flight for each endpoint's capacity, decayed mean
  double query_gap_us_ = 0;    // usual time between this coordinator's queries
  Micros last_query_us_ = 0;
  double load_ = 0;
  double cutoff_level_ = 0;
  double shedding_probability_ = 0;
};

}  // namespace liftrudder::routing

#endif  // LIFTRUDDER_ROUTING_LOAD_ESTIMATOR_H_
