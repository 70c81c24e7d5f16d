#include "routing/zone_health.h"

#include <algorithm>
#include <cmath>

namespace liftrudder::routing {
namespace {

constexpr double kEjectOutcomes = 4;  // bad outcomes beyond kEjectRatio times the good ones
constexpr double kEjectRatio = 2;
// Time constant of the decay of outcomes, in shortest latency objectives.
constexpr double kDecayObjectives = 1;
// Time between probe requests to an ejected zone, in shortest latency objectives.
constexpr double kProbeObjectives = 1;

}  // namespace

void ZoneHealth::AddMissingZones(const EndpointTable& endpoints) {
  for (const auto& [id, state] : endpoints.All()) {
    if (state.zone >= zones_.size()) zones_.resize(state.zone + 1);
  }
}

void ZoneHealth::Update(const EndpointTable& endpoints, double elapsed_us, double median_latency_us,
                        Micros now) {
  double decay_factor = std::exp(-elapsed_us / (kDecayObjectives * min_latency_objective_us_));
  for (Zone& zone : zones_) {
    zone.in_time *= decay_factor;
    zone.late_or_failed *= decay_factor;
    zone.overdue = 0;
  }
  for (const auto& [id, state] : endpoints.All()) {
    for (const auto& [key, sent_us] : state.in_flight) {
      if (static_cast<double>(now - sent_us) > kSlowLatencyRatio * median_latency_us) {
        ++zones_[state.zone].overdue;
      }
    }
  }
  bool any_healthy = std::ranges::any_of(
      zones_, [](const Zone& zone) { return zone.in_time > zone.late_or_failed + zone.overdue; });
  for (Zone& zone : zones_) {
    double bad = zone.late_or_failed + zone.overdue;
    bool stays_ejected = zone.ejected && bad >= zone.in_time;
    bool becomes_ejected = !zone.ejected && bad > kEjectOutcomes + kEjectRatio * zone.in_time;
    zone.ejected = any_healthy && (stays_ejected || becomes_ejected);
    if (!zone.ejected) zone.probe_at_us = NextProbeUs(now);
  }
}

void ZoneHealth::RecordOutcome(std::size_t zone, bool in_time) {
  double& count = in_time ? zones_[zone].in_time : zones_[zone].late_or_failed;
  count += 1;
}

void ZoneHealth::RecordProbe(std::size_t zone, Micros now) { zones_[zone].probe_at_us = NextProbeUs(now); }

Micros ZoneHealth::NextProbeUs(Micros now) const {
  return now + static_cast<Micros>(kProbeObjectives * min_latency_objective_us_);
}

}  // namespace liftrudder::routing
