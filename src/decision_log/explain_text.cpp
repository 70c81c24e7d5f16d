// One query in sentences.
#include <fmt/format.h>

#include <ctime>
#include <iterator>

#include "decision_log/explain.h"

namespace liftrudder::decision_log {
namespace {

using routing::AttemptOutcome;
using routing::CompletionCause;
using routing::DispatchKind;
using routing::Eligibility;
using routing::PendingReason;

std::string Seconds(std::int64_t us) { return fmt::format("{:.3f} s", static_cast<double>(us) / 1e6); }

const char* Words(Eligibility value) {
  switch (value) {
    case Eligibility::kEligible:
      return "fit";
    case Eligibility::kAlreadyTried:
      return "tried already";
    case Eligibility::kSlowStartShare:
      return "cold, its share of traffic used up";
    case Eligibility::kSlowStartLimit:
      return "cold, may get nothing more for now";
    case Eligibility::kOutlier:
      return "sick (slow or late)";
    case Eligibility::kUnresponsive:
      return "sick (answers nothing of use)";
    case Eligibility::kZoneEjected:
      return "its zone is out of reach";
    case Eligibility::kDraining:
      return "draining";
    case Eligibility::kRemoved:
      return "gone";
  }
  return "in a state this program does not know";
}

const char* Words(AttemptOutcome value) {
  switch (value) {
    case AttemptOutcome::kOk:
      return "was answered";
    case AttemptOutcome::kError:
      return "ended in the holder's error";
    case AttemptOutcome::kOverloaded:
      return "was turned away by the holder";
    case AttemptOutcome::kTimeout:
      return "got no answer in time";
    case AttemptOutcome::kConnectFailed:
      return "got no connection";
    case AttemptOutcome::kReset:
      return "lost its connection";
    case AttemptOutcome::kCancelled:
      return "was called off";
    case AttemptOutcome::kNotSent:
      return "was never written";
  }
  return "ended in a way this program does not know";
}

std::string HowEnded(const AttemptTrace& one) {
  std::string out;
  switch (one.cause) {
    case Cause::kServed:
      return "it was answered";
    case Cause::kBroke:
      out = "the holder said that it failed";
      break;
    case Cause::kSkipped:
      out = "the holder turned it away unseen";
      break;
    case Cause::kSpoilt:
      out = "what came back could not be used";
      break;
    case Cause::kConnectionLost:
      out = one.progress == Progress::kNotConnected ? "no connection came up" : "the connection was lost";
      break;
    case Cause::kCancelled:
      out = "it was called off";
      break;
    case Cause::kExpired:
      out = "its time was over without an answer";
      break;
    case Cause::kStale:
      out = "it was not written, as its time was over or the holder takes nothing new";
      break;
    case Cause::kLeft:
      out = "it was not written, as its client had left";
      break;
  }
  switch (one.progress) {
    case Progress::kNotConnected:
      out += " before anything was written";
      break;
    case Progress::kPartlyWritten:
      out += " while the request was being written";
      break;
    case Progress::kWhollyWritten:
      out += " after the request was written";
      break;
    case Progress::kAnswering:
      break;
  }
  return out + (MayHaveRun(one.outcome) ? ", so it may have run" : ", so it never ran");
}

std::string Listed(const std::vector<CandidateTrace>& considered, bool eligible, std::string_view but) {
  std::string out;
  for (const CandidateTrace& one : considered) {
    if (one.eligible != eligible || one.endpoint.id == but) continue;
    if (!out.empty()) out += ", ";
    out += one.standing == Eligibility::kEligible && eligible
               ? fmt::format("{} had {}", Escaped(one.endpoint.id), one.out)
               : fmt::format("{} ({})", Escaped(one.endpoint.id), Words(one.standing));
  }
  return out;
}

std::string WhyThere(const AttemptTrace& one) {
  int own = -1, least = -1, equals = 0, eligible = 0;
  Eligibility standing = Eligibility::kEligible;
  for (const CandidateTrace& each : one.considered) {
    if (each.endpoint.number == one.endpoint.number) own = each.out, standing = each.standing;
    if (!each.eligible) continue;
    ++eligible;
    if (least < 0 || each.out < least) least = each.out, equals = 0;
    equals += each.out == least ? 1 : 0;
  }
  std::string out;
  if (one.kind == DispatchKind::kProbe) {
    out = fmt::format("as a trial, to see whether it is well again ({})", Words(standing));
  } else if (eligible == 1) {
    out = "as the only holder left to choose";
    if (standing != Eligibility::kEligible) out += fmt::format(" ({})", Words(standing));
  } else if (own > least) {
    // Counted by call, or by key, where the settings say so.
    out = fmt::format("with {} of our parts out there", own);
  } else {
    out = fmt::format("since it had fewest of our parts out ({}", own);
    std::string others = Listed(one.considered, true, one.endpoint.id);
    if (!others.empty()) out += "; " + others;
    out += equals > 1 ? "; drawn among equals)" : ")";
  }
  std::string aside = Listed(one.considered, false, one.endpoint.id);
  if (!aside.empty()) out += "; set aside: " + aside;
  return out;
}

std::string WhySent(const AttemptTrace& one) {
  switch (one.kind) {
    case DispatchKind::kFirst:
    case DispatchKind::kProbe:
      return "went to";
    case DispatchKind::kCanary:
      return "went ahead of the others to";
    case DispatchKind::kRetry:
      return fmt::format("was sent again, since the attempt before {}, to", Words(one.after));
    case DispatchKind::kStragglerHedge:
      return "got a second copy, since the first took longer than its fellows, at";
    case DispatchKind::kOutlierHedge:
      return "got a second copy, since the first one's holder looked sick or was gone, at";
  }
  return "went, for a reason this program does not know, to";
}

std::string PendingWords(const PendingTrace& pending) {
  switch (pending.reason) {
    case PendingReason::kCutoff:
      return fmt::format("was left out: light (weight {:.3f}) and below the cut, whose level was {:.2f}",
                         pending.threshold, pending.observed);
    case PendingReason::kEndpointLoad:
      return fmt::format(
          "was left out: the best holder would have taken {:.2f} times the aim, {:.2f} at most is tried",
          pending.observed, pending.threshold);
    case PendingReason::kCanary:
      return "waited for the part of its query that went ahead";
    case PendingReason::kNoEndpoint: {
      std::string aside = Listed(pending.considered, false, "");
      return "could go nowhere" +
             (aside.empty() ? std::string(": no holder of its shard is known") : ": " + aside);
    }
    case PendingReason::kRetryBudget:
      return "was not sent again: the budget of further attempts is used up";
    case PendingReason::kAttemptLimit:
      return fmt::format("was not sent again: {:.0f} of {:.0f} attempts are used up", pending.observed,
                         pending.threshold);
    case PendingReason::kNotRepeatable:
      return "was not sent again: it may have run, and this class may not be repeated (any more)";
    case PendingReason::kPoisonQuery:
      return "was not sent again: its holder died with it, and nothing of its query had been answered";
    case PendingReason::kDeadline:
      return fmt::format("was not sent: only {:.3f} s were left, and {:.3f} s are kept back", pending.observed,
                         pending.threshold);
    case PendingReason::kNone:
      break;
  }
  return "was held for a reason this program does not know";
}

std::string EndWords(const QueryTrace& trace) {
  double f = trace.observed, b = trace.threshold;
  switch (trace.cause) {
    case CompletionCause::kUnspecified:
      return "";
    case CompletionCause::kComplete:
      return "all that a whole answer needs was in";
    case CompletionCause::kLatencyObjective:
      return fmt::format("the wanted time had come with {:.0f}% of the weight in, at least {:.0f}% is needed",
                         f * 100, b * 100);
    case CompletionCause::kNoPendingRequests:
      return fmt::format(
          "no missing part could still come, and {:.0f}% of the weight was in, at least {:.0f}% is needed",
          f * 100, b * 100);
    case CompletionCause::kLoad:
      return fmt::format("the pressure was {:.2f}, and refusals begin at {:.2f}", f, b);
    case CompletionCause::kEndpointLoad:
      return fmt::format(
          "its slowest part would have taken {:.2f} times the wanted time{}, refusals begin at {:.2f}", f,
          trace.blamed.number != 0 ? " (at " + Escaped(trace.blamed.id) + ")" : "", b);
    case CompletionCause::kNoRemainingValue:
      return "it came too late, or over its tenant's share, to be worth anything";
    case CompletionCause::kEndpointsLost:
      return fmt::format("{:.0f} holders were lost under it with none of its parts answered, {:.0f} is borne",
                         f, b);
    case CompletionCause::kCoverageUnreachable:
      return fmt::format("only {:.0f}% of the weight could still come in, and {:.0f}% is needed", f * 100,
                         b * 100);
    case CompletionCause::kNoLateValue:
      return "its wanted time had passed, and this class is worth nothing after that";
    case CompletionCause::kExpired:
      return "its time was over";
    case CompletionCause::kUnknownClass:
      return "there is no such class";
    case CompletionCause::kInvalidSettings:
      return "the settings cannot be used";
  }
  return "of a cause this program does not know";
}

std::string IntakeWords(const QueryTrace& trace) {
  switch (trace.intake) {
    case IntakeResult::kNone:
      return "";
    case IntakeResult::kUnreadable:
      return "what came could not be read as a request, or did not come in time";
    case IntakeResult::kMalformed:
      return "it is no query that this front understands";
    case IntakeResult::kDuplicateId:
      return "a query with this id was open";
    case IntakeResult::kTooManyOpen:
      return fmt::format("{:.0f} queries and parts would have been open, {:.0f} may be", trace.observed,
                         trace.threshold);
    case IntakeResult::kTooManyConnections:
      return "too many connections were open";
    case IntakeResult::kLate:
      return "the core gave no answer in time, so the front did";
    case IntakeResult::kCrowded:
      return "the client wrote more before it had its answer";
    case IntakeResult::kLeft:
      return "the client closed its connection";
  }
  return "of a cause this program does not know";
}

std::string Outcome(const QueryTrace& trace) {
  std::string reason = trace.intake != IntakeResult::kNone ? IntakeWords(trace) : EndWords(trace);
  switch (trace.verdict) {
    case Verdict::kOpen:
      return "It is still open, or the record ends before its end.";
    case Verdict::kComplete:
      return fmt::format("It was answered whole after {}: {}.", Seconds(trace.ended_us), reason);
    case Verdict::kPartial:
      return fmt::format("It was answered in part, {} of {} parts, after {}: {}.", trace.shard_responses,
                         trace.parts_told, Seconds(trace.ended_us), reason);
    case Verdict::kRejected:
      return fmt::format("It was refused after {}: {}.{}", Seconds(trace.ended_us), reason,
                         trace.retry_after_us > 0
                             ? " The client was told to come back in " + Seconds(trace.retry_after_us) + "."
                             : "");
    case Verdict::kFailed:
      return fmt::format("It failed after {}: {}.", Seconds(trace.ended_us), reason);
    case Verdict::kLate:
      return fmt::format("It ran out of time after {}: {}.", Seconds(trace.ended_us), reason);
    case Verdict::kGone:
      return fmt::format("It ended without an answer after {}: {}.", Seconds(trace.ended_us), reason);
    case Verdict::kRejectedAtIntake:
      return fmt::format("It was turned away at the door: {}.", reason);
  }
  return "Its end is not one this program knows.";
}

}  // namespace

std::string Escaped(std::string_view text) {
  std::string out;
  for (char c : text) {
    if (c >= ' ' && c < 0x7f && c != '\\') {
      out += c;
    } else {
      fmt::format_to(std::back_inserter(out), "\\x{:02x}", static_cast<unsigned char>(c));
    }
  }
  return out;
}

std::string WallTime(std::int64_t us) {
  std::time_t seconds = us / 1'000'000;
  std::tm shard_requests{};
  ::gmtime_r(&seconds, &shard_requests);
  return fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}.{:03}Z", shard_requests.tm_year + 1900, shard_requests.tm_mon + 1,
                     shard_requests.tm_mday, shard_requests.tm_hour, shard_requests.tm_min, shard_requests.tm_sec, us / 1000 % 1000);
}

