// Renders one query as text.
#include <fmt/format.h>

#include <cstdint>
#include <limits>

#include "decision_log/explain.h"
#include "decision_log/reason_text.h"

namespace liftrudder::decision_log {
namespace {

std::string VerdictText(const QueryTrace& trace) {
  std::string after = Seconds(trace.ended_us);
  std::string reason = EndReasonText(trace);
  switch (trace.verdict) {
    case Verdict::kOpen:
      return "It is still open, or the record ends before its end.";
    case Verdict::kComplete:
      return fmt::format("It was answered completely after {}: {}.", after, reason);
    case Verdict::kPartial:
      return fmt::format("It was answered partially, {} of {} shard requests, after {}: {}.",
                         trace.shard_responses, trace.declared_shard_requests, after, reason);
    case Verdict::kRejected: {
      std::string retry = trace.retry_after_us > 0 ? fmt::format(" The client was asked to retry after {}.",
                                                                 Seconds(trace.retry_after_us))
                                                   : "";
      return fmt::format("It was rejected after {}: {}.{}", after, reason, retry);
    }
    case Verdict::kFailed:
      return fmt::format("It failed after {}: {}.", after, reason);
    case Verdict::kExpired:
      return fmt::format("It expired after {}: {}.", after, reason);
    case Verdict::kClientDisconnected:
      return fmt::format("It ended without an answer after {}: {}.", after, reason);
    case Verdict::kRejectedAtIntake:
      return fmt::format("It was rejected at intake: {}.", reason);
  }
  return "Its end is not one this program knows.";
}

std::string ArrivalText(const QueryTrace& trace) {
  std::string out = trace.call_id.empty() ? "A request without an id" : "Query " + Escaped(trace.call_id);
  if (trace.id_cut) out += "... (a longer id)";
  if (!trace.label.empty()) out += fmt::format(" (the client's {})", Escaped(trace.label));
  out += fmt::format(" came at {}", WallTime(trace.arrived_us));
  if (!trace.class_name.empty()) out += fmt::format(" as {}", Escaped(trace.class_name));
  if (trace.declared_shard_requests > 0) {
    out += fmt::format(" with {} shard requests", trace.declared_shard_requests);
  }
  if (trace.budget_us > 0) out += fmt::format(" and {} to wait", Seconds(trace.budget_us));
  return out + (trace.is_retry ? ", marked as a retry.\n" : ".\n");
}

// The lines of an attempt, in chronological order.
std::string AttemptLines(const AttemptTrace& attempt, const QueryTrace& trace) {
  std::string endpoint = Escaped(attempt.endpoint.id);
  std::string out = fmt::format("    {} it {} {}, {}.\n", Seconds(attempt.at_us), DispatchText(attempt),
                                endpoint, ChoiceText(attempt));
  if (attempt.cancelled_us && (!attempt.ended_us || attempt.cause != Cause::kServed)) {
    out += fmt::format("    {} that attempt was cancelled: {}.\n", Seconds(*attempt.cancelled_us),
                       CancelText(attempt.cancel_reason));
  }
  if (attempt.ended_us) {
    bool after_query_end = trace.verdict != Verdict::kOpen && *attempt.ended_us > trace.ended_us;
    out += fmt::format("    {} at {}: {}{}.\n", Seconds(*attempt.ended_us), endpoint, AttemptEndText(attempt),
                       after_query_end ? " (after the query's end)" : "");
  }
  return out;
}

std::string ShardRequestLines(std::size_t number, const ShardRequestTrace& shard_request,
                              const QueryTrace& trace) {
  std::string out = fmt::format("  shard request {} (shard {}, weight {:.3f}):", number, shard_request.shard,
                                shard_request.weight);
  if (shard_request.attempts.empty() && shard_request.pending.empty()) out += " was not sent.";
  out += '\n';
  // Attempts and pending states in chronological order.
  auto pending = shard_request.pending.begin();
  auto add_pending = [&](std::int64_t until_us) {
    for (; pending != shard_request.pending.end() && pending->at_us <= until_us; ++pending) {
      out += fmt::format("    {} it {}.\n", Seconds(pending->at_us), PendingText(*pending));
    }
  };
  for (const AttemptTrace& attempt : shard_request.attempts) {
    add_pending(attempt.at_us);
    out += AttemptLines(attempt, trace);
  }
  add_pending(std::numeric_limits<std::int64_t>::max());
  return out;
}

std::string ResponseLine(const ResponseTrace& response, const QueryTrace& trace) {
  if (trace.verdict == Verdict::kRejectedAtIntake) {
    return fmt::format("The client was sent status {}.\n", response.status);
  }
  return fmt::format("The client was sent status {} and {} bytes by {}{}.\n", response.status, response.bytes,
                     Seconds(response.at_us), response.fully_written ? "" : ", but could not be written to");
}

}  // namespace

std::string TextOf(const QueryTrace& trace) {
  std::string out = ArrivalText(trace);
  for (std::size_t i = 0; i < trace.shard_requests.size(); ++i) {
    out += ShardRequestLines(i, trace.shard_requests[i], trace);
  }
  out += VerdictText(trace) + "\n";
  for (const ResponseTrace& response : trace.responses) out += ResponseLine(response, trace);
  if (trace.events_dropped) out += "Some events are missing: this query had used its share of the record.\n";
  if (trace.torn) out += "A piece of the record was damaged or being written; the rest is shown.\n";
  return out;
}

}  // namespace liftrudder::decision_log
