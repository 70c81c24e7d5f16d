// The endpoints that the coordinator knows: the latest endpoint list, the replicas of each shard, and recent
// losses of endpoints. Owned by one router; not thread-safe. Neither polls the list (see
// endpoint_list_poller.h) nor judges the health of endpoints.
#ifndef LIFTRUDDER_ROUTING_ENDPOINT_TABLE_H_
#define LIFTRUDDER_ROUTING_ENDPOINT_TABLE_H_

#include <algorithm>
#include <compare>
#include <cstddef>
#include <map>
#include <vector>

#include "routing/connection_reuse.h"
#include "routing/events.h"
#include "routing/outlier_detector.h"
#include "routing/random.h"
#include "routing/settings.h"
#include "routing/slow_start.h"
#include "routing/types.h"

namespace liftrudder::routing {

struct AttemptKey {
  Id shard_request = 0;
  int attempt = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): the check takes the defaulted operator for a comparison with 0.
  auto operator<=>(const AttemptKey&) const = default;
};

// An endpoint with the state that each decision module keeps for it.
struct EndpointState {
  Endpoint endpoint;  // its latest entry in the endpoint list
  std::size_t zone = 0;
  bool usable = false;                     // listed and ready
  bool loss_counted = false;               // the unannounced loss of its process is counted
  std::map<AttemptKey, Micros> in_flight;  // send times
  double latency_per_request_us = 0;       // per request in flight of this coordinator; 0: not measured yet
  SlowStartState slow_start;
  OutlierState outlier;
  ConnectionState connection;

  // Send time of the oldest attempt in flight; `now` when there is none.
  Micros OldestSentUs(Micros now) const;
};

class EndpointTable {
 public:
  // `settings` must outlive the table.
  explicit EndpointTable(const Settings& settings) : settings_(settings) {}

  // Applies an endpoint list. An endpoint with a new start time is a new process.
  void Apply(const EndpointListUpdate& update, const SlowStart& slow_start, Random& random, Micros now);

  // Null when unknown.
  EndpointState* Find(const EndpointId& id);
  const EndpointState* Find(const EndpointId& id) const;

  // All endpoints by id, including those that are not usable.
  std::map<EndpointId, EndpointState>& All() { return endpoints_; }
  const std::map<EndpointId, EndpointState>& All() const { return endpoints_; }

  // Calls `visit(EndpointState&)` for each replica of the shard, by cell and then in order of id.
  template <typename Visit>
  void ForEachReplica(int shard, Visit visit) const {
    if (shard < 0 || replicas_by_cell_.empty()) return;
    for (int offset = 0; offset < settings_.reach; ++offset) {
      auto cell = static_cast<std::size_t>((shard + offset) % settings_.cells);
      for (EndpointState* replica : replicas_by_cell_[cell]) visit(*replica);
    }
  }

  // Records that the endpoint's process was lost unannounced. Counted once for each process.
  void RecordLoss(EndpointState& state);
  void DecayLosses(double elapsed_us, double min_latency_objective_us);
  // Whether endpoints were lost recently, so that a poison query may be in circulation.
  bool LossesElevated() const;

 private:
  void ApplyEndpoint(const Endpoint& endpoint, const SlowStart& slow_start, Random& random, Micros now);
  void IndexReplicas();

  const Settings& settings_;
  std::map<EndpointId, EndpointState> endpoints_;
  std::vector<std::vector<EndpointState*>> replicas_by_cell_;  // into endpoints_
  double recent_losses_ = 0;                                   // decayed count
};

}  // namespace liftrudder::routing

#endif  // LIFTRUDDER_ROUTING_ENDPOINT_TABLE_H_
