// One query as JSON.
#include <cmath>
#include <nlohmann/json.hpp>

#include "decision_log/explain.h"

namespace liftrudder::decision_log {
namespace {

using Json = nlohmann::ordered_json;
using routing::DispatchKind;

Json Number(double value) { return std::isfinite(value) ? Json(value) : Json(nullptr); }
Json Milliseconds(std::int64_t us) { return Json(static_cast<double>(us) / 1000); }

Json JsonOf(const std::vector<CandidateTrace>& considered) {
  Json out = Json::array();
  for (const CandidateTrace& one : considered) {
    out.push_back({{"holder", Escaped(one.endpoint.id)},
                   {"out", one.out},
                   {"standing", Name(one.standing)},
                   {"eligible", one.eligible}});
  }
  return out;
}

Json JsonOf(const AttemptTrace& one) {
  Json out = {{"attempt", one.number},
              {"holder", Escaped(one.endpoint.id)},
              {"addr", Escaped(one.endpoint.addr)},
              {"at_ms", Milliseconds(one.at_us)},
              {"timeout_ms", Milliseconds(one.timeout_us)},
              {"why", Name(one.kind)}};
  if (one.kind == DispatchKind::kRetry) out["after"] = Name(one.after);
  out["considered"] = JsonOf(one.considered);
  if (one.unlisted > 0) out["unlisted"] = one.unlisted;
  if (one.cancelled_us)
    out["cancelled"] = {{"at_ms", Milliseconds(*one.cancelled_us)}, {"why", Name(one.cancel_why)}};
  if (one.ended_us) {
    out["ended"] = {{"at_ms", Milliseconds(*one.ended_us)},
                    {"outcome", Name(one.outcome)},
                    {"progress", Name(one.progress)},
                    {"cause", Name(one.cause)},
                    {"may_have_run", MayHaveRun(one.outcome)}};
  }
  return out;
}

}  // namespace

std::string JsonOf(const QueryTrace& trace) {
  Json out = {{"id", Escaped(trace.call_id)}, {"verdict", Name(trace.verdict)}};
  if (!trace.label.empty()) out["label"] = Escaped(trace.label);
  if (trace.id_cut) out["id_cut"] = true;
  if (trace.is_retry) out["repeated"] = true;
  if (trace.events_cut) out["events_cut"] = true;
  if (trace.torn) out["torn"] = true;
  out["front"] = Name(trace.front);
  out["class"] = Escaped(trace.class_name);
  out["arrived"] = WallTime(trace.arrived_us);
  out["arrived_us"] = trace.arrived_us;
  out["budget_ms"] = Milliseconds(trace.budget_us);
  bool intake = trace.intake != IntakeResult::kNone;
  out["reason"] = intake ? Name(trace.intake) : Name(trace.cause);
  if (trace.verdict != Verdict::kOpen) {
    out["figure"] = Number(trace.observed);
    out["bound"] = Number(trace.threshold);
    out["ended_ms"] = Milliseconds(trace.ended_us);
  }
  if (trace.blamed.number != 0) out["holder"] = Escaped(trace.blamed.id);
  if (trace.retry_after_us > 0) out["retry_after_ms"] = Milliseconds(trace.retry_after_us);
  if (trace.verdict == Verdict::kPartial || trace.verdict == Verdict::kComplete) out["pieces"] = trace.shard_responses;
  out["parts_told"] = trace.parts_told;
  Json shard_requests = Json::array();
  for (const ShardRequestTrace& shard_request : trace.shard_requests) {
    Json one = {{"shard", shard_request.shard}, {"weight", Number(shard_request.weight)}};
    if (shard_request.work_us > 0) one["work_us"] = shard_request.work_us;
    one["attempts"] = Json::array();
    for (const AttemptTrace& attempt : shard_request.attempts) one["attempts"].push_back(JsonOf(attempt));
    for (const PendingTrace& pending : shard_request.pending) {
      Json reason = {{"at_ms", Milliseconds(pending.at_us)},
                     {"why", Name(pending.reason)},
                     {"figure", Number(pending.observed)},
                     {"bound", Number(pending.threshold)}};
      if (!pending.considered.empty()) reason["considered"] = JsonOf(pending.considered);
      one["held"].push_back(std::move(reason));
    }
    shard_requests.push_back(std::move(one));
  }
  out["parts"] = std::move(shard_requests);
  out["given"] = Json::array();
  for (const ResponseTrace& given : trace.given) {
    out["given"].push_back({{"at_ms", Milliseconds(given.at_us)},
                            {"status", given.status},
                            {"bytes", given.bytes},
                            {"whole", given.whole}});
  }
  return out.dump(-1, ' ', true, Json::error_handler_t::replace);
}

}  // namespace liftrudder::decision_log
