// Reasons: written beside each action, for people to read. No decision reads one. All are of fixed size.
#ifndef LIFTRUDDER_ROUTING_REASONS_H_
#define LIFTRUDDER_ROUTING_REASONS_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "routing/events.h"
#include "routing/types.h"

namespace liftrudder::routing {

// What a replica of a part's shard was at the moment of a choice.
enum class Eligibility : std::uint8_t {
  kEligible,
  kAlreadyTried,    // an earlier attempt of this part went there
  kSlowStartShare,  // cold, and its warmth's share of what warm ones get is used up
  kSlowStartLimit,  // cold, and what it may get at all is used up
  kOutlier,         // slow or late
  kUnresponsive,    // answers nothing of use
  kZoneEjected,
  kDraining,
  kGone,
};
struct Candidate {
  EndpointId endpoint;
  std::uint16_t out = 0;  // parts of this aggregator out there, capped at the type's most
  Eligibility standing = Eligibility::kEligible;
  bool eligible = false;  // among those the choice was made from, ties at random
};
constexpr std::size_t kMaxCandidates = 8;
struct Choice {
  std::uint8_t count = 0;     // of `replicas`
  std::uint8_t unlisted = 0;  // beyond them
  std::array<Candidate, kMaxCandidates> endpoints;
};

enum class DispatchKind : std::uint8_t {
  kFirst,
  kCanary,  // one part goes ahead of its query's others: replicas were lost of late, or the query is wide
  kProbe,   // to see whether a sick replica, or a far zone, is well again
  kRetry,   // nothing of this part is out; DispatchReason::after tells how the attempt before ended
  kStragglerHedge,  // the attempt before is out longer than its fellows took
  kOutlierHedge,    // the attempt before is out at a replica that looks sick or is gone
};
struct DispatchReason {
  DispatchKind kind = DispatchKind::kFirst;
  AttemptOutcome after = AttemptOutcome::kOk;  // of kRetry
  Choice choice;
};

// Why a query ended; figure and bound are what was compared, in the unit that stands beside each.
enum class CompletionCause : std::uint8_t {
  kUnspecified,
  kComplete,           // all that a whole answer needs is in: weight in, weight needed
  kLatencyObjective,   // in part: the aim has come: weight in, least weight
  kNoPendingRequests,  // in part: no missing part can still come: weight in, least weight
  kLoad,               // refused at arrival: pressure, where refusals begin
  kEndpointLoad,  // refused at arrival: slowest part's expected latency, where refusals begin; shares of the
                  // aim
  kNoRemainingValue,  // refused at arrival: too late or over its tenant's share to be worth anything: worth
                      // left, 0
  kEndpointsLost,     // given up: replicas lost under it with none of its parts answered, most that is borne
  kCoverageUnreachable,  // given up: weight that can still come in, least weight
  kNoLateValue,   // given up: its aim has passed and this class earns nothing later: seconds over the aim, 0
  kExpired,       // given up: its time is over: seconds to the deadline, seconds kept back
  kUnknownClass,  // no such class
  kInvalidSettings,
};
struct CompletionReason {
  CompletionCause cause = CompletionCause::kUnspecified;
  float observed = 0, threshold = 0;
  EndpointId endpoint;  // of kEndpointLoad: the one whose queue decided; else none
};
constexpr CompletionReason MakeReason(CompletionCause cause, double observed, double threshold) {
  return {cause, static_cast<float>(observed), static_cast<float>(threshold), {}};
}

enum class CancelReason : std::uint8_t { kAnswered, kQueryOver, kEndpointOutlier, kDeadConnection };
enum class CloseReason : std::uint8_t { kDeadConnection, kIdleTimeout };

// Why nothing of a part is out now. Told when it changes.
enum class PendingReason : std::uint8_t {
  kNone,
  kCutoff,         // light, and below the cut: cut level (0 to 1), its weight
  kEndpointLoad,   // no replica would answer it in time: expected latency, bound; shares of the aim
  kCanary,         // waits for the part of its query that went ahead
  kNoEndpoint,     // none that may get it now; the choice says why
  kRetryBudget,    // the aggregator's budget of further attempts is used up
  kAttemptLimit,   // attempts so far, most attempts
  kNotRepeatable,  // an attempt may have run, and the class forbids a repeat, or does by now
  kPoisonQuery,    // it was out at a replica that died, and no part of its query has been answered
  kDeadline,       // seconds left, seconds kept back
};
struct PendingShardRequest {
  Id shard_request = 0;
  PendingReason reason = PendingReason::kNone;
  float observed = 0, threshold = 0;
  Choice choice;  // of kNoEndpoint
};

}  // namespace liftrudder::routing

#endif  // LIFTRUDDER_ROUTING_REASONS_H_
