#include "decision_log/reason_text.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <string_view>

#include "decision_log/explain.h"

namespace liftrudder::decision_log {
namespace {

using routing::AttemptOutcome;
using routing::CancelReason;
using routing::CompletionCause;
using routing::DispatchKind;
using routing::Eligibility;
using routing::PendingReason;

const char* EligibilityText(Eligibility value) {
  switch (value) {
    case Eligibility::kEligible:
      return "eligible";
    case Eligibility::kAlreadyTried:
      return "tried already";
    case Eligibility::kSlowStartShare:
      return "warming up, its share of traffic used up";
    case Eligibility::kSlowStartLimit:
      return "warming up, may get nothing more for now";
    case Eligibility::kOutlier:
      return "outlier (slow or late)";
    case Eligibility::kUnresponsive:
      return "unresponsive";
    case Eligibility::kZoneEjected:
      return "its zone is ejected";
    case Eligibility::kDraining:
      return "draining";
    case Eligibility::kRemoved:
      return "removed";
  }
  return "in a state this program does not know";
}

const char* OutcomeText(AttemptOutcome value) {
  switch (value) {
    case AttemptOutcome::kOk:
      return "was answered";
    case AttemptOutcome::kError:
      return "ended in the endpoint's error";
    case AttemptOutcome::kOverloaded:
      return "was rejected by the endpoint";
    case AttemptOutcome::kTimeout:
      return "timed out";
    case AttemptOutcome::kConnectFailed:
      return "got no connection";
    case AttemptOutcome::kReset:
      return "lost its connection";
    case AttemptOutcome::kCancelled:
      return "was cancelled";
    case AttemptOutcome::kNotSent:
      return "was not sent";
  }
  return "ended in a way this program does not know";
}

const char* CauseText(const AttemptTrace& attempt) {
  switch (attempt.cause) {
    case Cause::kServed:
      return "it was answered";
    case Cause::kEndpointError:
      return "the endpoint reported that it failed";
    case Cause::kEndpointRejected:
      return "the endpoint rejected it without running it";
    case Cause::kInvalidResponse:
      return "the response could not be used";
    case Cause::kConnectionLost:
      return attempt.progress == Progress::kNotConnected ? "no connection came up"
                                                         : "the connection was lost";
    case Cause::kCancelled:
      return "it was cancelled";
    case Cause::kExpired:
      return "its deadline passed without a response";
    case Cause::kStale:
      return "it was not sent, as its deadline had passed or the endpoint was draining";
    case Cause::kClientDisconnected:
      return "it was not sent, as its client had disconnected";
    case Cause::kRepeatTooLate:
      return "it was not sent, as an earlier attempt may have run and its deduplication window was over";
  }
  return "it ended in a way this program does not know";
}

const char* ProgressText(Progress progress) {
  switch (progress) {
    case Progress::kNotConnected:
      return " before anything was written";
    case Progress::kPartlyWritten:
      return " while the request was being written";
    case Progress::kFullyWritten:
      return " after the request was written";
    case Progress::kAnswering:
      break;
  }
  return "";
}

// Lists the candidates that were eligible, or those that were not, without the chosen endpoint.
std::string ListCandidates(const std::vector<CandidateTrace>& candidates, bool eligible,
                           std::string_view chosen_id) {
  std::string out;
  for (const CandidateTrace& candidate : candidates) {
    if (candidate.eligible != eligible || candidate.endpoint.id == chosen_id) continue;
    if (!out.empty()) out += ", ";
    out +=
        candidate.eligibility == Eligibility::kEligible && eligible
            ? fmt::format("{} had {}", Escaped(candidate.endpoint.id), candidate.in_flight)
            : fmt::format("{} ({})", Escaped(candidate.endpoint.id), EligibilityText(candidate.eligibility));
  }
  return out;
}

// The facts on which the choice of an endpoint was based.
struct ChoiceSummary {
  int in_flight = -1;  // at the chosen endpoint
  int fewest = -1;     // at any eligible endpoint
  int with_fewest = 0;
  int eligible = 0;
  Eligibility eligibility = Eligibility::kEligible;  // of the chosen endpoint
};

ChoiceSummary SummarizeChoice(const AttemptTrace& attempt) {
  ChoiceSummary out;
  for (const CandidateTrace& candidate : attempt.candidates) {
    if (candidate.endpoint.number == attempt.endpoint.number) {
      out.in_flight = candidate.in_flight;
      out.eligibility = candidate.eligibility;
    }
    if (!candidate.eligible) continue;
    ++out.eligible;
    if (out.fewest < 0 || candidate.in_flight < out.fewest) {
      out.fewest = candidate.in_flight;
      out.with_fewest = 0;
    }
    if (candidate.in_flight == out.fewest) ++out.with_fewest;
  }
  return out;
}

std::string FewestText(const AttemptTrace& attempt, const ChoiceSummary& choice) {
  std::string out =
      fmt::format("since it had the fewest of our shard requests in flight ({}", choice.in_flight);
  std::string others = ListCandidates(attempt.candidates, true, attempt.endpoint.id);
  if (!others.empty()) out += "; " + others;
  return out + (choice.with_fewest > 1 ? "; drawn among equals)" : ")");
}

std::string Percent(double fraction) { return fmt::format("{:.0f}%", fraction * 100); }

std::string CompletionText(const QueryTrace& trace) {
  double observed = trace.observed;
  double threshold = trace.threshold;
  switch (trace.cause) {
    case CompletionCause::kUnspecified:
      return "";
    case CompletionCause::kComplete:
      return "all that a complete result needs was answered";
    case CompletionCause::kLatencyObjective:
      return fmt::format("the latency objective was reached with a coverage of {}, at least {} is needed",
                         Percent(observed), Percent(threshold));
    case CompletionCause::kNoPendingRequests:
      return fmt::format(
          "no missing shard request could still be answered, and the coverage was {}, at least {} is needed",
          Percent(observed), Percent(threshold));
    case CompletionCause::kLoad:
      return fmt::format("the load was {:.2f}, and queries are shed from {:.2f}", observed, threshold);
    case CompletionCause::kEndpointLoad: {
      const EndpointName& endpoint = trace.overloaded_endpoint;
      return fmt::format(
          "its slowest shard request was expected to take {:.2f} times the latency objective{}, "
          "queries are shed from {:.2f}",
          observed, endpoint.number != 0 ? " (at " + Escaped(endpoint.id) + ")" : "", threshold);
    }
    case CompletionCause::kNoRemainingValue:
      return "it came too late, or over its tenant's quota, to be of any value";
    case CompletionCause::kEndpointsLost:
      return fmt::format(
          "{:.0f} endpoints were lost under it with none of its shard requests answered, {:.0f} is allowed",
          observed, threshold);
    case CompletionCause::kCoverageUnreachable:
      return fmt::format("only a coverage of {} could still be reached, and {} is needed", Percent(observed),
                         Percent(threshold));
    case CompletionCause::kNoLateValue:
      return "its latency objective had passed, and answers of this class have no value after that";
    case CompletionCause::kExpired:
      return "its deadline had come";
    case CompletionCause::kUnknownClass:
      return "there is no such class";
    case CompletionCause::kInvalidSettings:
      return "the settings cannot be used";
    case CompletionCause::kShutdown:
      return "the process was about to end";
  }
  return "of a cause this program does not know";
}

std::string IntakeText(const QueryTrace& trace) {
  switch (trace.intake) {
    case IntakeResult::kNone:
      return "";
    case IntakeResult::kUnreadable:
      return "what came could not be read as a request, or did not come in time";
    case IntakeResult::kMalformed:
      return "it is no query that this interface understands";
    case IntakeResult::kDuplicateId:
      return "a query with this id was open";
    case IntakeResult::kTooManyOpen:
      return fmt::format("{:.0f} queries and shard requests would have been open, {:.0f} may be",
                         trace.observed, trace.threshold);
    case IntakeResult::kTooManyConnections:
      return "too many connections were open";
    case IntakeResult::kAnswerTimeout:
      return "the coordinator had no answer in time, so its front gave one";
    case IntakeResult::kPipelined:
      return "the client sent more before it had its answer";
    case IntakeResult::kClientDisconnected:
      return "the client closed its connection";
    case IntakeResult::kShuttingDown:
      return "it was not complete when the process was about to end";
  }
  return "of a cause this program does not know";
}

}  // namespace

std::string DispatchText(const AttemptTrace& attempt) {
  switch (attempt.kind) {
    case DispatchKind::kFirst:
    case DispatchKind::kProbe:
      return "was sent to";
    case DispatchKind::kCanary:
      return "was sent ahead of the others to";
    case DispatchKind::kRetry:
      return fmt::format("was retried, since the attempt before {}, at",
                         OutcomeText(attempt.previous_outcome));
    case DispatchKind::kStragglerHedge:
      return "was hedged, since the first attempt took longer than its peers, at";
    case DispatchKind::kOutlierHedge:
      return "was hedged, since the first attempt's endpoint was an outlier or removed, at";
  }
  return "was sent, for a reason this program does not know, to";
}

std::string ChoiceText(const AttemptTrace& attempt) {
  ChoiceSummary choice = SummarizeChoice(attempt);
  std::string out;
  if (attempt.kind == DispatchKind::kProbe) {
    out = fmt::format("as a probe request, to see whether it has recovered ({})",
                      EligibilityText(choice.eligibility));
  } else if (choice.eligible == 1) {
    out = "as the only eligible endpoint";
    if (choice.eligibility != Eligibility::kEligible) {
      out += fmt::format(" ({})", EligibilityText(choice.eligibility));
    }
  } else if (choice.in_flight > choice.fewest) {
    // Happens with settings that choose by key affinity or that count by call.
    out = fmt::format("with {} of our shard requests in flight there", choice.in_flight);
  } else {
    out = FewestText(attempt, choice);
  }
  std::string ineligible = ListCandidates(attempt.candidates, false, attempt.endpoint.id);
  return ineligible.empty() ? out : out + "; not eligible: " + ineligible;
}

const char* CancelText(CancelReason reason) {
  switch (reason) {
    case CancelReason::kAnswered:
      return "another attempt had been answered";
    case CancelReason::kQueryOver:
      return "the query was over";
    case CancelReason::kEndpointOutlier:
      return "its endpoint was an outlier";
    case CancelReason::kDeadConnection:
      break;
  }
  return "its connection seemed dead";
}

std::string AttemptEndText(const AttemptTrace& attempt) {
  if (attempt.cause == Cause::kServed) return CauseText(attempt);
  return fmt::format("{}{}{}", CauseText(attempt), ProgressText(attempt.progress),
                     MayHaveRun(attempt.outcome) ? ", so it may have run" : ", so it never ran");
}

std::string PendingText(const PendingTrace& pending) {
  switch (pending.reason) {
    case PendingReason::kCutoff:
      return fmt::format("was dropped: light (weight {:.3f}) and below the coverage cutoff, at level {:.2f}",
                         pending.threshold, pending.observed);
    case PendingReason::kEndpointLoad:
      return fmt::format(
          "was dropped: the best endpoint would have taken {:.2f} times the latency objective, "
          "{:.2f} at most is tried",
          pending.observed, pending.threshold);
    case PendingReason::kCanary:
      return "waited for the shard request of its query that was sent ahead";
    case PendingReason::kNoEndpoint: {
      std::string ineligible = ListCandidates(pending.candidates, false, "");
      return "had no eligible endpoint: " +
             (ineligible.empty() ? "no endpoint of its shard is known" : ineligible);
    }
    case PendingReason::kRetryBudget:
      return "was not retried: the retry budget is used up";
    case PendingReason::kAttemptLimit:
      return fmt::format("was not retried: {:.0f} of {:.0f} attempts are used up", pending.observed,
                         pending.threshold);
    case PendingReason::kNotRepeatable:
      return "was not retried: it may have run, and this class must not run twice (any more)";
    case PendingReason::kPoisonQuery:
      return "was not retried: a suspected poison query, since its endpoint was lost with it and "
             "no shard request of it had been answered";
    case PendingReason::kDeadline:
      return fmt::format("was not sent: only {:.3f} s were left, and {:.3f} s are reserved", pending.observed,
                         pending.threshold);
    case PendingReason::kNone:
      break;
  }
  return "waited for a reason this program does not know";
}

std::string EndReasonText(const QueryTrace& trace) {
  return trace.intake != IntakeResult::kNone ? IntakeText(trace) : CompletionText(trace);
}

}  // namespace liftrudder::decision_log
