// The reasons for the router's decisions, for diagnostics. No decision depends on them. Plain data of fixed
// size. docs/design/routing.md names the function that sets each reason.
#ifndef LIFTRUDDER_ROUTING_REASONS_H_
#define LIFTRUDDER_ROUTING_REASONS_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "routing/events.h"
#include "routing/types.h"

namespace liftrudder::routing {

// Whether a replica was eligible when an endpoint was chosen for a shard request, and if not, why.
enum class Eligibility : std::uint8_t {
  kEligible,        // healthy, not tried, within its slow-start share
  kAlreadyTried,    // an earlier attempt of this shard request went there
  kSlowStartShare,  // in slow start; its share of a warm endpoint's traffic is used up
  kSlowStartLimit,  // in slow start; one more request could make it collapse
  kOutlier,         // ejected: slow
  kUnresponsive,    // ejected: unreachable, failing or not replying
  kZoneEjected,
  kDraining,
  kRemoved,
};

struct Candidate {
  EndpointId endpoint;
  std::uint16_t in_flight = 0;  // this coordinator's requests there, capped at the type's maximum
  Eligibility eligibility = Eligibility::kEligible;
  // Whether it is in the group that the endpoint was chosen from. Without kEligible replicas that group
  // consists of others, such as outliers; if a probe is sent, this is false for all candidates.
  bool eligible = false;
};

constexpr std::size_t kMaxCandidates = 8;

struct ReplicaChoice {
  std::uint8_t count = 0;    // of entries set in `endpoints`
  std::uint8_t omitted = 0;  // replicas beyond kMaxCandidates
  std::array<Candidate, kMaxCandidates> endpoints;
};

enum class DispatchKind : std::uint8_t {
  kFirst,
  kCanary,          // before its query's other requests: endpoints were lost recently, or the query is wide
  kProbe,           // checks whether an ejected endpoint or zone has recovered
  kRetry,           // no attempt of the request was in flight; see DispatchReason::previous_outcome
  kStragglerHedge,  // the attempt in flight takes longer than others took
  kOutlierHedge,    // the endpoint of the attempt in flight is ejected, draining or removed, or has lost
                    // the request
};

struct DispatchReason {
  DispatchKind kind = DispatchKind::kFirst;
  AttemptOutcome previous_outcome = AttemptOutcome::kOk;  // of kRetry: the outcome of the previous attempt
  ReplicaChoice choice;
};

// Why a query ended. After the colon: what CompletionReason::observed and threshold hold, with their unit.
enum class CompletionCause : std::uint8_t {
  kUnspecified,
  kComplete,           // answered: coverage, complete coverage
  kLatencyObjective,   // partial result, the objective was reached: coverage, minimum coverage
  kNoPendingRequests,  // partial result, no more can be answered: coverage, minimum coverage
  kLoad,               // shed: load, load at which shedding begins
  kEndpointLoad,       // shed: expected latency of the slowest request divided by the time to the
                       // objective, and the ratio at which shedding begins
  kNoRemainingValue,   // shed, too late or over quota: value factor, 0
  kEndpointsLost,  // abandoned as a poison query: attempts of it lost with their endpoint, number tolerated
  kCoverageUnreachable,  // abandoned: coverage that can still be reached, coverage needed
  kNoLateValue,          // abandoned, the class has no value after its objective: seconds past it, 0
  kExpired,              // abandoned: seconds to the deadline, seconds reserved to deliver the answer
  kUnknownClass,
  kInvalidSettings,
  kShutdown,  // abandoned before its client's deadline, as the process ends: as for kExpired
};

struct CompletionReason {
  CompletionCause cause = CompletionCause::kUnspecified;
  float observed = 0;
  float threshold = 0;
  EndpointId endpoint;  // of kEndpointLoad: where the slowest request would go; otherwise not set
};

constexpr CompletionReason MakeReason(CompletionCause cause, double observed, double threshold) {
  return {cause, static_cast<float>(observed), static_cast<float>(threshold), {}};
}

enum class CancelReason : std::uint8_t {
  kAnswered,  // another attempt of the request was answered
  kQueryOver,
  kEndpointOutlier,  // instead of a hedge, where hedging is not allowed
  kDeadConnection,   // the connection was probably dropped while it was idle
};

enum class CloseReason : std::uint8_t {
  kDeadConnection,  // an earlier request on it got no reply
  kIdleTimeout,     // it was idle for longer than connections are known to survive
};

// Why no attempt of a shard request is in flight, and for some what `observed` and `threshold` hold.
enum class PendingReason : std::uint8_t {
  kNone,
  kCutoff,         // below the coverage cutoff: cutoff level (0 to 1), its weight
  kEndpointLoad,   // no replica would answer in time: expected latency divided by the time left, limit
  kCanary,         // waits for its query's canary
  kNoEndpoint,     // no replica may get it now, see `choice`
  kRetryBudget,    // the coordinator's budget of retries or hedges is used up
  kAttemptLimit,   // all allowed attempts were made: attempts so far, attempts allowed
  kNotRepeatable,  // an attempt may have run, and the class forbids a repeat now
  kPoisonQuery,  // it was in flight at an endpoint that was lost, and no endpoint has answered its query yet
  kDeadline,     // too close to the deadline: seconds left, seconds reserved to deliver the answer
};

// Reported whenever the reason changes.
struct PendingShardRequest {
  Id shard_request = 0;
  PendingReason reason = PendingReason::kNone;
  float observed = 0;
  float threshold = 0;
  ReplicaChoice choice;  // of kNoEndpoint
};

}  // namespace liftrudder::routing

#endif  // LIFTRUDDER_ROUTING_REASONS_H_
