#include "routing/completion_policy.h"

#include <algorithm>

#include "routing/retry_policy.h"

namespace liftrudder::routing {
namespace {

constexpr double kWeightTolerance = 5e-5;  // received weights are 32-bit and sum to 1 only approximately
constexpr double kWeightRounding = 1e-12;
// Time kept for writing a partial answer, in shortest latency objectives.
constexpr double kAnswerLeadObjectives = 0.03;
constexpr double kMostlyAnsweredShare = 0.8;
// Retry-After while nothing is shed, in shortest latency objectives.
constexpr double kRetryAfterObjectives = 0.5;
constexpr double kUsPerSecond = 1e6;

Completion Abandon(CompletionCause cause, double observed, double threshold) {
  return {CompletionKind::kAbandon, false, MakeReason(cause, observed, threshold)};
}

double Seconds(Micros span_us) { return static_cast<double>(span_us) / kUsPerSecond; }

}  // namespace

CompletionPolicy::CompletionPolicy(const Settings& settings)
    : settings_(settings),
      min_latency_objective_us_(MinLatencyObjectiveUs(settings)),
      answer_margin_us_(AnswerMarginUs(settings)) {}

std::optional<Completion> CompletionPolicy::Decide(const Query& query, const CompletionInputs& inputs) const {
  const QueryClassSettings& cls = settings_.classes[query.class_index];
  // Attempts of the query were lost with their endpoints, and no endpoint has answered it: it may have
  // crashed them.
  int tolerated_losses = inputs.losses_elevated ? 0 : 1;
  if (!query.known_safe && query.endpoint_losses > tolerated_losses) {
    return Abandon(CompletionCause::kEndpointsLost, query.endpoint_losses, tolerated_losses);
  }
  if (query.shard_requests.empty() && query.phase == 2) {  // the requests of the fetch phase have not arrived
    if (!IsExpired(query, inputs.now)) return std::nullopt;
    return ExpiredCompletion(query, inputs.now);
  }
  bool covered = query.coverage >= cls.complete_coverage - kWeightTolerance;
  if (covered && (query.phase == 1 || inputs.all_answered)) {
    return Completion{CompletionKind::kAnswer, query.phase == 1 || query.first_phase_complete,
                      MakeReason(CompletionCause::kComplete, query.coverage, cls.complete_coverage)};
  }
  if (auto partial = DecidePartial(query, inputs)) return partial;
  return DecideAbandon(query, inputs);
}

std::optional<Completion> CompletionPolicy::DecidePartial(const Query& query,
                                                          const CompletionInputs& inputs) const {
  const QueryClassSettings& cls = settings_.classes[query.class_index];
  bool enough = query.coverage >= cls.min_coverage - kWeightTolerance && query.coverage > 0 &&
                cls.min_coverage < cls.complete_coverage;
  if (!enough) return std::nullopt;
  bool nothing_pending = inputs.reachable_coverage <= query.coverage + kWeightRounding;
  bool due = inputs.now >= PartialAnswerAtUs(query, inputs.p90_latency_us);
  if (!nothing_pending && !due) return std::nullopt;
  auto cause = nothing_pending ? CompletionCause::kNoPendingRequests : CompletionCause::kLatencyObjective;
  return Completion{CompletionKind::kAnswer, false, MakeReason(cause, query.coverage, cls.min_coverage)};
}

Micros CompletionPolicy::PartialAnswerAtUs(const Query& query, double p90_latency_us) const {
  const QueryClassSettings& cls = settings_.classes[query.class_index];
  Micros at_us = query.objective_at_us - answer_margin_us_ -
                 static_cast<Micros>(kAnswerLeadObjectives * min_latency_objective_us_);
  // Leaves time for the fetch phase, which has to meet the same objective.
  if (query.phase == 1 && cls.fetch_phase_requests > 0) at_us -= static_cast<Micros>(p90_latency_us);
  return std::min(at_us, query.deadline_us - answer_margin_us_);
}

std::optional<Completion> CompletionPolicy::DecideAbandon(const Query& query,
                                                          const CompletionInputs& inputs) const {
  const QueryClassSettings& cls = settings_.classes[query.class_index];
  double required_coverage = std::min(cls.min_coverage, cls.complete_coverage);
  if (inputs.reachable_coverage < required_coverage - kWeightTolerance) {
    return Abandon(CompletionCause::kCoverageUnreachable, inputs.reachable_coverage, required_coverage);
  }
  if (IsExpired(query, inputs.now)) return ExpiredCompletion(query, inputs.now);
  bool late = inputs.now >= query.objective_at_us - answer_margin_us_;
  if (late && cls.late_value_fraction <= 0) {
    return Abandon(CompletionCause::kNoLateValue, Seconds(inputs.now - query.objective_at_us), 0);
  }
  return std::nullopt;
}

Completion CompletionPolicy::ExpiredCompletion(const Query& query, Micros now) const {
  bool client_waits = query.deadline_us < query.client_deadline_us;
  return Abandon(client_waits ? CompletionCause::kShutdown : CompletionCause::kExpired,
                 Seconds(query.deadline_us - now), Seconds(answer_margin_us_));
}

bool CompletionPolicy::MayReject(const Query& query, const QueryTable& queries, Micros now) const {
  if (now >= query.client_deadline_us) return false;
  std::optional<Micros> first_run_us = FirstPossibleRunUs(query, queries);
  if (!first_run_us) return true;
  return ClientGivesUpUs(query) <= LatestRepeatUs(settings_.classes[query.class_index], *first_run_us);
}

// The earliest time at which something of the query may have begun to run; none if it provably never did.
std::optional<Micros> CompletionPolicy::FirstPossibleRunUs(const Query& query, const QueryTable& queries) {
  if (query.phase == 2) return query.received_us;  // the attempts of the first phase are no longer known
  std::optional<Micros> first_us;
  for (Id id : query.shard_requests) {
    for (const Attempt& attempt : queries.ShardRequestAt(id).attempts) {
      if (attempt.never_ran) continue;
      first_us = std::min(first_us.value_or(attempt.sent_us), attempt.sent_us);
    }
  }
  return first_us;
}

// The latest time at which the client still waits, repeats included. It has waited since before the query
// arrived.
Micros CompletionPolicy::ClientGivesUpUs(const Query& query) const {
  Micros client_timeout_us = settings_.classes[query.class_index].client_timeout_us;
  return std::max(query.client_deadline_us, query.received_us + client_timeout_us);
}

Micros CompletionPolicy::RetryAfterUs(double shedding_probability) const {
  if (!settings_.retry_after_allowed) return 0;
  auto wait_us =
      static_cast<Micros>(min_latency_objective_us_ * (kRetryAfterObjectives + shedding_probability));
  return std::min(settings_.max_retry_after_us, wait_us);
}

bool CompletionPolicy::MostlyAnswered(const Query& query) {
  return query.answered >= kMostlyAnsweredShare * query.sent;
}

}  // namespace liftrudder::routing
