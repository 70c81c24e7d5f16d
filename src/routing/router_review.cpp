// Router::State: reviews the queries in flight once a round: retries, hedged requests and completion.
#include <algorithm>
#include <cstddef>

#include "routing/router_state.h"

namespace liftrudder::routing {

void Router::State::ReviewQuery(Query& query) {
  CompletionInputs inputs;
  inputs.reachable_coverage = query.coverage;
  inputs.all_answered = !query.shard_requests.empty();
  for (Id id : query.shard_requests) {
    ShardRequest& shard_request = queries.ShardRequestAt(id);
    if (shard_request.answered) continue;
    inputs.all_answered = false;
    if (!shard_request.selected) continue;
    ReviewShardRequest(query, shard_request);
    if (CanStillBeAnswered(query, shard_request)) inputs.reachable_coverage += shard_request.weight;
  }
  inputs.losses_elevated = endpoints.LossesElevated();
  inputs.p90_latency_us = latency.P90Us();
  inputs.now = now;
  std::optional<Completion> decision = completion.Decide(query, inputs);
  if (!decision) return;
  if (decision->kind == CompletionKind::kAnswer) {
    AnswerQuery(query, *decision);
  } else {
    AbandonQuery(query, decision->reason);
  }
}

void Router::State::ReviewShardRequest(Query& query, ShardRequest& shard_request) {
  auto attempt = std::ranges::find_if(shard_request.attempts, &Attempt::in_flight);
  if (attempt == shard_request.attempts.end()) {
    SendShardRequest(query, shard_request);
  } else if (shard_request.InFlight() == 1 && hedging.IsDue(query, *attempt, load.Load(), now)) {
    HedgeOrCancel(query, shard_request, *attempt);
  }
}

void Router::State::HedgeOrCancel(Query& query, ShardRequest& shard_request, Attempt& attempt) {
  bool suspect = hedging.EndpointSuspect(attempt);
  if (settings.hedging_allowed) {
    SendShardRequest(query, shard_request, suspect ? HedgeCause::kEndpointSuspect : HedgeCause::kStraggler);
    return;
  }
  // Hedging is not allowed, so the attempt is cancelled, and the request is retried once the cancellation is
  // confirmed. Only for a suspect endpoint: cancelling a straggler would waste the work already done.
  if (!suspect || attempt.cancellation_requested || !RetryWithinBudget(false)) return;
  if (selector.Select(shard_request, true, now).endpoint == nullptr) return;
  attempt.cancellation_requested = true;
  auto attempt_number = static_cast<int>(&attempt - shard_request.attempts.data());
  actions->push_back(Cancel{shard_request.id, attempt_number, CancelReason::kEndpointOutlier});
}

bool Router::State::CanStillBeAnswered(const Query& query, const ShardRequest& shard_request) const {
  if (shard_request.InFlight() > 0) return true;
  const QueryClassSettings& cls = settings.classes[query.class_index];
  return retries.Forbids(cls, shard_request, query.known_safe, now) == PendingReason::kNone;
}

void Router::State::AnswerQuery(Query& query, const Completion& decision) {
  actions->push_back(Answer{query.id, decision.complete, decision.reason});
  ReleaseShardRequests(query);
  bool fetch_follows = query.phase == 1 && settings.classes[query.class_index].fetch_phase_requests > 0;
  if (!fetch_follows) {
    queries.MarkEnded(query);
    return;
  }
  query.phase = 2;
  query.first_phase_complete = decision.complete;
  query.sent = 0;
  query.answered = 0;
  query.coverage = 0;
  query.mostly_answered_us = 0;
}

void Router::State::AbandonQuery(Query& query, const CompletionReason& reason) {
  if (completion.MayReject(query, queries, now)) {
    actions->push_back(Reject{query.id, completion.RetryAfterUs(load.SheddingProbability()), reason});
  } else {
    actions->push_back(Fail{query.id, reason});
  }
  ReleaseShardRequests(query);
  queries.MarkEnded(query);
}

void Router::State::ReleaseShardRequests(Query& query) {
  for (Id id : query.shard_requests) {
    ShardRequest& shard_request = queries.ShardRequestAt(id);
    shard_request.query = 0;
    CancelInFlight(shard_request, CancelReason::kQueryOver);
    if (shard_request.InFlight() == 0) queries.EraseShardRequest(id);
  }
  query.shard_requests.clear();
}

}  // namespace liftrudder::routing
