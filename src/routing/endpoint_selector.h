// Endpoint selection: decides which replica of its shard gets a shard request. Owned by one router; not
// thread-safe. Sends nothing, but records the probe requests that it chooses.
#ifndef LIFTRUDDER_ROUTING_ENDPOINT_SELECTOR_H_
#define LIFTRUDDER_ROUTING_ENDPOINT_SELECTOR_H_

#include <vector>

#include "routing/endpoint_table.h"
#include "routing/latency_tracker.h"
#include "routing/outlier_detector.h"
#include "routing/query_table.h"
#include "routing/random.h"
#include "routing/reasons.h"
#include "routing/settings.h"
#include "routing/slow_start.h"
#include "routing/types.h"
#include "routing/zone_health.h"

namespace liftrudder::routing {

// The expected latency of one more request at the best replica of a shard.
struct ExpectedLatency {
  double latency_us = 0;  // 0: no usable replica
  EndpointId endpoint;
};

struct Selection {
  EndpointState* endpoint = nullptr;  // null: no replica may get the request now
  ReplicaChoice choice;               // the state of the replicas, for diagnostics
};

class EndpointSelector {
 public:
  // All arguments must outlive the selector.
  EndpointSelector(const Settings& settings, EndpointTable& endpoints, ZoneHealth& zones,
                   const OutlierDetector& outliers, const SlowStart& slow_start,
                   const LatencyTracker& latency, Random& random)
      : settings_(settings),
        endpoints_(endpoints),
        zones_(zones),
        outliers_(outliers),
        slow_start_(slow_start),
        latency_(latency),
        random_(random) {}

  // Ejected replicas count only where no other is usable. Estimated for each shard, since the only replica
  // left of one shard may be overloaded even when the load of the fleet is low.
  ExpectedLatency EstimateLatency(int shard) const;

  // Chooses in this order of preference: an ejected endpoint whose probe request is due; untried healthy
  // endpoints; untried endpoints in slow start beyond their share; ejected endpoints; endpoints tried before.
  // A hedged request goes only to untried endpoints that are healthy or in slow start.
  Selection Select(const ShardRequest& shard_request, bool is_hedge, Micros now);

 private:
  // Replicas by preference. Kept between calls to reuse the memory, as a round makes many selections.
  struct Groups {
    std::vector<EndpointState*> healthy;
    std::vector<EndpointState*> over_slow_start_share;
    std::vector<EndpointState*> outliers;
    std::vector<EndpointState*> unresponsive;
    std::vector<EndpointState*> tried;
    EndpointState* probe = nullptr;
    void Clear();
  };

  // Adds the replica to its group and returns its eligibility.
  Eligibility Classify(EndpointState& replica, const ShardRequest& shard_request, Micros now);
  Eligibility ClassifyAvoided(EndpointState& replica, const ShardRequest& shard_request, bool was_tried,
                              Micros now);
  const std::vector<EndpointState*>* PreferredGroup(const ShardRequest& shard_request, bool is_hedge,
                                                    Micros now) const;
  void RecordProbe(EndpointState& replica, Micros now);
  EndpointState* FewestInFlight(const ShardRequest& shard_request,
                                const std::vector<EndpointState*>& candidates, Micros now);
  EndpointState* BreakTie(const ShardRequest& shard_request, const std::vector<EndpointState*>& tied);
  int CallsWithOneMore(const EndpointState& endpoint, Micros now) const;
  ProbeClock Clock(Micros now) const { return {now, slow_start_.WarmRequests()}; }

  const Settings& settings_;
  EndpointTable& endpoints_;
  ZoneHealth& zones_;
  const OutlierDetector& outliers_;
  const SlowStart& slow_start_;
  const LatencyTracker& latency_;
  Random& random_;
  Groups groups_;
};

}  // namespace liftrudder::routing

#endif  // LIFTRUDDER_ROUTING_ENDPOINT_SELECTOR_H_
