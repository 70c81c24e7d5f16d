// Outlier detection: ejects endpoints that are slow, fail or do not reply, and readmits them through probe
// requests. Owned by one router; not thread-safe. Does not choose endpoints; zone_health.h handles zones.
#ifndef LIFTRUDDER_ROUTING_OUTLIER_DETECTOR_H_
#define LIFTRUDDER_ROUTING_OUTLIER_DETECTOR_H_

#include "routing/events.h"
#include "routing/types.h"

namespace liftrudder::routing {

// An answer that took longer than this multiple of the fleet's median is slow.
constexpr double kSlowLatencyRatio = 2.5;

// Observations of one endpoint.
struct OutlierState {
  double log_latency_ratio_sum = 0;  // decayed sum of log(latency / median latency of the fleet)
  double latency_samples = 0;        // decayed count
  double failure_evidence = 0;       // log-likelihood ratio that it is faulty, kept at 0 or above (CUSUM)
  // When an attempt there last ended other than by a timeout; a failed connect also sets it.
  Micros replied_us = 0;
  Micros answered_us = 0;  // send time of the newest request that it answered
  bool ejected = false;
  bool unresponsive = false;  // ejected because it is unreachable, fails or does not reply
  // A probe request is due once both have been reached: a time, and a value of SlowStart::WarmRequests.
  Micros probe_at_us = 0;
  double probe_at_warm_requests = 0;
  double probe_backoff = 1;

  // Discards the observations of the previous process. The next ejection resets `probe_backoff`.
  void Restart() {
    log_latency_ratio_sum = latency_samples = failure_evidence = 0;
    ejected = unresponsive = false;
  }
};

// Probe requests are spaced by time and by the traffic of a healthy endpoint. In a large fleet the probes of
// all coordinators add up, so time alone would not bound their share of the traffic.
struct ProbeClock {
  Micros now = 0;
  double warm_requests = 0;  // SlowStart::WarmRequests()
};

// One finished attempt.
struct EndpointOutcome {
  AttemptOutcome code = AttemptOutcome::kOk;
  Micros latency_us = 0;
  bool endpoint_warm = true;  // false: in slow start, when a high latency is expected
};

class OutlierDetector {
 public:
  explicit OutlierDetector(double min_latency_objective_us)
      : min_latency_objective_us_(min_latency_objective_us) {}

  // Updates the endpoint's observations; ejects or readmits it.
  void RecordOutcome(OutlierState& state, const EndpointOutcome& outcome, double median_latency_us,
                     const ProbeClock& clock);

  // Whether the endpoint is responsive. If it has sent no reply since its oldest request in flight was sent,
  // and that request is older than kUnresponsiveHedgeDelays hedge delays, it is not, and it is ejected.
  bool CheckResponsive(OutlierState& state, Micros oldest_sent_us, double hedge_delay_us,
                       const ProbeClock& clock) const;

  // Whether a probe request to the ejected endpoint may be sent.
  static bool ProbeDue(const OutlierState& state, const ProbeClock& clock);
  // Records that a probe request is sent. The next one waits as long as this one did.
  void RecordProbe(OutlierState& state, const ProbeClock& clock) const { ScheduleProbe(state, 1, clock); }
  // Lets the next request to the endpoint be a probe, as only its connection is suspect.
  static void AllowProbeNow(OutlierState& state);

 private:
  void RecordFailureEvidence(OutlierState& state, bool failed);
  void RecordAnswer(OutlierState& state, const EndpointOutcome& outcome, double median_latency_us,
                    const ProbeClock& clock) const;
  void Eject(OutlierState& state, bool unresponsive, const ProbeClock& clock) const;
  void ScheduleProbe(OutlierState& state, double backoff_growth, const ProbeClock& clock) const;

  double min_latency_objective_us_;
  double fleet_failure_rate_ = 0;  // recent share of failed outcomes, over all endpoints
};

}  // namespace liftrudder::routing

#endif  // LIFTRUDDER_ROUTING_OUTLIER_DETECTOR_H_
