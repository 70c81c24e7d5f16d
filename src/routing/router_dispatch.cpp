// Router::State: selects the shard requests of a query that are sent, and sends them.
#include <algorithm>
#include <cstddef>

#include "routing/router_state.h"

namespace liftrudder::routing {

void Router::State::DispatchQuery(Query& query) {
  const QueryClassSettings& cls = settings.classes[query.class_index];
  query.dispatched = true;
  if (query.phase == 1) admission.RecordRequestCount(query.class_index, query.shard_requests.size());
  std::vector<CutoffCandidate> by_weight = CandidatesByWeight(query);
  SlowestRequest slowest = ApplyCoverageCutoff(cls, load.CutoffLevel(), by_weight);
  for (const CutoffCandidate& candidate : by_weight) {
    ShardRequest& shard_request = *candidate.shard_request;
    if (candidate.skip_reason == PendingReason::kCutoff) {
      SetPending(shard_request, {PendingReason::kCutoff, load.CutoffLevel(), shard_request.weight});
    }
    if (candidate.skip_reason == PendingReason::kEndpointLoad) {
      SetPending(shard_request, {PendingReason::kEndpointLoad, candidate.latency_ratio, kMaxLatencyRatio});
    }
  }
  if (query.phase == 1) {
    if (auto shed = admission.Shed(query, slowest.latency_ratio, load, random)) {
      if (shed->cause == CompletionCause::kEndpointLoad) shed->endpoint = slowest.endpoint;
      AbandonQuery(query, *shed);
      return;
    }
  }
  // Heaviest first. NOLINTNEXTLINE(modernize-loop-convert): clang 14 does not accept GCC 12's reverse_view.
  for (auto candidate = by_weight.rbegin(); candidate != by_weight.rend(); ++candidate) {
    if (candidate->shard_request->selected) SendShardRequest(query, *candidate->shard_request);
  }
}

std::vector<CutoffCandidate> Router::State::CandidatesByWeight(const Query& query) {
  const QueryClassSettings& cls = settings.classes[query.class_index];
  // Both phases of a query share its objective.
  int phases_left = query.phase == 1 && cls.fetch_phase_requests > 0 ? 2 : 1;
  double time_left_us = static_cast<double>(query.objective_at_us - now) / phases_left;
  std::vector<CutoffCandidate> candidates;
  candidates.reserve(query.shard_requests.size());
  for (Id id : query.shard_requests) {
    ShardRequest& shard_request = queries.ShardRequestAt(id);
    CutoffCandidate candidate;
    candidate.shard_request = &shard_request;
    if (time_left_us > 0) {
      ExpectedLatency expected = selector.EstimateLatency(shard_request.shard);
      candidate.latency_ratio = expected.latency_us / time_left_us;
      candidate.endpoint = expected.endpoint;
    }
    candidates.push_back(candidate);
  }
  std::ranges::stable_sort(candidates, {},
                           [](const CutoffCandidate& candidate) { return candidate.shard_request->weight; });
  return candidates;
}

void Router::State::SendShardRequest(Query& query, ShardRequest& shard_request, HedgeCause hedge) {
  if (auto cause = FindPendingCause(query, shard_request)) return SetPending(shard_request, *cause);
  bool is_hedge = shard_request.InFlight() > 0;
  bool is_first = shard_request.attempts.empty();
  if (is_hedge && (!settings.hedging_allowed || shard_request.InFlight() > 1)) return;
  bool needs_hedge_budget = is_hedge && hedge == HedgeCause::kStraggler;
  if (!is_first && !RetryWithinBudget(needs_hedge_budget)) {
    return SetPending(shard_request, {PendingReason::kRetryBudget});
  }
  Selection selection = selector.Select(shard_request, is_hedge, now);
  if (selection.endpoint == nullptr) {
    return SetPending(shard_request, {PendingReason::kNoEndpoint}, selection.choice);
  }
  EndpointState& endpoint = *selection.endpoint;
  DispatchReason reason;
  reason.kind = ClassifyDispatch(query, shard_request, selection, hedge);
  reason.previous_outcome = is_first ? AttemptOutcome::kOk : shard_request.attempts.back().outcome;
  reason.choice = selection.choice;
  RecordSend(query, shard_request, endpoint, hedge);
  shard_request.pending = PendingReason::kNone;
  auto attempt_number = static_cast<int>(shard_request.attempts.size());
  endpoint.in_flight[{shard_request.id, attempt_number}] = now;
  Attempt attempt;
  attempt.endpoint = endpoint.endpoint.id;
  attempt.sent_us = now;
  attempt.in_flight_at_endpoint = static_cast<int>(endpoint.in_flight.size());
  Send send{shard_request.id, endpoint.endpoint.id};
  send.timeout_us = query.deadline_us - answer_margin_us - now;
  Micros send_within_us = LatestSendUs(settings.classes[query.class_index], shard_request) - now;
  if (send_within_us < send.timeout_us) send.send_within_us = send_within_us;
  send.reason = reason;
  shard_request.attempts.push_back(attempt);
  actions->push_back(send);
}

std::optional<PendingCause> Router::State::FindPendingCause(const Query& query,
                                                            const ShardRequest& shard_request) const {
  constexpr double kUsPerSecond = 1e6;
  Micros left_us = query.deadline_us - now;
  if (left_us <= answer_margin_us) {
    return PendingCause{PendingReason::kDeadline, static_cast<double>(left_us) / kUsPerSecond,
                        static_cast<double>(answer_margin_us) / kUsPerSecond};
  }
  const QueryClassSettings& cls = settings.classes[query.class_index];
  PendingReason forbidden = retries.Forbids(cls, shard_request, query.known_safe, now);
  if (forbidden != PendingReason::kNone) {
    return PendingCause{forbidden, static_cast<double>(shard_request.attempts.size()),
                        static_cast<double>(settings.max_attempts)};
  }
  if (shard_request.attempts.empty() && WaitsForCanary(query, CanaryState())) {
    return PendingCause{PendingReason::kCanary};
  }
  return std::nullopt;
}

bool Router::State::RetryWithinBudget(bool needs_hedge_budget) {
  return retries.WithinBudget(arrivals, now) && (!needs_hedge_budget || hedging.WithinBudget(arrivals, now));
}

DispatchKind Router::State::ClassifyDispatch(const Query& query, const ShardRequest& shard_request,
                                             const Selection& selection, HedgeCause hedge) const {
  if (shard_request.InFlight() > 0) {
    return hedge == HedgeCause::kEndpointSuspect ? DispatchKind::kOutlierHedge
                                                 : DispatchKind::kStragglerHedge;
  }
  if (!shard_request.attempts.empty()) return DispatchKind::kRetry;
  bool chosen_among_eligible = std::ranges::any_of(selection.choice.endpoints, &Candidate::eligible);
  if (zones.IsAvoided(*selection.endpoint) && !chosen_among_eligible) return DispatchKind::kProbe;
  return SendsCanary(query, CanaryState()) ? DispatchKind::kCanary : DispatchKind::kFirst;
}

// Must be called before the new attempt is entered in the tables.
void Router::State::RecordSend(Query& query, const ShardRequest& shard_request, EndpointState& endpoint,
                               HedgeCause hedge) {
  if (shard_request.attempts.empty()) {
    query.latest_first_attempt_us = now;
    ++query.sent;
  } else {
    retries.RecordAttempt(now);
  }
  if (shard_request.InFlight() > 0) hedging.RecordHedge(hedge == HedgeCause::kEndpointSuspect, now);
  bool idle = endpoint.in_flight.empty();
  if (auto close = connections.BeforeSend(endpoint.connection, idle, now)) {
    actions->push_back(Close{endpoint.endpoint.id, *close});
  }
  bool counts_as_warm = !endpoint.outlier.ejected && slow_start.IsWarm(endpoint.endpoint, now);
  slow_start.RecordSend(endpoint.slow_start, counts_as_warm);
}

// Reports the reason if it has changed and no attempt of the request is in flight.
void Router::State::SetPending(ShardRequest& shard_request, const PendingCause& cause,
                               const ReplicaChoice& choice) {
  if (pending != nullptr && shard_request.pending != cause.reason && shard_request.InFlight() == 0) {
    pending->push_back({shard_request.id, cause.reason, static_cast<float>(cause.observed),
                        static_cast<float>(cause.threshold), choice});
  }
  shard_request.pending = cause.reason;
}

}  // namespace liftrudder::routing
