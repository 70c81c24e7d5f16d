// Zone outlier detection: the network path to a whole zone may be slow or lossy while each endpoint there is
// healthy. To detect this separately at each endpoint would cost one or two requests per endpoint. Owned by
// one router; not thread-safe.
#ifndef LIFTRUDDER_ROUTING_ZONE_HEALTH_H_
#define LIFTRUDDER_ROUTING_ZONE_HEALTH_H_

#include <cstddef>
#include <vector>

#include "routing/endpoint_table.h"
#include "routing/types.h"

namespace liftrudder::routing {

class ZoneHealth {
 public:
  explicit ZoneHealth(double min_latency_objective_us)
      : min_latency_objective_us_(min_latency_objective_us) {}

  // Adds the zones of the table that are missing. Must be called after each change of its endpoint list.
  void AddMissingZones(const EndpointTable& endpoints);

  // Decays the observations and ejects or readmits zones: a zone is ejected when most of its requests fail,
  // or are late or overdue, while another zone is healthy. Ejecting one of two zones doubles the other's
  // load, so the other must have been observed to be healthy, and probes of the ejected one continue.
  void Update(const EndpointTable& endpoints, double elapsed_us, double median_latency_us, Micros now);

  // Records the end of an attempt at an endpoint of the zone. `in_time`: it was answered, and not slowly.
  void RecordOutcome(std::size_t zone, bool in_time);

  bool IsEjected(std::size_t zone) const { return zones_[zone].ejected; }
  bool ProbeTimeDue(std::size_t zone, Micros now) const { return now >= zones_[zone].probe_at_us; }
  // Records that a probe request to the zone is sent.
  void RecordProbe(std::size_t zone, Micros now);

  // Whether the endpoint is ejected, by itself or with its zone.
  bool IsAvoided(const EndpointState& state) const { return state.outlier.ejected || IsEjected(state.zone); }

 private:
  struct Zone {
    double in_time = 0;  // decayed counts
    double late_or_failed = 0;
    double overdue = 0;  // requests in flight that are late by now
    bool ejected = false;
    Micros probe_at_us = 0;
  };

  Micros NextProbeUs(Micros now) const;

  double min_latency_objective_us_;
  std::vector<Zone> zones_;
};

}  // namespace liftrudder::routing

#endif  // LIFTRUDDER_ROUTING_ZONE_HEALTH_H_
