// Renders one query as JSON.
#include <cmath>
#include <nlohmann/json.hpp>

#include "decision_log/explain.h"
#include "decision_log/wire_names.h"

namespace liftrudder::decision_log {
namespace {

using Json = nlohmann::ordered_json;

Json NumberOrNull(double value) { return std::isfinite(value) ? Json(value) : Json(nullptr); }
Json Milliseconds(std::int64_t us) { return Json(static_cast<double>(us) / 1000); }

Json JsonOf(const std::vector<CandidateTrace>& candidates) {
  Json out = Json::array();
  for (const CandidateTrace& candidate : candidates) {
    out.push_back({{wire::kEndpoint, Escaped(candidate.endpoint.id)},
                   {wire::kInFlight, candidate.in_flight},
                   {wire::kEligibility, Name(candidate.eligibility)},
                   {wire::kEligible, candidate.eligible}});
  }
  return out;
}

Json JsonOf(const AttemptTrace& attempt) {
  Json out = {{wire::kAttempt, attempt.number},
              {wire::kEndpoint, Escaped(attempt.endpoint.id)},
              {wire::kAddress, Escaped(attempt.endpoint.addr)},
              {wire::kAtMs, Milliseconds(attempt.at_us)},
              {wire::kTimeoutMs, Milliseconds(attempt.timeout_us)},
              {wire::kWhy, Name(attempt.kind)}};
  if (attempt.kind == routing::DispatchKind::kRetry) out[wire::kAfter] = Name(attempt.previous_outcome);
  out[wire::kCandidates] = JsonOf(attempt.candidates);
  if (attempt.omitted > 0) out[wire::kUnlisted] = attempt.omitted;
  if (attempt.cancelled_us) {
    out[wire::kCancelled] = {{wire::kAtMs, Milliseconds(*attempt.cancelled_us)},
                             {wire::kWhy, Name(attempt.cancel_reason)}};
  }
  if (attempt.ended_us) {
    out[wire::kEnded] = {{wire::kAtMs, Milliseconds(*attempt.ended_us)},
                         {wire::kOutcome, Name(attempt.outcome)},
                         {wire::kProgress, Name(attempt.progress)},
                         {wire::kCause, Name(attempt.cause)},
                         {wire::kMayHaveRun, MayHaveRun(attempt.outcome)}};
  }
  return out;
}

Json JsonOf(const PendingTrace& pending) {
  Json out = {{wire::kAtMs, Milliseconds(pending.at_us)},
              {wire::kWhy, Name(pending.reason)},
              {wire::kObserved, NumberOrNull(pending.observed)},
              {wire::kThreshold, NumberOrNull(pending.threshold)}};
  if (!pending.candidates.empty()) out[wire::kCandidates] = JsonOf(pending.candidates);
  return out;
}

Json JsonOf(const ShardRequestTrace& shard_request) {
  Json out = {{wire::kShard, shard_request.shard}, {wire::kWeight, NumberOrNull(shard_request.weight)}};
  if (shard_request.work_us > 0) out[wire::kWorkUs] = shard_request.work_us;
  out[wire::kAttempts] = Json::array();
  for (const AttemptTrace& attempt : shard_request.attempts) out[wire::kAttempts].push_back(JsonOf(attempt));
  for (const PendingTrace& pending : shard_request.pending) out[wire::kPending].push_back(JsonOf(pending));
  return out;
}

Json JsonOf(const ResponseTrace& response) {
  return {{wire::kAtMs, Milliseconds(response.at_us)},
          {wire::kStatus, response.status},
          {wire::kBytes, response.bytes},
          {wire::kFullyWritten, response.fully_written}};
}

// The properties of the query, and whether its record is complete.
Json ArrivalJson(const QueryTrace& trace) {
  Json out = {{wire::kId, Escaped(trace.call_id)}, {wire::kVerdict, Name(trace.verdict)}};
  if (!trace.label.empty()) out[wire::kLabel] = Escaped(trace.label);
  if (trace.id_cut) out[wire::kIdCut] = true;
  if (trace.is_retry) out[wire::kIsRetry] = true;
  if (trace.events_dropped) out[wire::kEventsDropped] = true;
  if (trace.torn) out[wire::kTorn] = true;
  out[wire::kFront] = Name(trace.front);
  out[wire::kClass] = Escaped(trace.class_name);
  out[wire::kArrived] = WallTime(trace.arrived_us);
  out[wire::kArrivedUs] = trace.arrived_us;
  out[wire::kBudgetMs] = Milliseconds(trace.budget_us);
  return out;
}

void AddEnd(const QueryTrace& trace, Json& out) {
  bool by_front = trace.intake != IntakeResult::kNone;
  out[wire::kReason] = by_front ? Name(trace.intake) : Name(trace.cause);
  if (trace.verdict != Verdict::kOpen) {
    out[wire::kObserved] = NumberOrNull(trace.observed);
    out[wire::kThreshold] = NumberOrNull(trace.threshold);
    out[wire::kEndedMs] = Milliseconds(trace.ended_us);
  }
  if (trace.overloaded_endpoint.number != 0) out[wire::kEndpoint] = Escaped(trace.overloaded_endpoint.id);
  if (trace.retry_after_us > 0) out[wire::kRetryAfterMs] = Milliseconds(trace.retry_after_us);
  if (trace.verdict == Verdict::kPartial || trace.verdict == Verdict::kComplete) {
    out[wire::kShardResponses] = trace.shard_responses;
  }
}

}  // namespace

std::string JsonOf(const QueryTrace& trace) {
  Json out = ArrivalJson(trace);
  AddEnd(trace, out);
  out[wire::kDeclaredShardRequests] = trace.declared_shard_requests;
  Json& shard_requests = out[wire::kShardRequests] = Json::array();
  for (const ShardRequestTrace& shard_request : trace.shard_requests) {
    shard_requests.push_back(JsonOf(shard_request));
  }
  Json& responses = out[wire::kResponses] = Json::array();
  for (const ResponseTrace& response : trace.responses) responses.push_back(JsonOf(response));
  return out.dump(-1, ' ', true, Json::error_handler_t::replace);
}

}  // namespace liftrudder::decision_log
