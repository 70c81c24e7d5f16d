// Why the router decided as it did, for people to read. No decision depends on a reason. All are plain data
// of fixed size. docs/design/routing.md names the function that decides each.
#ifndef LIFTRUDDER_ROUTING_REASONS_H_
#define LIFTRUDDER_ROUTING_REASONS_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "routing/events.h"
#include "routing/types.h"

namespace liftrudder::routing {

// What a replica of a shard was when an endpoint was chosen for a request to it.
enum class Eligibility : std::uint8_t {
  kEligible,        // healthy, not tried, within its slow-start share
  kAlreadyTried,    // an earlier attempt of this shard request went there
  kSlowStartShare,  // in slow start, and its share of what warm endpoints get is used up
  kSlowStartLimit,  // in slow start, and more could make it collapse
  kOutlier,         // ejected: slow
  kUnresponsive,    // ejected: answers nothing of use
  kZoneEjected,
  kDraining,
  kRemoved,
};

struct Candidate {
  EndpointId endpoint;
  std::uint16_t in_flight = 0;  // this coordinator's requests there, capped at the type's maximum
  Eligibility eligibility = Eligibility::kEligible;
  bool eligible = false;  // in the group that the endpoint was chosen from, whatever its Eligibility
};

constexpr std::size_t kMaxCandidates = 8;

struct Choice {
  std::uint8_t count = 0;     // of `endpoints` that are set
  std::uint8_t unlisted = 0;  // replicas beyond kMaxCandidates
  std::array<Candidate, kMaxCandidates> endpoints;
};

enum class DispatchKind : std::uint8_t {
  kFirst,
  kCanary,          // ahead of its query's other requests: endpoints were lost of late, or the query is wide
  kProbe,           // to see whether an ejected endpoint or zone has recovered
  kRetry,           // nothing of this request was in flight; see DispatchReason::after
  kStragglerHedge,  // the attempt in flight takes longer than others did
  kOutlierHedge,    // the attempt in flight is at an endpoint that is ejected, removed, or lost the request
};

struct DispatchReason {
  DispatchKind kind = DispatchKind::kFirst;
  AttemptOutcome after = AttemptOutcome::kOk;  // of kRetry: the outcome of the attempt before
  Choice choice;
};

// Why a query ended. Beside each: what CompletionReason::observed and threshold are, in which unit.
enum class CompletionCause : std::uint8_t {
  kUnspecified,
  kComplete,             // answered: coverage, complete coverage
  kLatencyObjective,     // answered in part, the objective has come: coverage, minimum coverage
  kNoPendingRequests,    // answered in part, nothing more can come: coverage, minimum coverage
  kLoad,                 // shed: load, load at which shedding begins
  kEndpointLoad,         // shed: expected latency of the slowest request over the time to the objective,
                         // and the ratio at which shedding begins
  kNoRemainingValue,     // shed, too late or over quota: value factor, 0
  kEndpointsLost,        // abandoned as a poison query: endpoints lost under it, how many are tolerated
  kCoverageUnreachable,  // abandoned: coverage that can still be reached, minimum coverage
  kNoLateValue,          // abandoned, the class has no value after its objective: seconds past it, 0
  kExpired,              // abandoned: seconds to the deadline, seconds kept back for the answer
  kUnknownClass,
  kInvalidSettings,
};

struct CompletionReason {
  CompletionCause cause = CompletionCause::kUnspecified;
  float observed = 0;
  float threshold = 0;
  EndpointId endpoint;  // of kEndpointLoad: the one whose queue decided; else none
};

constexpr CompletionReason MakeReason(CompletionCause cause, double observed, double threshold) {
  return {cause, static_cast<float>(observed), static_cast<float>(threshold), {}};
}

enum class CancelReason : std::uint8_t {
  kAnswered,  // another attempt of the request was
  kQueryOver,
  kEndpointOutlier,  // in place of a hedge, where two attempts at once are not allowed
  kDeadConnection,   // the connection was probably dropped while it was idle
};

enum class CloseReason : std::uint8_t {
  kDeadConnection,  // an earlier request on it got no reply
  kIdleTimeout,     // it was idle for longer than connections are known to live
};

// Why nothing of a shard request is in flight. Beside some: what `observed` and `threshold` are.
enum class PendingReason : std::uint8_t {
  kNone,
  kCutoff,         // below the coverage cutoff: cutoff level (0 to 1), its weight
  kEndpointLoad,   // no replica would answer in time: expected latency over the time left, limit
  kCanary,         // waits for its query's canary
  kNoEndpoint,     // no replica may get it now; see the choice
  kRetryBudget,    // the coordinator's budget of retries or hedges is used up
  kAttemptLimit,   // attempts so far, most attempts
  kNotRepeatable,  // an attempt may have run, and the class forbids a repeat now
  kPoisonQuery,    // it was in flight at an endpoint that was lost, and its query is not cleared
  kDeadline,       // seconds left, seconds kept back for the answer
};

// Reported whenever the reason changes.
struct PendingShardRequest {
  Id shard_request = 0;
  PendingReason reason = PendingReason::kNone;
  float observed = 0;
  float threshold = 0;
  Choice choice;  // of kNoEndpoint
};

}  // namespace liftrudder::routing

#endif  // LIFTRUDDER_ROUTING_REASONS_H_