bool MayHaveRun(AttemptOutcome code) {
  return code != AttemptOutcome::kOverloaded && code != AttemptOutcome::kConnectFailed &&
         code != AttemptOutcome::kNotSent;
}

std::string TextOf(const QueryTrace& trace) {
  std::string out = fmt::format(
      "{}{}", trace.call_id.empty() ? "A request without an id" : "Query " + Escaped(trace.call_id),
      trace.id_cut ? "... (a longer id)" : "");
  if (!trace.label.empty()) out += fmt::format(" (the client's {})", Escaped(trace.label));
  out += fmt::format(" came at {}", WallTime(trace.arrived_us));
  if (!trace.class_name.empty()) out += fmt::format(" as {}", Escaped(trace.class_name));
  if (trace.parts_told > 0) out += fmt::format(" with {} parts", trace.parts_told);
  if (trace.budget_us > 0) out += fmt::format(" and {} to wait", Seconds(trace.budget_us));
  out += trace.is_retry ? ", marked as a further try.\n" : ".\n";
  for (std::size_t i = 0; i < trace.shard_requests.size(); ++i) {
    const ShardRequestTrace& shard_request = trace.shard_requests[i];
    out += fmt::format("  part {} (shard {}, weight {:.3f}):", i, shard_request.shard, shard_request.weight);
    if (shard_request.attempts.empty() && shard_request.pending.empty()) out += " was not sent.";
    out += '\n';
    // In the order in which it happened.
    std::size_t pending = 0;
    auto tell_held = [&](std::int64_t until_us) {
      for (; pending < shard_request.pending.size() && shard_request.pending[pending].at_us <= until_us; ++pending)
        out += fmt::format("    {} it {}.\n", Seconds(shard_request.pending[pending].at_us), PendingWords(shard_request.pending[pending]));
    };
    for (const AttemptTrace& one : shard_request.attempts) {
      tell_held(one.at_us);
      out += fmt::format("    {} it {} {}, {}.\n", Seconds(one.at_us), WhySent(one), Escaped(one.endpoint.id),
                         WhyThere(one));
      if (one.cancelled_us && (!one.ended_us || one.cause != Cause::kServed)) {
        const char* reason =
            one.cancel_why == routing::CancelReason::kAnswered          ? "another attempt had been answered"
            : one.cancel_why == routing::CancelReason::kQueryOver       ? "the query was over"
            : one.cancel_why == routing::CancelReason::kEndpointOutlier ? "its holder looked sick"
                                                                        : "its connection seemed dead";
        out += fmt::format("    {} that attempt was called off: {}.\n", Seconds(*one.cancelled_us), reason);
      }
      if (one.ended_us) {
        bool late = trace.verdict != Verdict::kOpen && *one.ended_us > trace.ended_us;
        out += fmt::format("    {} at {}: {}{}.\n", Seconds(*one.ended_us), Escaped(one.endpoint.id),
                           HowEnded(one), late ? " (after the query's end)" : "");
      }
    }
    tell_held(INT64_MAX);
  }
  out += Outcome(trace) + "\n";
  for (const ResponseTrace& given : trace.given) {
    if (trace.verdict == Verdict::kRejectedAtIntake) {
      out += fmt::format("The client was given status {}.\n", given.status);
      continue;
    }
    out += fmt::format("The client was given status {} and {} bytes by {}{}.\n", given.status, given.bytes,
                       Seconds(given.at_us), given.whole ? "" : ", but could not be written to");
  }
  if (trace.events_cut) out += "Not all of it was kept: this query's share of the record was full.\n";
  if (trace.torn) out += "A piece of the record was damaged or being written; the rest is shown.\n";
  return out;
}

}  // namespace liftrudder::decision_log
