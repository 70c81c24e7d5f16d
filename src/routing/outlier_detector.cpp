#include "routing/outlier_detector.h"

#include <algorithm>
#include <cmath>

namespace liftrudder::routing {
namespace {

constexpr double kPriorSamples = 1.5;  // samples at the median latency that an endpoint starts with
// Factor by which each newer sample reduces the weight of the older ones.
constexpr double kSampleRetention = 0.8;
constexpr double kUnresponsiveHedgeDelays = 2.0;  // unresponsive after this many delays without a reply
// Page's cumulative-sum (CUSUM) test: `failure_evidence` is a running log-likelihood ratio, kept at 0 or
// above. In a large fleet a coordinator sends few requests to each endpoint, so each outcome adds the log of
// how much likelier it is from an endpoint that fails kFaultyFailureRate of its requests than from others.
constexpr double kFaultyFailureRate = 0.5;
constexpr double kEjectEvidence = 4;  // about two failures among five outcomes where few fail
constexpr double kMaxEvidence = 4.5;
constexpr double kReadmitEvidence = 4;         // a successful probe readmits only below this
constexpr double kMinFleetFailureRate = 0.02;  // so that a few failures do not eject a good endpoint
constexpr double kFleetFailureGain = 0.01;
constexpr double kFirstProbeObjectives = 0.25;  // time before the first probe, in shortest latency objectives
// Requests that a healthy endpoint gets between two probes of a slow one.
constexpr double kSlowProbeRequests = 1.5;
constexpr double kFailingProbeRequests = 2;  // the same between two probes of a failing one
constexpr double kProbeBackoffGrowth = 3;
constexpr double kMaxProbeBackoff = 8;

}  // namespace

void OutlierDetector::RecordOutcome(OutlierState& state, const EndpointOutcome& outcome,
                                    double median_latency_us, const ProbeClock& clock) {
  if (outcome.code != AttemptOutcome::kTimeout) state.replied_us = clock.now;
  bool ok = outcome.code == AttemptOutcome::kOk;
  bool failed =
      !ok && outcome.code != AttemptOutcome::kOverloaded && outcome.code != AttemptOutcome::kTimeout;
  if (ok || failed) RecordFailureEvidence(state, failed);
  if (ok) {
    RecordAnswer(state, outcome, median_latency_us, clock);
  } else if (state.ejected) {
    ScheduleProbe(state, kProbeBackoffGrowth, clock);
  }
  // Without a connection the process or the network path to it is lost, whatever the endpoint list says.
  bool unreachable = outcome.code == AttemptOutcome::kConnectFailed || outcome.code == AttemptOutcome::kReset;
  bool unresponsive = unreachable || state.failure_evidence >= kEjectEvidence;
  bool slow =
      state.log_latency_ratio_sum / (state.latency_samples + kPriorSamples) > std::log(kSlowLatencyRatio);
  if (unresponsive || slow) Eject(state, unresponsive, clock);
}

void OutlierDetector::RecordFailureEvidence(OutlierState& state, bool failed) {
  // Kept below kFaultyFailureRate: at that rate a failure would be no evidence.
  double usual =
      std::clamp(fleet_failure_rate_, kMinFleetFailureRate, kFaultyFailureRate * kFaultyFailureRate);
  double ratio = failed ? kFaultyFailureRate / usual : (1 - kFaultyFailureRate) / (1 - usual);
  state.failure_evidence = std::clamp(state.failure_evidence + std::log(ratio), 0.0, kMaxEvidence);
  fleet_failure_rate_ += kFleetFailureGain * ((failed ? 1 : 0) - fleet_failure_rate_);
}

void OutlierDetector::RecordAnswer(OutlierState& state, const EndpointOutcome& outcome,
                                   double median_latency_us, const ProbeClock& clock) const {
  state.answered_us = std::max(state.answered_us, clock.now - outcome.latency_us);
  double log_ratio = std::log(std::max(static_cast<double>(outcome.latency_us), 1.0) / median_latency_us);
  bool in_time = log_ratio < std::log(kSlowLatencyRatio);
  if (state.ejected && in_time && state.failure_evidence < kReadmitEvidence) {
    state.ejected = state.unresponsive = false;
    state.log_latency_ratio_sum = state.latency_samples = 0;
  } else if (state.ejected) {
    // While the failure evidence is high, an answer in time does not readmit the endpoint, but it resets the
    // backoff so that the next probe comes soon.
    ScheduleProbe(state, in_time ? 1 / kMaxProbeBackoff : kProbeBackoffGrowth, clock);
  }
  if (outcome.endpoint_warm) {
    state.log_latency_ratio_sum = state.log_latency_ratio_sum * kSampleRetention + log_ratio;
    state.latency_samples = state.latency_samples * kSampleRetention + 1;
  }
}

bool OutlierDetector::CheckResponsive(OutlierState& state, Micros oldest_sent_us, double hedge_delay_us,
                                      const ProbeClock& clock) const {
  auto age_us = static_cast<double>(clock.now - oldest_sent_us);
  if (state.replied_us > oldest_sent_us || age_us <= kUnresponsiveHedgeDelays * hedge_delay_us) return true;
  if (!state.ejected) Eject(state, true, clock);
  return false;
}

bool OutlierDetector::ProbeDue(const OutlierState& state, const ProbeClock& clock) {
  return clock.now >= state.probe_at_us && clock.warm_requests >= state.probe_at_warm_requests;
}

void OutlierDetector::AllowProbeNow(OutlierState& state) {
  state.probe_at_us = 0;
  state.probe_at_warm_requests = 0;
}

void OutlierDetector::Eject(OutlierState& state, bool unresponsive, const ProbeClock& clock) const {
  state.unresponsive = state.unresponsive || unresponsive;
  if (state.ejected) return;
  state.ejected = true;
  ScheduleProbe(state, 1 / state.probe_backoff, clock);  // resets the backoff to 1
}

void OutlierDetector::ScheduleProbe(OutlierState& state, double backoff_growth,
                                    const ProbeClock& clock) const {
  state.probe_backoff = std::clamp(state.probe_backoff * backoff_growth, 1.0, kMaxProbeBackoff);
  state.probe_at_us = clock.now + static_cast<Micros>(state.probe_backoff * kFirstProbeObjectives *
                                                      min_latency_objective_us_);
  bool failing = state.failure_evidence >= kReadmitEvidence;
  double requests = failing ? kFailingProbeRequests : kSlowProbeRequests;
  state.probe_at_warm_requests = clock.warm_requests + state.probe_backoff * requests;
}

}  // namespace liftrudder::routing
